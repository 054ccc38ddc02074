"""Match each response on a connection to a backend server to its request."""

from asyncio import AbstractEventLoop, Future, Transport, get_running_loop
from collections.abc import Callable

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from damasktally.errors import DamasktallyError
from damasktally.http1.framing import FramingCounter
from damasktally.http1.messages import (
    BODYLESS_STATUSES,
    VALID_STATUSES,
    Headers,
    Response,
    find_header,
    parse_keep_alive_timeout,
)
from damasktally.http1.request_body import RequestBody
from damasktally.http1.response_memory import ResponseMemory
from damasktally.http1.response_stream import ResponseStream
from damasktally.http1.shared_reads import (
    READ_BYTES,
    SMALL_READ_BYTES,
    SharedReadProtocol,
)
from damasktally.http1.socket_options import (
    has_failed,
    limit_receive_buffer,
    reset_on_close,
    unacknowledged_bytes,
)

MAX_RESPONSE_BODY_BYTES = 32 * 1024 * 1024
"""Responses with a longer body fail, as they are held in memory."""
MAX_SKIPPED_RESPONSES = 16
"""Interim responses, and responses to earlier requests, that may precede the response
to a request."""
END_CHECK_INTERVAL_S = 0.02
"""Time between checks whether a server that ended its side takes the rest of a request.
No event reports that."""
MIN_FINAL_STATUS = 200
"""Lower status codes are interim responses, which a final one follows."""
MAX_SUCCESS_STATUS = 299

ResponseMatcher = Callable[[Response], bool]
"""Returns whether a response belongs to the pending request."""
StreamOpener = Callable[[Response, int | None, int], ResponseStream | None]
"""Decides whether a response is forwarded as it arrives, given its head, the length of
its body if that is known, and how much of it has arrived. Returns the stream that takes
the body, or ``None``."""


class AnswerLost(DamasktallyError):
    """A request was sent, but no complete response was received."""


