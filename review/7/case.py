"""All hosts are killed while two of five servers are slow, at a quiet hour."""

import asyncio
import signal
from itertools import count
from pathlib import Path
from time import monotonic

from harness import (
    KEY,
    TROUBLE,
    Answer,
    CannotRun,
    Fleet,
    Host,
    make_configuration,
    make_route,
    request,
    run_case,
)

SERVERS = 5
READ_WORK_S = 0.36
SLOW_FACTOR = 12
SLOW_S = 9.0
DOWN_S = 1.2
RECOVERY_S = 15.0
WATCHED_S = 10.0
"""How long requests are counted after Recovery."""
READ_INTERVAL_S = 0.25
MIN_SERVED_RATIO = 0.25
OBJECT = 17
MAX_SLOW_SERVERS = 2


class Callers:
    """Send payments and reads, and record what became of them."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._numbers = count(1)

    async def pay(self, host: Host, number: int) -> str:
        """Send a payment for an object, and return its id."""
        return await self._send(host, "POST", "/orders/", number, "2500")

    async def read(self, host: Host, number: int) -> str:
        """Read an object, and return the id of the request."""
        return await self._send(host, "GET", "/baskets/", number, "2000")

    async def _send(
        self, host: Host, method: str, prefix: str, number: int, deadline: str
    ) -> str:
        request_id = f"{next(self._numbers):016x}"
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": deadline,
            "Key": KEY,
            "Affinity-Key": str(number),
        }
        body = b"x" if method == "POST" else None
        answer = Answer()
        try:
            answer = await request(
                host.ports["callers"], method, f"{prefix}{number}", headers, body
            )
        except (OSError, TimeoutError, EOFError) as exc:
            self._fleet.record.write(f"{request_id}: {exc!r}")
        self._fleet.record.write(
            f"{method} {request_id} at {host.name}, object {number}: {answer.status}"
            f" {answer.body[:20]!r} after {answer.took_s:.2f} s"
        )
        self.last_status = answer.status
        return request_id


async def serve_before(fleet: Fleet, callers: Callers) -> set[str]:
    """Send requests, and return which servers run the payments for one object."""
    preferred = set()
    for host in fleet.hosts:
        for number in range(4):
            await callers.read(host, number)
            if callers.last_status != 200:
                raise CannotRun("a request was not served before")
        request_id = await callers.pay(host, OBJECT)
        preferred |= {s.id for s in fleet.servers if request_id in s.runs}
    if len(preferred) > MAX_SLOW_SERVERS:
        raise CannotRun("the object prefers too many servers")
    return preferred


def slow_down(fleet: Fleet, slow: set[str], factor: int) -> None:
    """Set how long the work of some servers takes."""
    for server in fleet.servers:
        if server.id in slow:
            server.work_s = READ_WORK_S * factor
    fleet.record.write(f"work of {sorted(slow)} takes {factor} times as long")


async def kill_all(fleet: Fleet) -> None:
    """Kill all hosts at the same moment, and start them again."""
    fleet.record.write("all hosts are killed")
    for host in fleet.hosts:
        host.signal(signal.SIGKILL)
    for host in fleet.hosts:
        await host.process.wait()
    await asyncio.sleep(DOWN_S)
    for host in fleet.hosts:
        await fleet.start_host(host)
    for host in fleet.hosts:
        await fleet.wait_ready(host)


async def read_on(fleet: Fleet, callers: Callers, slow_until: float) -> float:
    """Read objects one after the other; return the ratio served after Recovery."""
    back_at = monotonic()
    statuses = []
    is_slow = TROUBLE
    for number in count():
        since_s = monotonic() - back_at
        if since_s > RECOVERY_S + WATCHED_S:
            break
        if is_slow and monotonic() >= slow_until:
            is_slow = False
            slow_down(fleet, {server.id for server in fleet.servers}, 1)
        await callers.read(fleet.hosts[number % len(fleet.hosts)], number % 40)
        if since_s > RECOVERY_S:
            statuses.append(callers.last_status)
        await asyncio.sleep(READ_INTERVAL_S)
    served = statuses.count(200)
    fleet.record.write(
        f"{served} of {len(statuses)} requests were served that were sent later than"
        f" {RECOVERY_S} s after the hosts were back"
    )
    return served / len(statuses)


async def case(fleet: Fleet) -> bool:
    """Return whether less than a quarter is served after Recovery."""
    await fleet.start_servers("huvo11a", SERVERS)
    for server in fleet.servers:
        server.work_s = READ_WORK_S
    routes = [
        make_route("/orders/", "huvo11a", "non_idempotent", Timeout="1200ms"),
        make_route("/baskets/", "huvo11a", Timeout="1000ms"),
    ]
    for route in routes:
        route["Sticky"] = True
    fleet.store.write("config", "main", make_configuration(7, routes))
    await fleet.start_hosts(2)
    await asyncio.sleep(1.0)
    callers = Callers(fleet)
    preferred = await serve_before(fleet, callers)
    slow_until = monotonic() + SLOW_S
    if TROUBLE:
        others = [s.id for s in fleet.servers if s.id not in preferred]
        missing = MAX_SLOW_SERVERS - len(preferred)
        slow_down(fleet, preferred | set(others[:missing]), SLOW_FACTOR)
        await kill_all(fleet)
    await asyncio.gather(*(callers.pay(host, OBJECT) for host in fleet.hosts))
    return await read_on(fleet, callers, slow_until) < MIN_SERVED_RATIO


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
