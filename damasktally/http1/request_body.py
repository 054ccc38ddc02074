"""Forward the body of a request to a server while it arrives from the caller."""

from asyncio import AbstractEventLoop, Transport
from typing import Protocol

from damasktally.http1.messages import CONTINUE_RESPONSE, LAST_CHUNK, encode_chunk
from damasktally.http1.request_head import RequestHead

MAX_WAITING_BYTES = 32 * 1024
"""Bytes that wait in the host beyond which reading from the caller pauses.

One more read from the caller may follow, so that twice as many can be in the host.
"""
RESUME_WAITING_BYTES = 16 * 1024
"""Unsent bytes at the server's connection at which reading goes on."""


class RequestBody:
    """Pass the body of a request on to the server that was chosen for it.

    Until there is a server, the first bytes wait, and reading from the caller pauses.

    A caller that waits for a ``100 Continue`` gets it once there is a server.

    :param head: head of the request, which tells how the body is sent.
    :param source: the caller's connection.

    ``length`` is the stated length in bytes, or ``None`` if the body is sent in chunks,
    in which it is then passed on, too. ``is_complete`` is whether the whole body
    was received, ``is_started`` whether a server may have got a part of it, and
    ``is_refused`` whether it is dropped for lack of memory.
    """

    def __init__(
        self, head: RequestHead, source: Transport, loop: AbstractEventLoop
    ) -> None:
        self._source = source
        # A body in chunks is forwarded when a part of it has arrived.
        self._is_continue_awaited = head.is_continue_awaited and not head.is_chunked
        self._loop = loop
        self._waiting = bytearray()
        self._server: Transport | None = None
        self._is_server_ready = True
        self._is_scheduled = False
        self._forwarded_bytes = 0
        self._forwarded_at = 0.0
        self._is_end_forwarded = False
        self.length = None if head.is_chunked else head.content_length
        self.is_complete = False
        self.is_started = False
        self.is_refused = False

    @property
    def is_forwarded(self) -> bool:
        """Return whether the whole body was written to the server's connection."""
        if self.length is None:
            return self._is_end_forwarded
        return self._forwarded_bytes == self.length

    @property
    def is_awaited(self) -> bool:
        """Return whether a server waits for bytes that the caller has not sent."""
        is_empty = not self._waiting and not self.is_complete
        return self._server is not None and self._is_server_ready and is_empty

    @property
    def awaited_s(self) -> float:
        """Return the seconds for which a server has waited for more bytes."""
        return self._loop.time() - self._forwarded_at if self.is_awaited else 0.0

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes that wait in the host."""
        server = self._server
        unsent_bytes = 0 if server is None else server.get_write_buffer_size()
        return len(self._waiting) + unsent_bytes

    def feed(self, data: bytes | bytearray) -> None:
        """Accept a part of the body from the caller; it is copied."""
        if self.is_refused:
            return
        self._waiting += data
        self._schedule()
        if len(self._waiting) >= MAX_WAITING_BYTES:
            self._source.pause_reading()

    def refuse(self) -> None:
        """Drop the body, as the host has no memory for it."""
        self.is_refused = True

    def discard(self) -> None:
        """Drop what waits and what is still to come, as the request has ended."""
        self.is_refused = True
        self._waiting = bytearray()

    def finish(self) -> None:
        """Record that the whole body was received."""
        self.is_complete = True
        self._schedule()

    def attach(self, server: Transport) -> None:
        """Begin to forward the body to a server."""
        server.set_write_buffer_limits(MAX_WAITING_BYTES, RESUME_WAITING_BYTES)
        self._server = server
        if self._is_continue_awaited and not self.is_complete:
            self._source.write(CONTINUE_RESPONSE)
        self._is_continue_awaited = False
        self._forwarded_at = self._loop.time()
        self._source.resume_reading()
        self._schedule()

    def detach(self) -> None:
        """Forward nothing more, as the attempt has ended."""
        self._server = None
        self._is_server_ready = True

    def pause(self) -> None:
        """Pause, as the server takes the body more slowly than the caller sends."""
        self._is_server_ready = False
        self._source.pause_reading()

    def resume(self) -> None:
        """Resume, as the server has taken most of what was sent."""
        self._is_server_ready = True
        self._source.resume_reading()
        self._schedule()

    @property
    def _has_more(self) -> bool:
        """Return whether bytes of the body wait, or its last chunk does."""
        is_end_due = self.is_complete and self.length is None
        return bool(self._waiting) or (is_end_due and not self._is_end_forwarded)

    def _schedule(self) -> None:
        """Forward what waits, after the events that have arrived were handled.

        One of them may be the server's early response. A write to a connection that
        the server has reset would lose it.
        """
        if self._server is None or self._is_scheduled or not self._has_more:
            return
        self._is_scheduled = True
        self._loop.call_soon(self._forward)

    def _forward(self) -> None:
        """Write what waits to the server's connection."""
        self._is_scheduled = False
        is_ready = self._server is not None and self._is_server_ready
        if not is_ready or not self._has_more or self._server.is_closing():
            return
        self.is_started = True
        data = bytes(self._waiting)
        self._waiting.clear()
        self._forwarded_bytes += len(data)
        self._forwarded_at = self._loop.time()
        if self.length is None:
            data = self._encode_chunks(data)
        self._server.write(data)
        if self._is_server_ready:
            self._source.resume_reading()

    def _encode_chunks(self, data: bytes) -> bytes:
        """Encode a part of a body in chunks, and its end once it is complete."""
        chunks = encode_chunk(data) if data else b""
        self._is_end_forwarded = self.is_complete
        return chunks + LAST_CHUNK if self.is_complete else chunks


class UploadAdmission(Protocol):
    """Decides which request bodies are forwarded as they arrive."""

    def is_large(self, byte_count: int, buffered_bytes: int) -> bool:
        """Return whether a body is forwarded as it arrives.

        :param byte_count: its length, or how much of it has arrived.
        :param buffered_bytes: bytes of bodies that are being received whole.
        """

    def admit(self, body: RequestBody) -> bool:
        """Return whether there is memory for a body, and reserve it."""

    def end(self, body: RequestBody) -> None:
        """Release the memory of a body; more calls have no effect."""
