"""Keep connections to servers, and match each answer to its request."""

from asyncio import (
    AbstractEventLoop,
    Future,
    Protocol,
    Transport,
    get_running_loop,
    wait_for,
)
from collections.abc import Callable
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from damasktally.errors import DamasktallyError
from damasktally.http1.messages import BODYLESS_STATUSES, Headers, Response

MAX_RESPONSE_BODY_BYTES = 32 * 1024 * 1024
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
USER_TIMEOUT_MS = 3000
MIN_FINAL_STATUS = 200

ResponseMatcher = Callable[[Response], bool]
"""Tells whether an answer belongs to the request that waits."""


class ConnectFailed(DamasktallyError):
    """Tell that no connection was made, so that nothing was sent."""


class AnswerLost(DamasktallyError):
    """Tell that a request was sent, and that no whole answer came back."""


class ServerConnection(Protocol):
    """Send one request at a time and collect its answer.

    An answer that the request does not accept is dropped: it belongs to an earlier
    request of the same connection. Bytes that come while nothing waits, or after an
    answer, end the connection, so that they can never meet another request.
    """

    def __init__(self) -> None:
        self._loop: AbstractEventLoop = get_running_loop()
        self._transport: Transport | None = None
        self._parser = HttpResponseParser(self)
        self._pending_response: Future[Response] | None = None
        self._matches: ResponseMatcher | None = None
        self._head_only = False
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_body = False
        self._is_unsolicited = False
        self._received_eof = False
        self.idle_since = self._loop.time()
        self.keep_alive_timeout_s: float | None = None
        self._reusable = True

    def connection_made(self, transport: Transport) -> None:
        """Take the transport."""
        self._transport = transport

    @property
    def can_send(self) -> bool:
        """Tell whether the connection can carry another request."""
        transport = self._transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
            and self._pending_response is None
        )

    def send(
        self, data: bytes, matches: ResponseMatcher, head_only: bool = False
    ) -> Future[Response]:
        """Send a request.

        :returns: its answer, or :class:`AnswerLost`.
        """
        self._pending_response = self._loop.create_future()
        self._matches = matches
        self._head_only = head_only
        self._transport.write(data)
        return self._pending_response

    def close(self) -> None:
        """Close the connection; an answer that is still expected is given up."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        if self._pending_response is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as exc:
            self._fail(f"its bytes are no answer: {exc}")

    def eof_received(self) -> bool:
        """Note that the server closed its side in order."""
        self._received_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer that was under way."""
        self._reusable = False
        if self._pending_response is None:
            return
        ends_at_close = self._in_body and not self._has_known_length()
        if ends_at_close and self._received_eof and exc is None:
            self._complete_response()
            return
        self._fail("the connection ended before the answer was whole")

    def on_message_begin(self) -> None:
        """Start a new answer."""
        if self._pending_response is None:
            self._is_unsolicited = True
            self._reusable = False
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note that the body follows."""
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._fail("its answer is too large")

    def on_message_complete(self) -> None:
        """Deliver the answer, or drop it."""
        if not self._is_unsolicited:
            self._complete_response()

    def _complete_response(self) -> None:
        self._in_body = False
        status = self._parser.get_status_code()
        if status < MIN_FINAL_STATUS or self._pending_response is None:
            return
        response = Response(status, self._headers, b"".join(self._body))
        keep_alive = self._parser.should_keep_alive() and not self._received_eof
        if not self._matches(response):
            self._reusable = False
            return
        # An answer that comes before the request is out leaves the rest of the body
        # due, so that the next request must not follow on this connection.
        flushed = self._transport.get_write_buffer_size() == 0
        self._reusable = self._reusable and keep_alive and flushed
        self.idle_since = self._loop.time()
        self.keep_alive_timeout_s = _parse_keep_alive_timeout(response)
        pending_response, self._pending_response = self._pending_response, None
        if not pending_response.done():
            pending_response.set_result(response)
        if not self._reusable:
            self._transport.close() if flushed else self._transport.abort()

    def _has_known_length(self) -> bool:
        if self._parser.get_status_code() in BODYLESS_STATUSES or self._head_only:
            return True
        names = {name for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _fail(self, cause: str) -> None:
        pending_response, self._pending_response = self._pending_response, None
        self.close()
        if pending_response is not None and not pending_response.done():
            pending_response.set_exception(
                AnswerLost(f"The server gave no whole answer: {cause}.", "Try again.")
            )


async def connect(address: tuple[str, int], timeout_s: float) -> ServerConnection:
    """Open a connection.

    :raises ConnectFailed: when there is none within the time.
    """
    loop = get_running_loop()
    try:
        transport, conn = await wait_for(
            loop.create_connection(ServerConnection, *address), timeout_s
        )
    except (OSError, TimeoutError) as exc:
        raise ConnectFailed(
            f"No connection to {address[0]}:{address[1]}: {type(exc).__name__}.",
            "Check that it runs and can be reached.",
        ) from exc
    enable_keepalive(transport.get_extra_info("socket"))
    return conn


def enable_keepalive(sock: socket) -> None:
    """Let the kernel probe a connection, so that one that went silent ends."""
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _parse_keep_alive_timeout(response: Response) -> float | None:
    value = response.header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        key, _, timeout = part.strip().partition(b"=")
        if key.lower() == b"timeout" and timeout.isdigit():
            return float(timeout)
    return None
