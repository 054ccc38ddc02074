"""Read the requests that arrive on a caller's connection, within their limits."""

from asyncio import AbstractEventLoop, Transport
from typing import Protocol

from httptools import HttpParserError

from damasktally.http1.framing import FramingCounter
from damasktally.http1.messages import CONTINUE_RESPONSE, Headers, Request
from damasktally.http1.port_state import PortState
from damasktally.http1.request_body import RequestBody
from damasktally.http1.request_head import RequestHead
from damasktally.http1.request_memory import RequestHolder
from damasktally.http1.request_parser import RequestParser, TunnelRequested
from damasktally.http1.shared_reads import (
    HEAD_READ_BYTES,
    READ_BYTES,
    SMALL_READ_BYTES,
)

MESSAGE_END = b"\r\n\r\n"
"""Ends each head, and each body in chunks."""
LINE_END = b"\r\n"
MIN_SLICE_BYTES = 64
"""Bytes that are parsed at a time at least, if there are as many."""


class RequestReceiver(RequestHolder, Protocol):
    """The connection whose requests are read."""

    def queue_request(self, req: Request) -> None:
        """Handle a request, or the head of one whose body is forwarded."""

    def refuse(self, status: int, headers: Headers | None = None) -> None:
        """Respond with an error status and close the connection."""

    def handle_disconnect(self) -> None:
        """End the requests of the connection."""

    @property
    def is_full(self) -> bool:
        """Return whether more requests have to wait until others were handled."""

    @property
    def may_interrupt(self) -> bool:
        """Return whether an interim response may be written now."""


