"""Accept caller connections, parse HTTP/1.1 requests and write the responses."""

from asyncio import Task, Transport, get_running_loop
from collections import deque
from dataclasses import dataclass
from traceback import format_exc

from httptools import HttpParserError

from damasktally.events import emit
from damasktally.events.catalogue import HANDLER_FAILED
from damasktally.fleet.model import CallerLimits
from damasktally.http1.caller_output import CallerOutput
from damasktally.http1.framing import FramingCounter
from damasktally.http1.messages import (
    CONTINUE_RESPONSE,
    Headers,
    Request,
    Response,
    encode_response,
)
from damasktally.http1.port_state import PortState
from damasktally.http1.request_body import RequestBody
from damasktally.http1.request_head import RequestHead
from damasktally.http1.request_parser import RequestParser, TunnelRequested
from damasktally.http1.response_stream import ResponseStream
from damasktally.http1.shared_reads import SharedReadProtocol

MAX_ARRIVAL_S = 60.0
"""Seconds from a request's first byte until all of it has to be received."""
MAX_QUEUED_REQUESTS = 2
"""Pipelined requests that may wait on a connection before reading is paused."""
MAX_BUFFERED_BODY_BYTES = 96 * 1024 * 1024
"""Bytes of request bodies in memory for one port; beyond this, bodies get a 503."""
OVERLOAD_RETRY_AFTER = (b"retry-after", b"0.5")
"""Header of that 503; the value is in seconds."""


@dataclass(slots=True)
class CallerPort(PortState):
    """A listening port for callers, or for other hosts that forward requests."""

    def create_protocol(self) -> "CallerConnection":
        """Create the protocol for a new connection."""
        return CallerConnection(self)