class ServerConnection(SharedReadProtocol):
    """Protocol of a connection that carries one request at a time.

    A response that does not match the pending request is dropped: it belongs to an
    earlier request on the same connection. Bytes that arrive while no request is
    pending, or after a response, close the connection, so that they are never taken
    for the response to another request.

    A server in trouble may send bytes that never make a complete response. Head,
    framing, body and the number of skipped responses are therefore limited; a response
    beyond a limit fails and the connection is closed.

    :param memory: limits the bytes of all responses that are being received.

    ``on_closed`` is called when the connection has ended, and whether it was reset or
    timed out. ``idle_since`` is when the last response was complete, in seconds on the
    event loop's clock. ``keep_alive_timeout_s`` is how long the server keeps the
    connection open while it is idle, or ``None`` if its last response did not state it.
    """

    def __init__(self, memory: ResponseMemory) -> None:
        super().__init__(memory.read_buffer)
        self._memory = memory
        self._loop: AbstractEventLoop = get_running_loop()
        self._transport: Transport | None = None
        self._parser = HttpResponseParser(self)
        self._pending_response: Future[Response] | None = None
        self._matches: ResponseMatcher | None = None
        self._open_stream: StreamOpener | None = None
        self._min_stream_bytes = 0.0
        self._stream: ResponseStream | None = None
        self._upload: RequestBody | None = None
        self._head_only = False
        self._headers: Headers = []
        self._body = bytearray()
        self._in_body = False
        self._framing = FramingCounter()
        self._skipped_count = 0
        self._asked_at_bytes = 0
        self._streamed_bytes = 0
        self._is_unsolicited = False
        self._received_eof = False
        self._is_end_awaited = False
        self.on_closed: Callable[[bool], None] | None = None
        self._is_unanswered = False
        self.idle_since = self._loop.time()
        self.keep_alive_timeout_s: float | None = None
        self._reusable = True
        self._is_unanswered = False

    def connection_made(self, transport: Transport) -> None:
        """Store the transport."""
        self._transport = transport

    @property
    def can_send(self) -> bool:
        """Return whether another request may be sent on the connection."""
        transport = self._transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
            and self._pending_response is None
        )

    def send(
        self,
        data: bytes,
        matches: ResponseMatcher,
        head_only: bool = False,
        open_stream: StreamOpener | None = None,
        min_stream_bytes: float = 0,
        upload: RequestBody | None = None,
    ) -> Future[Response]:
        """Send an encoded request.

        :param matches: returns whether a response belongs to this request.
        :param head_only: whether the response has no body, as for a HEAD request.
        :param open_stream: decides whether the response is forwarded as it arrives;
            without it, the response is received whole.
        :param min_stream_bytes: length of a body from which on that is asked. If the
            length is unknown, it is asked each time that as many bytes have arrived.
        :param upload: the body of the request, if it is forwarded as it arrives.
        :returns: a future of the response; it fails with :class:`AnswerLost`.
        """
        self._pending_response = self._loop.create_future()
        self._is_unanswered = True
        self._matches = matches
        self._head_only = head_only
        self._open_stream = open_stream
        self._min_stream_bytes = min_stream_bytes
        self._framing = FramingCounter()
        self._skipped_count = 0
        self._upload = upload
        self._transport.write(data)
        if upload is not None:
            upload.attach(self._transport)
        return self._pending_response

    def pause_writing(self) -> None:
        """Hold up the body that is being forwarded to the server, if there is one."""
        if self._upload is not None:
            self._upload.pause()

    def resume_writing(self) -> None:
        """Let that body go on."""
        if self._upload is not None:
            self._upload.resume()

    def close(self) -> None:
        """Close the connection immediately; a pending response is lost.

        If a request was not answered, the connection is reset: bytes of it that the
        network holds up are not to reach the server later.
        """
        self._reusable = False
        if self._transport is None:
            return
        if self._is_unanswered and not self._transport.is_closing():
            reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    @property
    def max_read_bytes(self) -> int:
        """Return the bytes of the next read, more for a body that is received whole."""
        is_body_received_whole = self._in_body and self._stream is None
        return READ_BYTES if is_body_received_whole else SMALL_READ_BYTES

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed received bytes to the parser; close if no request is pending."""
        if self._pending_response is None:
            self.close()
            return
        self._framing.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as exc:
            self._fail(f"malformed HTTP: {exc}")
        if self._pending_response is not None and self._framing.is_exceeded():
            self._fail("its headers or its framing are too long")

    def eof_received(self) -> bool:
        """Record that the server closed its side of the connection properly.

        A response that ends with its connection is not complete yet if the server has
        not taken all of the request: a reset may follow, which means that it broke off.

        :returns: whether the connection stays open for the rest of the request.
        """
        self._received_eof = True
        if not self._ends_at_close() or self._is_request_taken():
            return False
        self._is_end_awaited = True
        self._check_end_later()
        return True

    def _ends_at_close(self) -> bool:
        """Return whether the end of the connection ends the pending response."""
        is_in_response = self._pending_response is not None and self._in_body
        return is_in_response and not self._has_known_length()

    def _is_request_taken(self) -> bool:
        """Return whether the server's side has taken all of the request."""
        if self._upload is not None and not self._upload.is_forwarded:
            return False
        sock = self._transport.get_extra_info("socket")
        unsent_bytes = self._transport.get_write_buffer_size()
        return unsent_bytes + unacknowledged_bytes(sock) == 0

    def _check_end_later(self) -> None:
        self._loop.call_later(END_CHECK_INTERVAL_S, self._check_end)

    def _check_end(self) -> None:
        """Complete the response once the server has taken all of the request."""
        if self._pending_response is None or self._transport.is_closing():
            return
        if has_failed(self._transport.get_extra_info("socket")):
            self._fail("the connection was reset")
        elif self._is_request_taken():
            self._complete_response()
        else:
            self._check_end_later()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the pending response if its body ends at the close, or fail it."""
        self._reusable = False
        if self.on_closed is not None:
            self.on_closed(exc is not None)
        if self._pending_response is None:
            return
        is_end = self._received_eof and exc is None and not self._is_end_awaited
        if is_end and self._ends_at_close():
            self._complete_response()
            return
        self._fail("the connection was closed early")

    def on_message_begin(self) -> None:
        """Reset the parser state, and mark the response if no request is pending."""
        if self._pending_response is None:
            self._is_unsolicited = True
            self._reusable = False
        self._headers = []
        self._discard_body()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header with its name in lower case; drop a trailer.

        Trailers arrive after the body. They could change the meaning of the headers,
        and are dropped, which HTTP allows.
        """
        self._framing.add_header(len(name) + len(value))
        if self._pending_response is not None and not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record that the body follows, and begin to forward it if it is large."""
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            self._fail(f"{status:03d} is no status")
            return
        self._in_body = True
        if self._head_only and status >= MIN_FINAL_STATUS:
            self._complete_head()
        self._asked_at_bytes = 0
        length = self._stated_length()
        if length is not None and length >= self._min_stream_bytes:
            self._try_stream(length)

    def _try_stream(self, length: int | None) -> None:
        """Begin to forward the body, if it may be, with what has arrived of it.

        :param length: stated length of the body, if there is one.
        """
        if self._open_stream is None or self._pending_response is None:
            return
        if not self._may_be_streamed():
            return
        head = Response(self._parser.get_status_code(), self._headers, b"")
        if not self._matches(head):
            return
        stream = self._open_stream(head, length, len(self._body))
        if stream is None:
            return
        transport = self._transport
        limit_receive_buffer(transport.get_extra_info("socket"))
        self._stream = stream
        stream.attach(transport.pause_reading, transport.resume_reading)
        stream.write(bytes(self._body))
        self._streamed_bytes = len(self._body)
        self._discard_body()

    def _complete_head(self) -> None:
        """Deliver a response to a HEAD request, which has a length but no body.

        The parser would wait for the body, so the connection is not reused.
        """
        has_no_body = self._parser.get_status_code() in BODYLESS_STATUSES
        if not has_no_body and find_header(self._headers, b"content-length") != b"0":
            self._reusable = False
            self._complete_response()

    def _may_be_streamed(self) -> bool:
        """Return whether the response is a successful one with a body."""
        status = self._parser.get_status_code()
        return (
            MIN_FINAL_STATUS <= status <= MAX_SUCCESS_STATUS
            and status not in BODYLESS_STATUSES
            and not self._head_only
            and not self._pending_response.done()
        )

    def _stated_length(self) -> int | None:
        """Return the length that the head states, unless the body is in chunks."""
        if find_header(self._headers, b"transfer-encoding") is not None:
            return None
        text = find_header(self._headers, b"content-length")
        return int(text) if text is not None and text.isdigit() else None

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body, or append it and enforce the size limits."""
        if self._pending_response is None:
            return
        self._framing.add_body(len(data))
        if self._stream is not None:
            self._forward_body(data)
            return
        self._body += data
        if len(self._body) > MAX_RESPONSE_BODY_BYTES:
            self._fail("the body is too large")
            return
        self._memory.add(self._abort_body, len(data))
        is_due = len(self._body) - self._asked_at_bytes >= self._min_stream_bytes
        if is_due and self._stated_length() is None:
            self._asked_at_bytes = len(self._body)
            self._try_stream(None)

    def _forward_body(self, data: bytes) -> None:
        """Forward a part of the body, of which an unknown length is limited."""
        self._streamed_bytes += len(data)
        is_endless = self._streamed_bytes > MAX_RESPONSE_BODY_BYTES
        if is_endless and self._stream.length is None:
            self._fail("the body is too large")
        else:
            self._stream.write(data)

    def _abort_body(self) -> None:
        """Fail the response, as all responses together are too large."""
        self._fail("too many bytes of responses are being received")

    def _discard_body(self) -> None:
        self._memory.remove(self._abort_body)
        self._body = bytearray()

    def on_message_complete(self) -> None:
        """Deliver the response, unless it is unsolicited."""
        if not self._is_unsolicited:
            self._complete_response()

    def _complete_response(self) -> None:
        """Resolve the pending response if the parsed one is final and matches."""
        self._in_body = False
        if self._pending_response is None:
            return
        status = self._parser.get_status_code()
        if status < MIN_FINAL_STATUS:
            self._skip_response()
            return
        stream, self._stream = self._stream, None
        response = Response(status, self._headers, bytes(self._body), stream)
        if self._head_only:
            response.stated_length = self._stated_length()
        self._discard_body()
        keep_alive = self._parser.should_keep_alive() and not self._received_eof
        if not self._matches(response):
            self._reusable = False
            self._skip_response()
            return
        # A response may arrive before the request was sent completely. The server
        # then still expects the rest of the body, so the connection is not reused.
        upload, self._upload = self._upload, None
        is_written = upload is None or upload.is_forwarded
        flushed = is_written and self._transport.get_write_buffer_size() == 0
        self._reusable = self._reusable and keep_alive and flushed
        self.idle_since = self._loop.time()
        self.keep_alive_timeout_s = parse_keep_alive_timeout(response)
        if stream is not None:
            stream.finish()
        pending_response, self._pending_response = self._pending_response, None
        if not pending_response.done():
            pending_response.set_result(response)
        if not self._reusable:
            self._transport.close() if flushed else self._transport.abort()

    def _skip_response(self) -> None:
        """Wait for the next response, unless too many were skipped already."""
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSES:
            self._fail("too many other responses came first")

    def _has_known_length(self) -> bool:
        """Return whether the end of the body does not depend on a close."""
        if self._parser.get_status_code() in BODYLESS_STATUSES or self._head_only:
            return True
        names = {name for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _fail(self, cause: str) -> None:
        """Close the connection and fail the pending response."""
        pending_response, self._pending_response = self._pending_response, None
        self._stream = self._upload = None
        self._discard_body()
        self._headers = []
        self.close()
        if pending_response is not None and not pending_response.done():
            pending_response.set_exception(
                AnswerLost(f"Incomplete response from the server: {cause}.", "Retry.")
            )
