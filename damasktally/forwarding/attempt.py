"""Send one request to one backend server and forward the response."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf
from socket import socket
from typing import Protocol

from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from damasktally.admission.keys import KEY_HEADERS
from damasktally.clock import Clock
from damasktally.forwarding.exceptions import AnswerLost, LinkBusy
from damasktally.forwarding.refusals import REQUEST_ID_HEADER
from damasktally.forwarding.request_parsing import HOP_BY_HOP_HEADERS, RequestBody
from damasktally.forwarding.upstream import (
    RECEIVE_BUFFER_BYTES,
    Connection,
    read_body_chunk,
    read_response_head,
    send_request,
    wait_for_response,
)
from damasktally.resources.view import View
from damasktally.steering.pacer import DirectedLink, Pacer

MAX_CHUNK_BYTES = 65_536
MAX_PACED_CHUNK_BYTES = 16_384
"""Largest chunk of a body that crosses a rate-limited link between regions."""
MIN_PACED_CHUNK_BYTES = 512
WIRE_OVERHEAD_FACTOR = 1.06
"""Bytes on the link for each byte of HTTP, because of TCP and IP headers."""
ESTIMATED_HEAD_BYTES = 1_024
"""Assumed size of the head of a request or response, for the links' rate limits."""
BODYLESS_STATUSES = frozenset((204, 304))
"""Statuses of responses without a body, whatever their headers."""
TIMEOUT_HEADER = "Damasktally-Timeout-Ms"
LOAD_HEADER = "Damasktally-Load"
CUSTOMER_HEADER = "Damasktally-Customer"
PRODUCT_HEADER_PREFIX = "damasktally-"
"""Prefix of this project's headers. Those that a caller sends are not forwarded."""
_EXCLUDED_REQUEST_HEADERS = frozenset(
    (*HOP_BY_HOP_HEADERS, *KEY_HEADERS, "expect", "content-length")
)
_EXCLUDED_RESPONSE_HEADERS = frozenset(
    (*HOP_BY_HOP_HEADERS, "content-length", "date", "server")
)


@dataclass
class CallerRequest:
    """A caller's request, whose body is still to be read.

    :param target: path and query as the caller sent them.
    :param path: the decoded path without the query.
    :param headers: pairs of lower-case name and value, in the order received.
    :param sock: the caller's socket, which is watched for a disconnect.
    :param caller_region: the region of the caller, or ``""`` if it is not known.
    :param received_at: when the head was read, in seconds on the host's clock.
    :param deadline: when the response is due, in seconds on the same clock.
    :param customer: the customer that owns the key; ``""`` before authentication.
    :param secret: the key that the request carries, if any.
    :param authenticated_view: the view in which the key was authenticated.
    """

    request_id: str
    method: str
    target: str
    path: bytes
    headers: list[tuple[str, str]]
    body: RequestBody
    sock: socket | None
    caller_region: str
    received_at: float
    deadline: float
    customer: str = ""
    secret: str | None = None
    authenticated_view: View | None = None

    def header(self, name: str) -> str | None:
        """Return the value of the first header with a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseWriter(Protocol):
    """Interface for writing a response to the caller."""

    @property
    def is_started(self) -> bool:
        """Return whether the head was written."""

    def write_head(
        self, status: str, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write the status line and the headers.

        :param status: status code and reason phrase.
        :param length: size of the body in bytes, or nothing if it is not known.
        """

    def write_body(self, data: bytes) -> None:
        """Write the next bytes of the body."""


