"""Forward the body of a response to its caller while it arrives from the server."""

from asyncio import Transport
from collections.abc import Callable

from damasktally.http1.messages import (
    LAST_CHUNK,
    Response,
    encode_chunk,
    encode_response_head,
)
from damasktally.http1.socket_options import limit_send_buffer

MAX_UNSENT_BYTES = 32 * 1024
"""Unsent bytes at the caller's connection beyond which reading from the server pauses.

One more read from the server may follow, so that twice as many can be in the host.
"""
RESUME_UNSENT_BYTES = 16 * 1024
"""Unsent bytes at which reading from the server goes on."""

Clock = Callable[[], float]


class ResponseStream:
    """Write a response to the caller's connection as it arrives.

    Reading from the server pauses while the caller's connection has too many unsent
    bytes, and until :meth:`grant` says that the host has memory for the body.

    :param transport: the caller's connection.
    :param head: status and headers for the caller.
    :param length: bytes of the whole body, or ``None`` if that is unknown: the body is
        then sent in chunks, the last of which says that it is complete.
    :param closes_connection: whether the head announces that the connection is closed
        after the response.
    :param now: the event loop's clock, in seconds.

    ``is_complete`` is whether the whole body was received, and ``is_discarded`` whether
    the caller has left, so that nothing more is forwarded.
    """

    def __init__(
        self,
        transport: Transport,
        head: Response,
        length: int | None,
        closes_connection: bool,
        now: Clock,
    ) -> None:
        self._transport = transport
        self._now = now
        self._pause_source: Callable[[], None] | None = None
        self._resume_source: Callable[[], None] | None = None
        self._is_granted = False
        self._is_caller_ready = True
        self._held_up_since: float | None = None
        self._held_up_s = 0.0
        self.head = head
        self.length = length
        self.closes_connection = closes_connection
        self.is_complete = False
        self.is_discarded = False

    def begin(self) -> None:
        """Write the head."""
        limit_send_buffer(self._transport.get_extra_info("socket"))
        self._transport.set_write_buffer_limits(MAX_UNSENT_BYTES, RESUME_UNSENT_BYTES)
        self._transport.write(
            encode_response_head(self.head, self.length, self.closes_connection)
        )

    def attach(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Set how reading from the server is paused and resumed."""
        self._pause_source = pause
        self._resume_source = resume
        self._update_reading()

    def grant(self) -> None:
        """Allow the body to take memory."""
        self._is_granted = True
        self._update_reading()

    def pause(self) -> None:
        """Pause reading, as the caller reads more slowly than the server sends."""
        self._is_caller_ready = False
        self._update_reading()

    def resume(self) -> None:
        """Resume reading, as the caller has read most of what was sent."""
        self._is_caller_ready = True
        self._update_reading()

    def discard(self) -> None:
        """Receive the rest without forwarding it, as the caller has left."""
        self.is_discarded = True
        self.resume()

    def write(self, data: bytes) -> None:
        """Forward a part of the body."""
        if self.is_discarded or not data:
            return
        if self.length is None:
            data = encode_chunk(data)
        self._transport.write(data)

    def finish(self) -> None:
        """Record that the whole body was received, and end all pauses."""
        self.is_complete = True
        if self.length is None and not self.is_discarded:
            self._transport.write(LAST_CHUNK)
        self._add_held_up_time()
        if self._resume_source is not None:
            self._resume_source()
        self._pause_source = self._resume_source = None

    @property
    def is_caller_slow(self) -> bool:
        """Return whether the server is held up now, as the caller does not read."""
        return not self._is_caller_ready

    @property
    def held_up_s(self) -> float:
        """Return the seconds for which the caller or the memory held up the server."""
        if self._held_up_since is None:
            return self._held_up_s
        return self._held_up_s + self._now() - self._held_up_since

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait at the caller's connection."""
        return self._transport.get_write_buffer_size()

    def _add_held_up_time(self) -> None:
        self._held_up_s = self.held_up_s
        self._held_up_since = None

    def _update_reading(self) -> None:
        """Pause or resume reading from the server."""
        if self._pause_source is None:
            return
        is_ready = self._is_granted and self._is_caller_ready
        if is_ready or self.is_discarded:
            self._add_held_up_time()
            self._resume_source()
            return
        if self._held_up_since is None:
            self._held_up_since = self._now()
        self._pause_source()
