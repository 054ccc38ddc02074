"""Accept caller connections, parse HTTP/1.1 requests and write the responses."""

from asyncio import Task, Transport, get_running_loop
from collections import deque
from dataclasses import dataclass
from traceback import format_exc

from damasktally.events import emit
from damasktally.events.catalogue import HANDLER_FAILED
from damasktally.fleet.model import CallerLimits
from damasktally.http1.caller_output import CallerOutput
from damasktally.http1.messages import Headers, Request, Response, encode_response
from damasktally.http1.open_connections import ConnectionState
from damasktally.http1.port_state import PortState
from damasktally.http1.request_reader import RequestReader
from damasktally.http1.response_stream import ResponseStream
from damasktally.http1.shared_reads import SharedReadProtocol

MAX_ARRIVAL_S = 60.0
"""Seconds from a request's first byte until all of it has to be received."""
OVERLOAD_RETRY_AFTER = (b"retry-after", b"0.5")
"""Header of a refusal for lack of memory; the value is in seconds."""
MAX_QUEUED_REQUESTS = 2
"""Pipelined requests that may wait on a connection before reading is paused."""


@dataclass(slots=True)
class CallerPort(PortState):
    """A listening port for callers, or for other hosts that forward requests."""

    def create_protocol(self) -> "CallerConnection":
        """Create the protocol for a new connection."""
        return CallerConnection(self)


class CallerConnection(SharedReadProtocol):
    """Protocol of one caller connection.

    Requests are handled one at a time, in the order of arrival, as pipelining requires.
    """

    def __init__(self, port: CallerPort) -> None:
        super().__init__(port.read_buffer)
        self._port = port
        self._loop = get_running_loop()
        self._reader = RequestReader(port, self, self._loop)
        self._transport: Transport | None = None
        self._queue: deque[Request] = deque()
        self._queue_task: Task | None = None
        self._active_request: Request | None = None
        self._output: CallerOutput | None = None
        self._refusal: Response | None = None

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or handled, or a response is sent."""
        if self._queue_task is not None or self._reader.started_at is not None:
            return True
        return self._output.unsent_bytes > 0

    def connection_made(self, transport: Transport) -> None:
        """Register the connection, or abort it if the port is closed."""
        self._transport = transport
        self._reader.attach(transport)
        self._output = CallerOutput(transport, self._loop, self._port.idle_timeout_s)
        if self._port.closed:
            # The process is about to exit and would not wait for the request.
            transport.abort()
            return
        self._port.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the buffered bytes and cancel the connection's requests."""
        self._port.connections.discard(self)
        self._reader.close()
        self._output.cancel_abort()
        self.handle_disconnect()
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
        self.handle_disconnect()
        return False

    def handle_disconnect(self) -> None:
        """Drop the queued requests and notify the one that is being handled."""
        for req in self._queue:
            self._release(req)
        self._queue.clear()
        req = self._active_request
        if req is not None and not req.is_disconnected:
            req.is_disconnected = True
            self._output.discard_stream()
            if req.on_disconnect is not None:
                req.on_disconnect()

    @property
    def max_read_bytes(self) -> int:
        """Return the bytes that the next read takes at most."""
        return self._reader.max_read_bytes

    def data_received(self, data: bytes | memoryview) -> None:
        """Read requests from received bytes."""
        self._reader.feed(data)

    @property
    def may_interrupt(self) -> bool:
        """Return whether an interim response would interrupt no other one."""
        return not self._output.has_stream

    @property
    def is_full(self) -> bool:
        """Return whether more requests have to wait until others were handled."""
        return len(self._queue) > MAX_QUEUED_REQUESTS

    def queue_request(self, req: Request) -> None:
        """Queue a request, and start the queue task unless it is running."""
        req.begin_stream = self._begin_stream
        self._queue.append(req)
        if self.is_full:
            self._transport.pause_reading()
        if self._queue_task is None:
            self._port.connections.mark(self, ConnectionState.BUSY)
            self._queue_task = self._loop.create_task(self._process_queue())

    async def _process_queue(self) -> None:
        """Handle queued requests in order until none is left or the connection ends."""
        try:
            while self._queue and not self._transport.is_closing():
                if not await self._respond(self._queue.popleft()):
                    return
                self._reader.resume()
                if self._queue and not await self._output.end_turn():
                    self._transport.abort()
                    return
            self._write_refusal()
        finally:
            self._queue_task = None
            if not self._reader.is_closed:
                self._port.connections.mark(self, ConnectionState.IDLE)
            self._reader.last_byte_at = self._loop.time()
            self._reader.resume()

    async def _respond(self, req: Request) -> bool:
        """Handle a request and send its response.

        :returns: whether the connection may be used for another response.
        """
        self._active_request = req
        response = await self._handle(req)
        self._active_request = None
        self._release(req)
        if self._output.has_stream:
            if await self._output.end_stream():
                return True
            self._close_after_response()
            return False
        if req.is_disconnected:
            self._write_refusal()
            return False
        return self._write_response(req, response)

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

    def _release(self, req: Request) -> None:
        """Release the memory of a request."""
        self._port.memory.release(req.held_bytes)
        if req.upload is not None:
            req.upload.discard()
            self._port.uploads.end(req.upload)

    def refuse(self, status: int, headers: Headers | None = None) -> None:
        """Respond with an error status and close the connection.

        The responses to earlier requests on the connection come first.
        """
        if self._reader.is_closed:
            return
        self._reader.close()
        self._refusal = Response(status, headers or [], b"")
        if self._queue_task is None:
            self._write_refusal()

    def evict(self) -> None:
        """Refuse the request that is being received, for lack of memory."""
        self.refuse(503, [OVERLOAD_RETRY_AFTER])

    def _write_refusal(self) -> None:
        """Write the refusal that waits, if there is one."""
        if self._refusal is not None and not self._transport.is_closing():
            self._transport.write(encode_response(self._refusal, True, False))
            self._close_after_response()

    def _close_after_response(self) -> None:
        """Take no more requests, and close the connection."""
        self._reader.close()
        self._port.connections.mark(self, ConnectionState.ENDED)
        self._output.end()

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it exceeded a timeout.

        An idle connection is closed; a request that arrives too slowly gets a 408.

        :param now: time of the event loop's clock in seconds.
        """
        reader = self._reader
        if reader.is_closed:
            return
        is_idle = now - reader.last_byte_at > limits.idle_timeout_s
        if is_idle and reader.upload is not None and reader.upload.is_awaited:
            self.refuse(408)
            self.handle_disconnect()
        if self._queue_task is not None:
            return
        if reader.started_at is None:
            if is_idle:
                self._transport.close()
        elif reader.is_in_head and now - reader.started_at > limits.head_timeout_s:
            self.refuse(408)
        elif is_idle or now - reader.started_at > MAX_ARRIVAL_S:
            self.refuse(408)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        if not self.is_busy and not self._reader.is_closed:
            self._transport.close()