@dataclass
class Attempt:
    """One attempt to send a request over one connection.

    :param host: this entry host's name, for the ``Via`` header.
    :param request_links: rate-limited links between regions that the request crosses.
    :param response_links: rate-limited links that the response crosses.
    :param clock: the clock of the request's deadline, in seconds.
    :param on_response_received: called once the server has sent the whole response;
        a slow caller may still be reading it.
    :param was_sent: whether a byte of the request may have reached the server.
    :param reported_load: load from 0 to 1 that the server reported, if any.
    :param bytes_in: bytes of the request's body that were sent.
    :param bytes_out: bytes of the response's body that were received.
    """

    req: CallerRequest
    host: str
    conn: Connection
    pacer: Pacer
    request_links: list[DirectedLink]
    response_links: list[DirectedLink]
    clock: Clock
    on_response_received: Callable[[], None] = lambda: None
    was_sent: bool = False
    status: int = 0
    reported_load: float | None = None
    bytes_in: int = 0
    bytes_out: int = 0
    _reserved_bytes: float = field(default=0.0)
    _response_bytes: float = field(default=inf)

    def send(self) -> HTTPResponse:
        """Send the request and read the head of the response.

        :raises LinkBusy: if a link has no capacity left; nothing was sent.
        :raises UpstreamError: if the server fails.
        :raises InvalidBody: if the caller's body ends early or is malformed.
        """
        self._reserve_heads()
        body = None if self.req.body.is_finished else self._paced_request_body()
        self.was_sent = True
        send_request(
            self.conn,
            self.req.method,
            self.req.target,
            self._request_headers(),
            body,
            self.req.body.is_chunked,
            self.req.deadline - self.clock(),
        )
        wait_for_response(self.conn, self.req.sock, self.req.deadline, self.clock)
        resp = read_response_head(self.conn, self.req.deadline, self.clock)
        length = 0 if self._has_no_body(resp) else _content_length(resp)
        self._response_bytes = inf if length is None else float(length)
        self.status = resp.status
        self.reported_load = _parse_load(resp)
        echoed_id = resp.headers.get(REQUEST_ID_HEADER)
        if echoed_id is not None and echoed_id != self.req.request_id:
            raise AnswerLost(
                f"{self.conn.server} returned the response of another request.",
                "Ask the service for the state before you repeat the request.",
            )
        return resp

    def forward_response(self, resp: HTTPResponse, writer: ResponseWriter) -> None:
        """Forward the response to the caller.

        A response of at most ``MAX_CHUNK_BYTES`` is read completely before its head is
        written. If it is truncated, the caller then gets a refusal with a status of
        its own instead of an incomplete response.
        """
        length = _content_length(resp)
        if self._has_no_body(resp):
            self._finish_response()
            writer.write_head(_status_line(resp), _response_headers(resp), length)
            return
        buffered = b""
        is_complete = length == 0
        while not is_complete and len(buffered) < MAX_CHUNK_BYTES:
            data = self._read_response(resp, MAX_CHUNK_BYTES - len(buffered))
            buffered += data
            is_complete = not data or len(buffered) == length
        if is_complete:
            self._finish_response()
            writer.write_head(
                _status_line(resp), _response_headers(resp), len(buffered)
            )
            writer.write_body(buffered)
            return
        writer.write_head(_status_line(resp), _response_headers(resp), length)
        writer.write_body(buffered)
        while data := self._read_response(resp, MAX_CHUNK_BYTES):
            writer.write_body(data)
        self._finish_response()

    def _finish_response(self) -> None:
        """Refund the unused link bytes, and call ``on_response_received``."""
        unused_bytes = self._reserved_bytes - self.bytes_out * WIRE_OVERHEAD_FACTOR
        for link in self.response_links:
            if unused_bytes > 0:
                self.pacer.refund(link, unused_bytes)
        self.on_response_received()

    def _has_no_body(self, resp: HTTPResponse) -> bool:
        return self.req.method == "HEAD" or resp.status in BODYLESS_STATUSES

    def _reserve_heads(self) -> None:
        """Take the link bytes of what cannot be paced later.

        These are the heads and what the server may send before the first read.
        """
        head_bytes = ESTIMATED_HEAD_BYTES * WIRE_OVERHEAD_FACTOR
        for link in self.request_links:
            self._take_link_bytes(link, head_bytes, LinkBusy)
        for link in self.response_links:
            self._take_link_bytes(link, head_bytes, LinkBusy)
        self._reserve_response_bytes(0, LinkBusy)

    def _reserve_response_bytes(
        self, size: int, error_type: type[LinkBusy] | type[AnswerLost]
    ) -> None:
        """Take link bytes for all that can arrive until ``size`` more bytes are read.

        Besides the bytes that are read, the socket's receive buffer may have filled.
        """
        expected_bytes = min(
            self._response_bytes, self.bytes_out + size + RECEIVE_BUFFER_BYTES
        )
        missing_bytes = expected_bytes * WIRE_OVERHEAD_FACTOR - self._reserved_bytes
        if missing_bytes <= 0:
            return
        for link in self.response_links:
            self._take_link_bytes(link, missing_bytes, error_type)
        self._reserved_bytes += missing_bytes

    def _paced_request_body(self) -> Iterator[bytes]:
        size = self._chunk_size(self.request_links)
        while data := self.req.body.read(size):
            for link in self.request_links:
                self._take_link_bytes(
                    link, len(data) * WIRE_OVERHEAD_FACTOR, AnswerLost
                )
            self.bytes_in += len(data)
            yield data

    def _read_response(self, resp: HTTPResponse, size: int) -> bytes:
        if self.response_links:
            size = min(size, self._chunk_size(self.response_links))
            self._reserve_response_bytes(size, AnswerLost)
        data = read_body_chunk(self.conn, resp, size, self.req.deadline, self.clock)
        self.bytes_out += len(data)
        return data

    def _chunk_size(self, links: list[DirectedLink]) -> int:
        """Return how many bytes to transfer at once.

        A chunk takes half of the smallest burst that the links allow, within the
        bounds of paced chunks.
        """
        if not links:
            return MAX_CHUNK_BYTES
        burst_bytes = min(self.pacer.max_burst_bytes(link) for link in links)
        chunk_bytes = int(burst_bytes / WIRE_OVERHEAD_FACTOR / 2)
        return max(MIN_PACED_CHUNK_BYTES, min(MAX_PACED_CHUNK_BYTES, chunk_bytes))

    def _take_link_bytes(
        self,
        link: DirectedLink,
        byte_count: float,
        error_type: type[LinkBusy] | type[AnswerLost],
    ) -> None:
        # The bytes are taken all at once or not at all. If concurrent requests
        # collected theirs in portions, they would all be sent at the same time later.
        burst_bytes = self.pacer.max_burst_bytes(link)
        is_taken = byte_count <= burst_bytes and self.pacer.take(
            link, byte_count, self.req.customer, self.req.deadline
        )
        if not is_taken:
            raise error_type(
                f"The link from {link.source} to {link.target} has no capacity left.",
                "Retry later, or raise the link's rate limit.",
            )

    def _request_headers(self) -> HTTPHeaderDict:
        connection_options = set()
        for name, value in self.req.headers:
            if name == "connection":
                connection_options.update(
                    part.strip().lower() for part in value.split(",")
                )
        headers = HTTPHeaderDict()
        for name, value in self.req.headers:
            if (
                name in _EXCLUDED_REQUEST_HEADERS
                or name in connection_options
                or self._contains_secret(value)
            ):
                continue
            if name == REQUEST_ID_HEADER.lower() or name.startswith(
                PRODUCT_HEADER_PREFIX
            ):
                continue
            headers.add(name, value)
        headers.add(REQUEST_ID_HEADER, self.req.request_id)
        remaining_ms = max(1, int((self.req.deadline - self.clock()) * 1000))
        headers.add(TIMEOUT_HEADER, str(remaining_ms))
        if self.req.customer:
            headers.add(CUSTOMER_HEADER, self.req.customer)
        headers.add("Via", f"1.1 {self.host}")
        if self.req.body.length:
            headers.add("Content-Length", str(self.req.body.length))
        elif self.req.body.length == 0 and self.req.method in ("POST", "PUT", "PATCH"):
            headers.add("Content-Length", "0")
        for name in ("user-agent", "accept-encoding"):
            if name not in headers:
                headers.add(name, SKIP_HEADER)
        return headers

    def _contains_secret(self, value: str) -> bool:
        return self.req.secret is not None and self.req.secret in value


def _content_length(resp: HTTPResponse) -> int | None:
    text = resp.headers.get("content-length")
    if text is None or not text.isdigit():
        return None
    return int(text)


def _parse_load(resp: HTTPResponse) -> float | None:
    text = resp.headers.get(LOAD_HEADER)
    if text is None:
        return None
    try:
        load = float(text)
    except ValueError:
        return None
    return load if 0 <= load <= 1 else None


def _status_line(resp: HTTPResponse) -> str:
    return f"{resp.status} {resp.reason or ''}".strip()


def _response_headers(resp: HTTPResponse) -> list[tuple[str, str]]:
    connection_options = {
        part.strip().lower()
        for part in (resp.headers.get("connection") or "").split(",")
    }
    return [
        (name, value)
        for name, value in resp.headers.items()
        if name.lower() not in _EXCLUDED_RESPONSE_HEADERS
        and name.lower() not in connection_options
    ]
