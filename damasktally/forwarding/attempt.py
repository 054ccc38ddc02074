"""Send one request to one backend server and pass its answer on."""

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
from damasktally.forwarding.request_parsing import HOP_BY_HOP, RequestBody
from damasktally.forwarding.upstream import (
    RECEIVE_BUFFER_BYTES,
    Connection,
    await_answer,
    read_chunk,
    read_head,
    send_request,
)
from damasktally.resources.view import View
from damasktally.steering.pacer import DirectedLink, Pacer

CHUNK_BYTES = 65_536
CROSSING_CHUNK_BYTES = 16_384
LEAST_CHUNK_BYTES = 512
WIRE_OVERHEAD = 1.06
"""Factor from bytes of HTTP to bytes on the link: TCP and IP headers."""
HEAD_BYTES = 1_024
BODILESS = frozenset((204, 304))
TIMEOUT_HEADER = "Damasktally-Timeout-Ms"
LOAD_HEADER = "Damasktally-Load"
CUSTOMER_HEADER = "Damasktally-Customer"
OWN_PREFIX = "damasktally-"
_DROPPED = frozenset((*HOP_BY_HOP, *KEY_HEADERS, "expect", "content-length"))
_DROPPED_BACK = frozenset((*HOP_BY_HOP, "content-length", "date", "server"))


@dataclass
class CallerRequest:
    """Hold what the caller asked for.

    :param target: path and query, as sent.
    :param headers: lower-case names and values, in order.
    :param sock: the caller's socket, watched for a close.
    :param region: the region the caller is in, or nothing when it is not known.
    :param received_at: seconds.
    :param deadline: seconds on the same clock.
    :param view: the view in which the key was checked.
    """

    request_id: str
    method: str
    target: str
    path: bytes
    headers: list[tuple[str, str]]
    body: RequestBody
    sock: socket | None
    region: str
    received_at: float
    deadline: float
    customer: str = ""
    secret: str | None = None
    view: View | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its lower-case name."""
        for held, value in self.headers:
            if held == name:
                return value
        return None


class AnswerSink(Protocol):
    """Describe where an answer is written to."""

    @property
    def started(self) -> bool:
        """Tell whether the head was written."""

    def start(
        self, status: str, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write status and headers."""

    def write(self, data: bytes) -> None:
        """Write bytes of the body."""


