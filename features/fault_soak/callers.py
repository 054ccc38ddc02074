"""Send requests as callers do, and remember what came back."""

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

from fault_soak.fleet import TENANTS, HostProcess, SoakFleet, keys_of

PATIENCE_S = 3.0
PAUSE_S = 0.04
KEEP_PART = 0.8
"""Part of the requests that go over a connection that is open already."""


@dataclass
class Sent:
    """Describe one request and its outcome.

    :param status: the answer's status, or 0 when there was none.
    :param sent: when it was sent, on the loop's clock.
    :param read: whether bytes of it were written to a connection at all.
    :param abandoned: the caller ended meanwhile.
    """

    id: str
    host: str
    customer: str
    key: str
    once: bool
    sent: float
    status: int = 0
    body: str = ""
    read: bool = False
    abandoned: bool = False


class Caller:
    """Send one request after the other, over connections that stay open."""

    def __init__(self, name: str, fleet: SoakFleet, rng: Random) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._connections: dict[str, tuple] = {}
        self.sent: list[Sent] = []

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._send_one()
                await sleep(self._rng.expovariate(1 / PAUSE_S))
        except CancelledError:
            if self.sent:
                self.sent[-1].abandoned = True
            self._drop_all()
            raise

    async def _send_one(self) -> None:
        host = self._rng.choice(self._fleet.hosts)
        customer = self._rng.choice(TENANTS)
        once = self._rng.random() < 0.4
        request = Sent(
            id=f"{self._name}-{len(self.sent)}",
            host=host.name,
            customer=customer,
            key=self._rng.choice(keys_of(customer)),
            once=once,
            sent=0.0,
        )
        self.sent.append(request)
        await self._exchange(host, request)

    async def _exchange(self, host: HostProcess, request: Sent) -> None:
        request.sent = get_running_loop().time()
        try:
            async with timeout(PATIENCE_S):
                reader, writer = await self._connection(host)
                writer.write(_encode(request))
                request.read = True
                got = await read_answer(reader)
        except (OSError, EOFError, AssertionError, TimeoutError, ValueError):
            self._drop(host.name)
            return
        self._note(request, got)
        if got.headers.get("connection", "") == "close":
            self._drop(host.name)

    def _note(self, request: Sent, got: CallerAnswer) -> None:
        request.status = got.status
        request.body = got.body.decode("latin-1")

    async def _connection(self, host: HostProcess) -> tuple:
        held = self._connections.get(host.name)
        if held is None or self._rng.random() > KEEP_PART:
            self._drop(host.name)
            held = await open_connection("127.0.0.1", host.ports["callers"])
            self._connections[host.name] = held
        return held

    def _drop(self, host: str) -> None:
        held = self._connections.pop(host, None)
        if held is not None:
            held[1].close()

    def _drop_all(self) -> None:
        for host in list(self._connections):
            self._drop(host)


def _encode(request: Sent) -> bytes:
    method, path = ("POST", "/pay/1") if request.once else ("GET", "/read/1")
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request.id}\r\nAffinity-Key: {len(request.id)}\r\n"
        f"Deadline-Ms: 2000\r\nKey: {request.key}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