class RequestReader:
    """Read requests from the bytes of a connection.

    They are read whole, unless the port forwards large bodies as they arrive.

    :param port: limits of requests, and of the memory that all take.
    :param receiver: handles what was read.

    ``last_byte_at`` is when bytes arrived last, and ``started_at`` when the first byte
    of the request did that is being read, or ``None``; both in seconds on the event
    loop's clock. ``is_in_head`` is whether its head is being read, ``upload`` its body,
    if that is forwarded. ``is_closed`` is set when no more requests are taken.
    """

    def __init__(
        self,
        port: PortState,
        receiver: RequestReceiver,
        loop: AbstractEventLoop,
    ) -> None:
        self._port = port
        self._receiver = receiver
        self._loop = loop
        self._pieces: list[bytes] = []
        self.on_body = self._pieces.append
        self._parser = RequestParser(self)
        self._transport: Transport | None = None
        self._held_bytes = 0
        self._unparsed = b""
        self.upload: RequestBody | None = None
        self.last_byte_at = loop.time()
        self.is_closed = False
        self._reset_message()

    def _reset_message(self) -> None:
        """Clear what was read of the current request."""
        self._head = RequestHead()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._remaining_body_bytes = 0
        self._is_begun = False
        self._framing = FramingCounter(self._port.limits().head_bytes)
        self.started_at: float | None = None
        self.is_in_head = True

    @property
    def max_read_bytes(self) -> int:
        """Return the bytes that the next read takes at most.

        More are read of a body that is received whole, and of what is dropped. Tiny
        chunks take as much time to parse as small headers.
        """
        if self.is_closed:
            return READ_BYTES
        if self.is_in_head or self._framing.is_mostly_framing:
            return HEAD_READ_BYTES
        return READ_BYTES if self.upload is None else SMALL_READ_BYTES

    def attach(self, transport: Transport) -> None:
        """Set the connection's transport."""
        self._transport = transport

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes, as far as the receiver has room for requests."""
        self.last_byte_at = self._loop.time()
        if self.is_closed:
            return
        if self.started_at is None:
            self.started_at = self.last_byte_at
        if self._unparsed:
            data = self._unparsed + bytes(data)
        self._parse_available(data)

    def resume(self) -> None:
        """Parse what waited until the receiver had room, and read on."""
        data, self._unparsed = self._unparsed, b""
        self._parse_available(data)
        if not (self._unparsed or self._receiver.is_full):
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Read from the connection again if reading was paused."""
        if not self._transport.is_closing() and not self._transport.is_reading():
            self._transport.resume_reading()

    def _parse_available(self, data: bytes | memoryview) -> None:
        """Parse some bytes until the receiver has no room; the rest waits."""
        if len(data) <= self._remaining_body_bytes:
            self._parse(data)
            return
        data, start = bytes(data), 0
        while start < len(data) and not (self.is_closed or self._receiver.is_full):
            if not self._is_begun and data[start] in LINE_END:
                start = self._skip_empty_lines(data, start)
                continue
            end = self._slice_end(data, start)
            self._parse(data[start:end])
            start = end
        if start < len(data) and not self.is_closed:
            self._unparsed = data[start:]
            self._transport.pause_reading()

    def _slice_end(self, data: bytes, start: int) -> int:
        """Return the end of the bytes to parse next, which end few requests."""
        min_end = start + self._remaining_body_bytes + MIN_SLICE_BYTES
        end = data.find(MESSAGE_END, min_end)
        return len(data) if end < 0 else end + len(MESSAGE_END)

    def _skip_empty_lines(self, data: bytes, start: int) -> int:
        """Return where a request begins; the empty lines before it count as a head."""
        end = len(data) - len(data[start:].lstrip(LINE_END))
        self._head_bytes += end - start
        self._check_sizes()
        return end

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse some bytes and check the sizes of what was read.

        The head is limited while it arrives, too, so that an endless one does not
        fill the memory.
        """
        if self.is_in_head:
            self._head_bytes += len(data)
        else:
            self._framing.add_received(len(data))
        try:
            self._parser.feed(data)
        except HttpParserError:
            self._receiver.refuse(400)
        except TunnelRequested:
            self._receiver.refuse(501)
        self._take_body()
        self._check_sizes()
        if not self.is_closed:
            self._count_memory()

    def _check_sizes(self) -> None:
        """Refuse a request whose head or framing is too long."""
        is_too_long = self._head_bytes > self._port.limits().head_bytes
        if (self.is_in_head and is_too_long) or self._framing.is_exceeded():
            self._receiver.refuse(431)

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._reset_message()
        self._is_begun = True
        self.started_at = self.last_byte_at

    def close(self) -> None:
        """Take no more requests, and drop what was received of the current one."""
        self.is_closed = True
        self._unparsed = b""
        if self.upload is None:
            self._drop_message()

    def _drop_message(self) -> None:
        """Drop what was received of the current request."""
        self._port.memory.end_receiving(self._receiver)
        self._port.memory.release(self._held_bytes)
        self._held_bytes = 0
        self._reset_message()

    def _count_memory(self) -> None:
        """Count the memory of what was received, which may be refused for that."""
        held_bytes = self._head.memory_bytes + len(self._body)
        delta = held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        self._port.memory.add_received(self._receiver, held_bytes, delta)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self.is_closed:
            self._head.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header with its name in lower case; drop a trailer.

        Trailers arrive after the body. They could change the meaning of the headers,
        and are dropped, which HTTP allows.
        """
        if self.is_closed:
            return
        if self.is_in_head:
            self._head.add_header(name.lower(), value)
        else:
            self._framing.add_header(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Enforce the size limits, and begin to receive the body."""
        if self.is_closed:
            return
        self.is_in_head = False
        head, limits = self._head, self._port.limits()
        if head.byte_count > limits.head_bytes:
            self._receiver.refuse(431)
            return
        if head.content_length > limits.body_bytes:
            self._receiver.refuse(413)
            return
        self._remaining_body_bytes = head.content_length
        head.resolve_target()
        if self._is_large(head.content_length):
            self._begin_upload()
        elif head.is_continue_awaited and self._receiver.may_interrupt:
            self._transport.write(CONTINUE_RESPONSE)

    def _is_large(self, byte_count: int) -> bool:
        """Return whether a body is forwarded as it arrives."""
        uploads = self._port.uploads
        return uploads is not None and uploads.is_large(
            byte_count, self._port.memory.total_bytes
        )

    def _begin_upload(self) -> None:
        """Queue a request whose body is forwarded as it arrives.

        What has arrived of a body in chunks is its first part.
        """
        self._count_memory()
        if self.is_closed:
            return
        body = RequestBody(self._head, self._transport, self._loop)
        if not self._port.uploads.admit(body):
            body.refuse()
        self.upload = body
        received, self._body = self._body, bytearray()
        self._queue_request()
        body.feed(received)

    def _take_body(self) -> None:
        """Enforce the body limits on what has arrived, and forward it if it is large.

        Its pieces are handled together: there may be one for each byte.
        """
        if not self._pieces:
            return
        data = b"".join(self._pieces)
        self._pieces.clear()
        if self.is_closed:
            return
        self._framing.add_body(len(data))
        self._body_bytes += len(data)
        self._remaining_body_bytes = max(0, self._remaining_body_bytes - len(data))
        if self._body_bytes > self._port.limits().body_bytes:
            self._receiver.refuse(413)
            if self.upload is not None:
                self._receiver.handle_disconnect()
        elif self.upload is not None:
            self.upload.feed(data)
        else:
            self._body += data
            if self._head.is_chunked and self._is_large(len(self._body)):
                self._begin_upload()

    def on_message_complete(self) -> None:
        """Queue the request, unless it was queued before its body arrived."""
        self._take_body()
        if self.is_closed:
            return
        if self.upload is None:
            self._queue_request()
        else:
            self.upload.finish()
            self.upload = None
        self._reset_message()

    def _queue_request(self) -> None:
        """Queue the request whose head, and body if it has one, were read."""
        self._count_memory()
        if self.is_closed:
            return
        req = Request(
            method=self._parser.method,
            target=self._head.target,
            headers=self._head.headers,
            body=bytes(self._body),
            first_byte_at=self.started_at or self.last_byte_at,
            last_byte_at=self.last_byte_at,
            keep_alive=self._parser.should_keep_alive(),
            upload=self.upload,
            accepts_chunks=not self._parser.is_http_1_0,
            held_bytes=self._held_bytes,
        )
        self._head, self._body = RequestHead(), bytearray()
        self._held_bytes = 0
        self._port.memory.end_receiving(self._receiver)
        self._receiver.queue_request(req)