@dataclass
class Attempt:
    """Carry one request over one connection.

    :param host: this entry host's name, for the ``Via`` header.
    :param outward: links that the request's bytes cross.
    :param homeward: links that the answer's bytes cross.
    :param on_answered: called when the server has done its part, before a slow
        caller has read everything.
    """

    req: CallerRequest
    host: str
    conn: Connection
    pacer: Pacer
    outward: list[DirectedLink]
    homeward: list[DirectedLink]
    clock: Clock
    on_answered: Callable[[], None] = lambda: None
    sent: bool = False
    status: int = 0
    load: float | None = None
    bytes_in: int = 0
    bytes_out: int = 0
    _paid: float = field(default=0.0)
    _total: float = field(default=inf)

    def send(self) -> HTTPResponse:
        """Send the request and read the head of the answer.

        :raises LinkBusy: when a link has no room; nothing was sent then.
        :raises UpstreamError: when the server fails.
        :raises BodyBroken: when the caller's body does.
        """
        self._prepay()
        body = None if self.req.body.finished else self._outgoing()
        self.sent = True
        send_request(
            self.conn,
            self.req.method,
            self.req.target,
            self._headers(),
            body,
            self.req.body.chunked,
            self.req.deadline - self.clock(),
        )
        await_answer(self.conn, self.req.sock, self.req.deadline, self.clock)
        resp = read_head(self.conn, self.req.deadline, self.clock)
        length = 0 if self._bodiless(resp) else _length_of(resp)
        self._total = inf if length is None else float(length)
        self.status = resp.status
        self.load = _load_of(resp)
        echoed = resp.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != self.req.request_id:
            raise AnswerLost(
                f"{self.conn.server} answered another request.",
                "Ask the service for the state before you repeat the request.",
            )
        return resp

    def relay(self, resp: HTTPResponse, sink: AnswerSink) -> None:
        """Pass the answer on.

        A small answer is read to its end before its head is written, so that one
        cut short becomes a refusal instead of a broken answer.
        """
        length = _length_of(resp)
        if self._bodiless(resp):
            self._answered()
            sink.start(_status(resp), _headers_back(resp), length)
            return
        first = b""
        ended = length == 0
        while not ended and len(first) < CHUNK_BYTES:
            data = self._read(resp, CHUNK_BYTES - len(first))
            first += data
            ended = not data or len(first) == length
        if ended:
            self._answered()
            sink.start(_status(resp), _headers_back(resp), len(first))
            sink.write(first)
            return
        sink.start(_status(resp), _headers_back(resp), length)
        sink.write(first)
        while data := self._read(resp, CHUNK_BYTES):
            sink.write(data)
        self._answered()

    def _answered(self) -> None:
        """Give back link bytes that were taken and did not cross."""
        unused = self._paid - self.bytes_out * WIRE_OVERHEAD
        for crossing in self.homeward:
            if unused > 0:
                self.pacer.refund(crossing, unused)
        self.on_answered()

    def _bodiless(self, resp: HTTPResponse) -> bool:
        return self.req.method == "HEAD" or resp.status in BODILESS

    def _prepay(self) -> None:
        """Take the bytes that will cross before anything can be paced."""
        head = HEAD_BYTES * WIRE_OVERHEAD
        for crossing in self.outward:
            self._take(crossing, head, LinkBusy)
        for crossing in self.homeward:
            self._take(crossing, head, LinkBusy)
        self._pay_ahead(0, LinkBusy)

    def _pay_ahead(self, size: int, failure: type[LinkBusy] | type[AnswerLost]) -> None:
        """Take what can cross once ``size`` more bytes have been read.

        Besides what was read, the socket's buffer may have filled.
        """
        ahead = min(self._total, self.bytes_out + size + RECEIVE_BUFFER_BYTES)
        due = ahead * WIRE_OVERHEAD - self._paid
        if due <= 0:
            return
        for crossing in self.homeward:
            self._take(crossing, due, failure)
        self._paid += due

    def _outgoing(self) -> Iterator[bytes]:
        size = self._chunk_bytes(self.outward)
        while data := self.req.body.read(size):
            for crossing in self.outward:
                self._take(crossing, len(data) * WIRE_OVERHEAD, AnswerLost)
            self.bytes_in += len(data)
            yield data

    def _read(self, resp: HTTPResponse, size: int) -> bytes:
        if self.homeward:
            size = min(size, self._chunk_bytes(self.homeward))
            self._pay_ahead(size, AnswerLost)
        data = read_chunk(self.conn, resp, size, self.req.deadline, self.clock)
        self.bytes_out += len(data)
        return data

    def _chunk_bytes(self, links: list[DirectedLink]) -> int:
        """Return how much to move at once: no more than a link has room for."""
        if not links:
            return CHUNK_BYTES
        room = min(self.pacer.max_burst_bytes(crossing) for crossing in links)
        fitting = int(room / WIRE_OVERHEAD / 2)
        return max(LEAST_CHUNK_BYTES, min(CROSSING_CHUNK_BYTES, fitting))

    def _take(
        self,
        crossing: DirectedLink,
        amount: float,
        failure: type[LinkBusy] | type[AnswerLost],
    ) -> None:
        # All at once or not at all: parts that many requests gather side by side
        # would cross together later.
        room = self.pacer.max_burst_bytes(crossing)
        taken = amount <= room and self.pacer.take(
            crossing, amount, self.req.customer, self.req.deadline
        )
        if not taken:
            raise failure(
                f"The link {crossing.source} to {crossing.target} has no room.",
                "Send again later, or raise the link's cap.",
            )

    def _headers(self) -> HTTPHeaderDict:
        named = set()
        for name, value in self.req.headers:
            if name == "connection":
                named.update(part.strip().lower() for part in value.split(","))
        headers = HTTPHeaderDict()
        for name, value in self.req.headers:
            if name in _DROPPED or name in named or self._holds_secret(value):
                continue
            if name == REQUEST_ID_HEADER.lower() or name.startswith(OWN_PREFIX):
                continue
            headers.add(name, value)
        headers.add(REQUEST_ID_HEADER, self.req.request_id)
        left_ms = max(1, int((self.req.deadline - self.clock()) * 1000))
        headers.add(TIMEOUT_HEADER, str(left_ms))
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

    def _holds_secret(self, value: str) -> bool:
        return self.req.secret is not None and self.req.secret in value


def _length_of(resp: HTTPResponse) -> int | None:
    text = resp.headers.get("content-length")
    if text is None or not text.isdigit():
        return None
    return int(text)


def _load_of(resp: HTTPResponse) -> float | None:
    text = resp.headers.get(LOAD_HEADER)
    if text is None:
        return None
    try:
        load = float(text)
    except ValueError:
        return None
    return load if 0 <= load <= 1 else None


def _status(resp: HTTPResponse) -> str:
    return f"{resp.status} {resp.reason or ''}".strip()


def _headers_back(resp: HTTPResponse) -> list[tuple[str, str]]:
    named = {
        part.strip().lower()
        for part in (resp.headers.get("connection") or "").split(",")
    }
    return [
        (name, value)
        for name, value in resp.headers.items()
        if name.lower() not in _DROPPED_BACK and name.lower() not in named
    ]
