"""Send requests as callers do, and record their answers."""

from asyncio import (
    CancelledError,
    get_running_loop,
    open_connection,
    sleep,
    timeout,
)
from dataclasses import dataclass
from random import Random

from entry_harness import CallerAnswer, read_answer

from fault_soak.fleet import HostProcess, SoakFleet, keys_of

REQUEST_TIMEOUT_S = 3.0
MEAN_PAUSE_S = 0.04
CONNECTION_REUSE_RATIO = 0.8
"""Fraction of the requests that reuse an open connection."""


@dataclass
class SentRequest:
    """A request of the soak test and its outcome.

    :param customer: the customer for which it runs; empty on a route without keys.
    :param at_most_once: whether the request is non-idempotent and must not run twice.
    :param sent_at: when it was sent, in seconds on the event loop's clock.
    :param ended_at: when its answer arrived, or there was none, on the same clock.
    :param status: status of the answer, or 0 when there was none.
    :param is_written: whether the request was written to a connection.
    :param abandoned: whether the caller was cancelled before the answer.
    :param version: the version of the configuration whose own route it is for, or 0.
    """

    id: str
    host: str
    customer: str
    key: str
    at_most_once: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""
    is_written: bool = False
    abandoned: bool = False
    version: int = 0

    @property
    def method_and_path(self) -> tuple[str, str]:
        """Return the method and the path that it is sent with."""
        if self.version:
            return "GET", f"/v{self.version}/1"
        return ("POST", "/pay/1") if self.at_most_once else ("GET", "/read/1")


class Caller:
    """Send requests one after the other over persistent connections to all hosts."""

    def __init__(self, name: str, fleet: SoakFleet, rng: Random) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._connections: dict[str, tuple] = {}
        self.requests: list[SentRequest] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._send_one()
                await sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
        except CancelledError:
            if self.requests:
                self.requests[-1].abandoned = True
            self._close_all()
            raise

    async def choose_host(self) -> HostProcess:
        """Return the host for the next request: any, also one that is down."""
        return self._rng.choice(self._fleet.hosts)

    def choose_version(self) -> int:
        """Return the version whose own route the next request is for, or 0."""
        return 0

    async def _send_one(self) -> None:
        host = await self.choose_host()
        customer = self._rng.choice(tuple(self._fleet.limits))
        at_most_once = self._rng.random() < 0.4
        version = self.choose_version()
        request = SentRequest(
            id=f"{self._name}-{len(self.requests)}",
            host=host.name,
            customer="" if version else customer,
            key=self._rng.choice(keys_of(customer)),
            at_most_once=at_most_once and not version,
            sent_at=0.0,
            version=version,
        )
        self.requests.append(request)
        await self._exchange(host, request)

    async def _exchange(self, host: HostProcess, request: SentRequest) -> None:
        request.sent_at = get_running_loop().time()
        try:
            async with timeout(REQUEST_TIMEOUT_S):
                reader, writer = await self._get_connection(host)
                writer.write(_encode(request))
                request.is_written = True
                answer = await read_answer(reader)
        except (OSError, EOFError, AssertionError, TimeoutError, ValueError):
            self._close(host.name)
            return
        finally:
            request.ended_at = get_running_loop().time()
        self._record(request, answer)
        if answer.headers.get("connection", "") == "close":
            self._close(host.name)

    def _record(self, request: SentRequest, answer: CallerAnswer) -> None:
        request.status = answer.status
        request.body = answer.body.decode("latin-1")

    async def _get_connection(self, host: HostProcess) -> tuple:
        connection = self._connections.get(host.name)
        if connection is None or self._rng.random() > CONNECTION_REUSE_RATIO:
            self._close(host.name)
            connection = await open_connection("127.0.0.1", host.ports["callers"])
            self._connections[host.name] = connection
        return connection

    async def can_connect(self, host: HostProcess) -> bool:
        """Return whether a connection to a host is open, or can be opened."""
        if host.name not in self._connections:
            try:
                connection = await open_connection("127.0.0.1", host.ports["callers"])
            except OSError:
                return False
            self._connections[host.name] = connection
        return True

    def close_ended_connections(self) -> None:
        """Close the idle connections that hosts have ended."""
        for host, (reader, _) in list(self._connections.items()):
            if reader.at_eof() or reader.exception() is not None:
                self._close(host)

    def _close(self, host: str) -> None:
        connection = self._connections.pop(host, None)
        if connection is not None:
            connection[1].close()

    def _close_all(self) -> None:
        for host in list(self._connections):
            self._close(host)


def _encode(request: SentRequest) -> bytes:
    method, path = request.method_and_path
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request.id}\r\nAffinity-Key: {len(request.id)}\r\n"
        f"Deadline-Ms: 2000\r\nKey: {request.key}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
