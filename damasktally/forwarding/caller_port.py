"""Accept callers' requests over HTTP/1.1.

The port runs cheroot's server with a strict header parser, and streams bodies instead
of reading them into memory.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from errno import ECONNRESET
from threading import Thread
from uuid import uuid4

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from damasktally.admission.keys import find_secret
from damasktally.clock import Clock
from damasktally.forwarding.attempt import TIMEOUT_HEADER, CallerRequest
from damasktally.forwarding.exceptions import UpstreamError
from damasktally.forwarding.refusals import (
    BAD_REQUEST,
    INTERNAL_ERROR,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    Refusal,
)
from damasktally.forwarding.request_parsing import (
    InvalidBody,
    RequestBody,
    StrictHeaderReader,
    parse_target_path,
)

MAX_HEAD_BYTES = 32_768
HEAD_TIMEOUT_S = 10
MAX_REQUEST_TIMEOUT_S = 60.0
SERVER_NAME = "damasktally"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_DRAINED_BODY_BYTES = 65_536
"""Longest body of a refused request that is read, so that the connection stays open."""


@dataclass(frozen=True, slots=True)
class CallerPortHooks:
    """Functions that the port calls to handle requests.

    :param handle_request: forwards a request; see :meth:`Forwarder.handle`.
    :param handle_lookup: returns the body of the response to a look-up, and its
        lifetime in seconds.
    :param find_region: returns the region of a caller's address, or ``""``.
    :param is_closing: returns whether connections are closed after their response.
    :param clock: the clock of the requests' deadlines, in seconds.
    """

    handle_request: Callable[[CallerRequest, "GatewayResponseWriter"], Refusal | None]
    handle_lookup: Callable[[CallerRequest], tuple[bytes, int]]
    find_region: Callable[[str], str]
    is_closing: Callable[[], bool]
    clock: Clock


class StrictRequest(HTTPRequest):
    """A request whose headers are parsed strictly and whose body is streamed."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.header_reader = StrictHeaderReader()
        self.body: RequestBody | None = None

    def respond(self) -> None:
        """Pass the request to the gateway, and end its response."""
        self.body = self._make_body()
        self.rfile = self.conn.rfile
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse a request that is malformed, or whose handling failed."""
        self.close_connection = True
        # Once the request was passed to the gateway, it may have run.
        reason = BAD_REQUEST if self.body is None else INTERNAL_ERROR
        self.outheaders = [
            (OUTCOME_HEADER.encode(), reason.outcome.value.encode()),
            (REASON_HEADER.encode(), reason.code.encode()),
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(msg)).encode()),
            (b"Connection", b"close"),
        ]
        head = [f"HTTP/1.1 {status}".encode()]
        head += [name + b": " + value for name, value in self.outheaders]
        try:
            self.conn.wfile.write(b"\r\n".join(head) + b"\r\n\r\n" + msg.encode())
        except OSError:
            return

    def _make_body(self) -> RequestBody:
        expects_continue = self.header_reader.expects_continue
        before_first_read = self._send_continue if expects_continue else None
        if self.chunked_read:
            return RequestBody(self.conn.rfile, None, before_first_read)
        length = int(self.inheaders.get(b"Content-Length", 0))
        return RequestBody(self.conn.rfile, length, before_first_read)

    def _send_continue(self) -> None:
        self.conn.wfile.write(CONTINUE_RESPONSE)


class StrictConnection(HTTPConnection):
    """A connection that creates strict requests."""

    RequestHandlerClass = StrictRequest


class CallerServer(HTTPServer):
    """cheroot's server with the limits of the callers' port."""

    ConnectionClass = StrictConnection
    protocol = "HTTP/1.1"
    keep_alive_conn_limit = None
    max_request_header_size = MAX_HEAD_BYTES
    timeout = HEAD_TIMEOUT_S
    expiration_interval = 0.5
    shutdown_timeout = 5


class GatewayResponseWriter:
    """Write a response through cheroot.

    :param req: cheroot's request.
    :param closes_connection: whether the connection is closed after the response.
    """

    def __init__(
        self, req: StrictRequest, request_id: str, closes_connection: bool
    ) -> None:
        self._req = req
        self._request_id = request_id
        self._closes_connection = closes_connection
        self._omits_body = req.method == b"HEAD"

    @property
    def is_started(self) -> bool:
        """Return whether the head was written."""
        return self._req.sent_headers

    def write_head(
        self, status: str, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write the status line and the headers.

        :param status: status code and reason phrase.
        :param length: size of the body in bytes, or nothing if it is not known.
        """
        req = self._req
        req.status = status.encode("latin-1", "replace")
        encoded_headers = [
            (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
            for name, value in headers
            if name.lower() != REQUEST_ID_HEADER.lower()
        ]
        encoded_headers.append((REQUEST_ID_HEADER.encode(), self._request_id.encode()))
        if length is not None:
            encoded_headers.append((b"Content-Length", str(length).encode()))
        req.outheaders = encoded_headers
        if self._closes_connection or not req.body.is_finished:
            req.close_connection = True
        req.ensure_headers_sent()

    def write_body(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        if data and not self._omits_body:
            self._req.write(data)


class CallerGateway(Gateway):
    """Convert cheroot's request to a ``CallerRequest`` and handle it."""

    hooks: CallerPortHooks

    def respond(self) -> None:
        """Handle one request and write its response.

        :raises ConnectionResetError: if the response ends early. cheroot then closes
            the connection, so that the caller cannot take the response for complete.
        """
        request_id = uuid4().hex
        writer = GatewayResponseWriter(self.req, request_id, self.hooks.is_closing())
        try:
            req = self._make_request(request_id)
        except ValueError:
            self._send_refusal(writer, Refusal(BAD_REQUEST), request_id)
            return
        if req.path == b"/v1/lookup":
            self._handle_lookup(req, writer)
            return
        try:
            refusal = self.hooks.handle_request(req, writer)
        except (UpstreamError, InvalidBody) as exc:
            raise ConnectionResetError(ECONNRESET, exc.message) from exc
        if refusal is not None:
            self._send_refusal(writer, refusal, request_id)

    def _make_request(self, request_id: str) -> CallerRequest:
        cheroot_request = self.req
        now = self.hooks.clock()
        fields = cheroot_request.header_reader.fields
        address = cheroot_request.conn.remote_addr or ""
        return CallerRequest(
            request_id=request_id,
            method=cheroot_request.method.decode("ascii"),
            target=cheroot_request.uri.decode("ascii"),
            path=parse_target_path(cheroot_request.uri),
            headers=fields,
            body=cheroot_request.body,
            sock=cheroot_request.conn.socket,
            caller_region=self.hooks.find_region(address),
            received_at=now,
            deadline=now + _requested_timeout_s(fields),
            secret=find_secret(fields),
        )

    def _handle_lookup(self, req: CallerRequest, writer: GatewayResponseWriter) -> None:
        body, lifetime_s = self.hooks.handle_lookup(req)
        headers = [
            ("Content-Type", "application/json"),
            ("Cache-Control", f"private, max-age={lifetime_s}"),
        ]
        writer.write_head("200 OK", headers, len(body))
        writer.write_body(body)

    def _send_refusal(
        self, writer: GatewayResponseWriter, refusal: Refusal, request_id: str
    ) -> None:
        reason = refusal.reason
        headers = [
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, reason.outcome.value),
            (REASON_HEADER, reason.code),
        ]
        retry_after_s = refusal.retry_after_header()
        if retry_after_s is not None:
            headers.append(("Retry-After", str(retry_after_s)))
        if reason.status.startswith("401"):
            headers.append(("WWW-Authenticate", "Bearer"))
        if reason is BAD_REQUEST:
            self.req.close_connection = True
        else:
            self._drain_small_body()
        body = refusal.to_json(request_id)
        writer.write_head(reason.status, headers, len(body))
        writer.write_body(body)

    def _drain_small_body(self) -> None:
        """Read the rest of a small body, so that the connection can be reused."""
        body = self.req.body
        if (
            body.is_chunked
            or body.is_finished
            or self.req.header_reader.expects_continue
        ):
            return
        if body.length > MAX_DRAINED_BODY_BYTES:
            return
        try:
            while body.read(MAX_DRAINED_BODY_BYTES):
                pass
        except InvalidBody:
            self.req.close_connection = True


class CallerPort:
    """The HTTP port that callers connect to.

    :param address: host name or IP address, and port.
    :param threads: number of requests that are handled at once.
    """

    def __init__(
        self, address: tuple[str, int], threads: int, hooks: CallerPortHooks
    ) -> None:
        gateway = type("BoundGateway", (CallerGateway,), {"hooks": hooks})
        self._server = CallerServer(
            address, gateway, minthreads=threads, server_name=SERVER_NAME
        )
        self._server.request_queue_size = 512

    @property
    def port(self) -> int:
        """Return the number of the bound port."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Bind the port and serve it in a thread."""
        self._server.prepare()
        self._server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        Thread(target=self._server.serve, name="caller-port", daemon=True).start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()


def _requested_timeout_s(fields: list[tuple[str, str]]) -> float:
    """Return the timeout that the caller requested, or the maximum.

    :returns: seconds, at most ``MAX_REQUEST_TIMEOUT_S``.
    :raises ValueError: if the header is not a positive integer.
    """
    for name, value in fields:
        if name == TIMEOUT_HEADER.lower():
            if not value.isdigit() or int(value) == 0:
                raise ValueError("The timeout is not a positive number.")
            return min(MAX_REQUEST_TIMEOUT_S, int(value) / 1000)
    return MAX_REQUEST_TIMEOUT_S
