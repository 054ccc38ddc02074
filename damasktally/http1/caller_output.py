"""Write to a caller's connection responses that are forwarded as they arrive."""

from asyncio import AbstractEventLoop, Future, TimerHandle, Transport, sleep
from asyncio import timeout as async_timeout
from collections.abc import Callable
from contextlib import suppress

from damasktally.http1.messages import Response
from damasktally.http1.response_stream import ResponseStream
from damasktally.http1.socket_options import (
    limit_pipelined_responses,
    unacknowledged_bytes,
)

LINGERING_CLOSE_S = 1.0
"""Seconds for which a connection is still read after its last response was sent.

Closing a socket that holds unread bytes resets the connection, and the caller could
lose the response.
"""


class CallerOutput:
    """The writing side of a caller's connection.

    :param transport: the caller's connection.
    :param loop: event loop of the connection.
    :param idle_timeout_s: returns the seconds for which a caller may read nothing of
        the last bytes of a response.
    """

    def __init__(
        self,
        transport: Transport,
        loop: AbstractEventLoop,
        idle_timeout_s: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._idle_timeout_s = idle_timeout_s
        self._loop = loop
        self._stream: ResponseStream | None = None
        self._is_writable = True
        self._is_pipelined = False
        self._flushed: Future[None] | None = None
        self._abort_timer: TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the caller's side has not taken yet."""
        sock = self._transport.get_extra_info("socket")
        return self._transport.get_write_buffer_size() + unacknowledged_bytes(sock)

    @property
    def has_stream(self) -> bool:
        """Return whether a response was begun that is not ended yet."""
        return self._stream is not None

    def pause(self) -> None:
        """Hold up the response, as the connection has too many unsent bytes."""
        self._is_writable = False
        if self._stream is not None:
            self._stream.pause()

    def resume(self) -> None:
        """Let the response go on, or let the wait for its last bytes end."""
        self._is_writable = True
        if self._stream is not None:
            self._stream.resume()
        if self._flushed is not None and not self._flushed.done():
            self._flushed.set_result(None)

    def begin_stream(
        self, head: Response, length: int | None, close: bool
    ) -> ResponseStream:
        """Write the head of a response, and return the stream that takes its body.

        :param length: bytes of the body, or ``None`` if that is unknown.
        :param close: whether the head announces that the connection is closed.
        """
        self._stream = ResponseStream(
            self._transport, head, length, close, self._loop.time
        )
        self._stream.begin()
        if not self._is_writable:
            self._stream.pause()
        return self._stream

    def discard_stream(self) -> None:
        """Forward nothing more, as the caller has left."""
        if self._stream is not None:
            self._stream.discard()

    async def end_stream(self) -> bool:
        """Wait until the response was sent, or abort the connection if it broke off.

        :returns: whether the connection may be used for another response.
        """
        stream, self._stream = self._stream, None
        is_open = not self._transport.is_closing()
        if not (stream.is_complete and is_open and await self._flush()):
            self._transport.abort()
            return False
        return not stream.closes_connection

    async def end_turn(self) -> bool:
        """Let other connections go on before the next of several requests is handled.

        Its response follows once the last one was passed to the kernel, which holds
        few bytes of a caller that does not read.

        :returns: whether the connection may be used for another response.
        """
        if not self._is_pipelined:
            self._is_pipelined = True
            limit_pipelined_responses(self._transport.get_extra_info("socket"))
        await sleep(0)
        return await self._flush()

    def end(self) -> None:
        """Close the writing side, and abort once all was sent, or the caller stops.

        The caller may read slowly. It is given up if it takes nothing for the idle
        timeout.
        """
        if self._transport.is_closing():
            return
        unsent_bytes = self.unsent_bytes
        try:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which was not read yet.
            self._transport.abort()
            return
        self._check_later(unsent_bytes, 0.0)

    def _check_later(self, unsent_bytes: int, stalled_s: float) -> None:
        self._abort_timer = self._loop.call_later(
            LINGERING_CLOSE_S, self._abort_unless_sending, unsent_bytes, stalled_s
        )

    def _abort_unless_sending(self, last_unsent_bytes: int, stalled_s: float) -> None:
        """Abort if all was sent for a while, or nothing is taken any more.

        :param last_unsent_bytes: bytes that were unsent at the last check.
        :param stalled_s: seconds for which they did not become fewer.
        """
        unsent_bytes = self.unsent_bytes
        has_progress = unsent_bytes < last_unsent_bytes
        stalled_s = 0.0 if has_progress else stalled_s + LINGERING_CLOSE_S
        is_over = stalled_s >= self._idle_timeout_s() if unsent_bytes else stalled_s > 0
        if is_over:
            self._transport.abort()
        else:
            self._check_later(unsent_bytes, stalled_s)

    def cancel_abort(self) -> None:
        """Cancel the abort, as the connection was lost."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()

    async def _flush(self) -> bool:
        """Wait until all bytes were passed to the kernel.

        A planned stop thereby waits for them, too. A caller that reads nothing for the
        idle timeout is given up.

        :returns: whether all bytes were passed on.
        """
        transport = self._transport
        transport.set_write_buffer_limits(0)
        while unsent_bytes := transport.get_write_buffer_size():
            self._flushed = self._loop.create_future()
            with suppress(TimeoutError):
                async with async_timeout(self._idle_timeout_s()):
                    await self._flushed
            self._flushed = None
            if transport.is_closing():
                return False
            if transport.get_write_buffer_size() >= unsent_bytes:
                return False
        return True