class CallerConnection(SharedReadProtocol):
    """Protocol of one caller connection.

    Requests are handled one at a time, in the order of arrival, as pipelining requires.
    They are read whole, unless the port forwards large bodies as they arrive.
    """

    def __init__(self, port: CallerPort) -> None:
        super().__init__(port.read_buffer)
        self._port = port
        self._loop = get_running_loop()
        self._parser = RequestParser(self)
        self._transport: Transport | None = None
        self._queue: deque[Request] = deque()
        self._queue_task: Task | None = None
        self._active_request: Request | None = None
        self._output: CallerOutput | None = None
        self._upload: RequestBody | None = None
        self._refusal: Response | None = None
        self._closing = False
        self._buffered_bytes = 0
        self._last_byte_at = self._loop.time()
        self._reset_message()

    def _reset_message(self) -> None:
        """Clear what was read of the current request."""
        self._head = RequestHead()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._framing = FramingCounter(self._port.limits().head_bytes)
        self._request_started_at: float | None = None
        self._in_head = True

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or handled, or a response is sent."""
        if self._queue_task is not None or self._request_started_at is not None:
            return True
        return self._output.unsent_bytes > 0

    def connection_made(self, transport: Transport) -> None:
        """Register the connection, or abort it if the port is closed."""
        self._transport = transport
        self._output = CallerOutput(transport, self._loop, self._port.idle_timeout_s)
        if self._port.closed:
            # The process is about to exit and would not wait for the request.
            transport.abort()
            return
        self._port.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the buffered bytes and cancel the connection's requests."""
        self._port.connections.discard(self)
        self._adjust_buffered_bytes(-self._buffered_bytes)
        self._output.cancel_abort()
        self._handle_disconnect()
        # Ends the wait for the last bytes of a response.
        self.resume_writing()

    def pause_writing(self) -> None:
        """Hold up the response that is being forwarded, if there is one."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Let that response go on."""
        self._output.resume()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as disconnected.

        :returns: ``False``, so that the transport closes itself.
        """
        self._handle_disconnect()
        return False

    def _handle_disconnect(self) -> None:
        """Drop the queued requests and notify the one that is being handled."""
        for req in self._queue:
            self._end_upload(req)
        self._queue.clear()
        req = self._active_request
        if req is not None and not req.is_disconnected:
            req.is_disconnected = True
            self._output.discard_stream()
            if req.on_disconnect is not None:
                req.on_disconnect()

    @property
    def is_body_received_whole(self) -> bool:
        """Return whether a body is being received that is not forwarded yet."""
        return not self._in_head and self._upload is None

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed received bytes to the parser and check the head size.

        The head is limited while it arrives, too, so that an endless one does not
        fill the memory.
        """
        now = self._loop.time()
        self._last_byte_at = now
        if self._closing:
            return
        if self._request_started_at is None:
            self._request_started_at = now
        if self._in_head:
            self._head_bytes += len(data)
        else:
            self._framing.add_received(len(data))
        try:
            self._parser.feed(data)
        except HttpParserError:
            self._refuse(400)
            return
        except TunnelRequested:
            self._refuse(501)
            return
        is_too_long = self._head_bytes > self._port.limits().head_bytes
        if (self._in_head and is_too_long) or self._framing.is_exceeded():
            self._refuse(431)

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._reset_message()
        self._request_started_at = self._last_byte_at

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header with its name in lower case; drop a trailer.

        Trailers arrive after the body. They could change the meaning of the headers,
        and are dropped, which HTTP allows.
        """
        if self._in_head:
            self._head.headers.append((name.lower(), value))
        else:
            self._framing.add_header(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Enforce the size limits, and begin to receive the body."""
        self._in_head = False
        head, limits = self._head, self._port.limits()
        if head.byte_count > limits.head_bytes:
            self._refuse(431)
            return
        length = head.content_length
        if length > limits.body_bytes:
            self._refuse(413)
            return
        head.resolve_target()
        uploads = self._port.uploads
        if uploads is not None and length >= uploads.min_bytes:
            self._begin_upload()
        elif head.is_continue_awaited and not self._output.has_stream:
            # The interim response must not interrupt an earlier response.
            self._transport.write(CONTINUE_RESPONSE)

    def _begin_upload(self) -> None:
        """Queue a request whose body is forwarded as it arrives.

        What has arrived of a body in chunks is its first part.
        """
        body = RequestBody(self._head, self._transport, self._loop)
        if not self._port.uploads.admit(body):
            body.refuse()
        received, self._body = bytes(self._body), bytearray()
        self._adjust_buffered_bytes(-len(received))
        self._upload = body
        self._queue_request(self._make_request())
        body.feed(received)

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body, or append it and enforce the body limits."""
        if self._closing:
            return
        self._framing.add_body(len(data))
        self._body_bytes += len(data)
        if self._body_bytes > self._port.limits().body_bytes:
            self._refuse(413)
            if self._upload is not None:
                self._handle_disconnect()
            return
        if self._upload is not None:
            self._upload.feed(data)
            return
        self._body += data
        self._adjust_buffered_bytes(len(data))
        uploads = self._port.uploads
        if uploads is not None and len(self._body) >= uploads.min_bytes:
            self._begin_upload()
        elif self._port.buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._refuse(503, [OVERLOAD_RETRY_AFTER])

    def _adjust_buffered_bytes(self, delta: int) -> None:
        """Add to the buffered bytes of this connection and of its port.

        All bytes are released when the connection is lost, also those of a request
        that is still being handled and whose end releases them again.
        """
        delta = max(delta, -self._buffered_bytes)
        self._buffered_bytes += delta
        self._port.buffered_bytes += delta

    def on_message_complete(self) -> None:
        """Queue the request, unless it was queued before its body arrived."""
        if self._closing:
            return
        if self._upload is None:
            self._queue_request(self._make_request())
        else:
            self._upload.finish()
            self._upload = None
        self._reset_message()

    def _make_request(self) -> Request:
        """Return the request whose head, and body if it has one, were read."""
        return Request(
            method=self._parser.method,
            target=self._head.target,
            headers=self._head.headers,
            body=bytes(self._body),
            first_byte_at=self._request_started_at or self._last_byte_at,
            last_byte_at=self._last_byte_at,
            keep_alive=self._parser.should_keep_alive(),
            upload=self._upload,
            accepts_chunks=not self._parser.is_http_1_0,
            begin_stream=self._begin_stream,
        )

    def _queue_request(self, req: Request) -> None:
        """Queue a request, and start the queue task unless it is running."""
        self._queue.append(req)
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()
        if self._queue_task is None:
            self._queue_task = self._loop.create_task(self._process_queue())

    async def _process_queue(self) -> None:
        """Handle queued requests in order until none is left or the connection ends."""
        try:
            while self._queue and not self._transport.is_closing():
                req = self._queue.popleft()
                self._active_request = req
                response = await self._handle(req)
                self._active_request = None
                self._adjust_buffered_bytes(-len(req.body))
                if req.upload is not None:
                    self._end_upload(req)
                if self._output.has_stream:
                    if not await self._output.end_stream():
                        self._close_after_response()
                        return
                    continue
                if req.is_disconnected:
                    self._write_refusal()
                    return
                if not self._write_response(req, response):
                    return
            self._write_refusal()
        finally:
            self._active_request = None
            self._queue_task = None
            self._last_byte_at = self._loop.time()
            self._resume_reading()

    async def _handle(self, req: Request) -> Response:
        """Return the handler's response, or a 500 if it raises.

        A 500 does not claim that the request did not run.
        """
        try:
            return await self._port.handle(req)
        except Exception as exc:
            emit(HANDLER_FAILED, error=repr(exc), traceback=format_exc())
            return Response(500, [], b"")

    def _begin_stream(
        self, req: Request, head: Response, length: int | None
    ) -> ResponseStream | None:
        """Begin a response whose body is forwarded as it arrives.

        :param length: bytes of the body, or ``None`` if that is unknown.

        :returns: the stream that takes the body, or ``None`` if the caller has left.
        """
        if req.is_disconnected or self._transport.is_closing():
            return None
        close = self._closes_after(req)
        return self._output.begin_stream(head, length, close)

    def _resume_reading(self) -> None:
        """Read from the connection again if reading was paused."""
        if not self._transport.is_closing() and not self._transport.is_reading():
            self._transport.resume_reading()

    def _write_response(self, req: Request, response: Response) -> bool:
        """Write a response.

        :returns: whether the connection stays open.
        """
        close = self._closes_after(req)
        self._transport.write(encode_response(response, close, req.method == b"HEAD"))
        self._port.unsent.add(self._transport)
        if close:
            self._close_after_response()
        return not close

    def _closes_after(self, req: Request) -> bool:
        """Return whether the connection is closed after the response to a request.

        The rest of a body that nobody takes would have to be read before the next one.
        """
        is_unread = req.upload is not None and not req.upload.is_complete
        return self._port.draining or not req.keep_alive or is_unread

    def _end_upload(self, req: Request) -> None:
        """Release the memory of a request's body."""
        if req.upload is not None:
            self._port.uploads.end(req.upload)

    def _refuse(self, status: int, headers: Headers | None = None) -> None:
        """Respond with an error status and close the connection.

        The responses to earlier requests on the connection come first.
        """
        if self._closing:
            return
        self._closing = True
        self._refusal = Response(status, headers or [], b"")
        if self._queue_task is None:
            self._write_refusal()

    def _write_refusal(self) -> None:
        """Write the refusal that waits, if there is one."""
        if self._refusal is not None and not self._transport.is_closing():
            self._transport.write(encode_response(self._refusal, True, False))
            self._close_after_response()

    def _close_after_response(self) -> None:
        """Take no more requests, and close the connection."""
        self._closing = True
        self._output.end()

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it exceeded a timeout.

        An idle connection is closed; a request that arrives too slowly gets a 408.

        :param now: time of the event loop's clock in seconds.
        """
        if self._closing:
            return
        is_idle = now - self._last_byte_at > limits.idle_timeout_s
        if is_idle and self._upload is not None and self._upload.is_awaited:
            self._refuse(408)
            self._handle_disconnect()
        if self._queue_task is not None:
            return
        if self._request_started_at is None:
            if is_idle:
                self._transport.close()
        elif self._in_head and now - self._request_started_at > limits.head_timeout_s:
            self._refuse(408)
        elif is_idle or now - self._request_started_at > MAX_ARRIVAL_S:
            self._refuse(408)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        if not self.is_busy and not self._closing:
            self._transport.close()
