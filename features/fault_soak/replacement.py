"""Replace the hosts of a fleet under load, and check what callers and servers saw."""

import json
from asyncio import (
    TaskGroup,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
)
from bisect import bisect_right
from collections.abc import Awaitable, Callable, Iterator
from itertools import pairwise
from math import inf
from random import Random
from signal import SIGKILL, SIGTERM

from entry_harness import BOUNDS, read_answer

from fault_soak.callers import Caller, SentRequest
from fault_soak.checks import runs_of, wait_until_settled
from fault_soak.fleet import HostProcess, SoakFleet
from fault_soak.releases import Release

CALLER_COUNT = 12
LOOKUP_LIFETIME_S = 0.4
"""Callers look up again after this long. A host that stops takes requests for 1 s."""
VERSION_REQUEST_RATIO = 0.2
CONFIGURATION_BOUND_S = 3.0
"""Time in which a configuration comes into force at every host."""
KILL_EXCUSE_S = 3.0
"""Look-ups may return a killed host for this long."""
STOP_TIMEOUT_S = 4.0
READY_TIMEOUT_S = 15.0
POLL_S = 0.05
LIMITED_CUSTOMER = "cedar"
RATE, BURST = 40.0, 20.0
QUOTA_WINDOW_S = 5.0


class LookupCaller(Caller):
    """Send requests only to hosts that look-ups return, as callers of the platform do.

    A caller whose connection is refused looks up again. Some of the requests are for
    the newest configuration's own route.
    """

    def __init__(self, name: str, fleet: SoakFleet, rng: Random) -> None:
        super().__init__(name, fleet, rng)
        self._region = rng.choice(["north", "south"])
        self._hosts: list[HostProcess] = []
        self._looked_up_at = -inf

    async def choose_host(self) -> HostProcess:
        """Return a host of the last look-up that accepts a connection."""
        while True:
            self.close_ended_connections()
            if get_running_loop().time() - self._looked_up_at > LOOKUP_LIFETIME_S:
                await self._look_up(self._rng.choice(self._fleet.hosts))
                continue
            host = self._rng.choice(self._hosts)
            if await self.can_connect(host):
                return host
            self._looked_up_at = -inf

    def choose_version(self) -> int:
        """Return the newest version for some of the requests."""
        is_chosen = self._rng.random() < VERSION_REQUEST_RATIO
        return self._fleet.version if is_chosen else 0

    async def _look_up(self, directory: HostProcess) -> None:
        path = f"/resolve?Name=shop.example&Region={self._region}&Zone=any"
        try:
            status, body = await get(directory.ports["directory"], path)
        except (OSError, AssertionError):
            await sleep(POLL_S)
            return
        if status != 200:
            await sleep(POLL_S)
            return
        addresses = json.loads(body)["Addrs"]
        self._hosts = [
            host
            for host in self._fleet.hosts
            if f"127.0.0.1:{host.ports['callers']}" in addresses
        ]
        self._looked_up_at = get_running_loop().time()


async def get(port: int, path: str) -> tuple[int, bytes]:
    """Send a GET request to one of a host's ports; return status and body."""
    reader, writer = await open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    try:
        answer = await read_answer(reader)
    finally:
        writer.close()
    return answer.status, answer.body


class Replacement:
    """Run of a fleet whose hosts are replaced by another version.

    :param fleet: the fleet; it is started by :meth:`run`.
    :param rng: chooses what callers send.
    """

    def __init__(self, fleet: SoakFleet, rng: Random) -> None:
        self.fleet = fleet
        self.killed_at: dict[str, float] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.problems: list[str] = []
        fleet.limits[LIMITED_CUSTOMER] = (RATE, BURST)
        self._callers = [
            LookupCaller(f"c-{n}", fleet, Random(rng.random()))
            for n in range(CALLER_COUNT)
        ]

    @property
    def requests(self) -> list[SentRequest]:
        """Return all requests that were sent."""
        return [request for caller in self._callers for request in caller.requests]

    @property
    def longest_wait_s(self) -> float:
        """Return the longest time between two requests of a caller."""
        return max(
            following.sent_at - request.ended_at
            for caller in self._callers
            for request, following in pairwise(caller.requests)
        )

    async def run(
        self,
        release: Release,
        at_once: int,
        after: dict[int, Callable[["Replacement"], Awaitable[None]]],
    ) -> None:
        """Start the fleet, replace all hosts while callers send requests, and end it.

        :param at_once: number of hosts that are replaced at the same time.
        :param after: what happens beside it once that many hosts are replaced.
        """
        try:
            await self.fleet.start()
            self.problems += await wait_until_settled(self.fleet)
            callers = [create_task(caller.run()) for caller in self._callers]
            await sleep(1.0)
            async with TaskGroup() as events:
                for first in range(0, len(self.fleet.hosts), at_once):
                    hosts = self.fleet.hosts[first : first + at_once]
                    await gather(*(self._replace(host, release) for host in hosts))
                    for count in range(first + 1, first + at_once + 1):
                        if count in after:
                            events.create_task(after[count](self))
            await sleep(CONFIGURATION_BOUND_S)
            for caller in callers:
                caller.cancel()
            await gather(*callers, return_exceptions=True)
            self.problems += await wait_until_settled(self.fleet)
        finally:
            await self.fleet.close()

    async def _replace(self, host: HostProcess, release: Release) -> None:
        """Stop a host as planned, and wait until the new one is ready."""
        host.signal(SIGTERM)
        exit_code = await host.wait_for_exit(STOP_TIMEOUT_S)
        if exit_code != 0 and host.name not in self.killed_at:
            self.problems.append(f"{host.name} stopped with exit code {exit_code}")
        host.release = release
        await self.fleet.start_host(host)
        await self.wait_until_ready(host)

    async def wait_until_ready(self, host: HostProcess) -> None:
        """Wait until a host reports that it is ready."""
        for _ in range(int(READY_TIMEOUT_S / POLL_S)):
            try:
                status, _ = await get(host.ports["readiness"], "/readyz")
            except (OSError, AssertionError):
                status = 0
            if status == 200:
                return
            await sleep(POLL_S)
        self.problems.append(f"{host.name} was not ready after {READY_TIMEOUT_S} s")

    async def add_route(self) -> None:
        """Write a version with another route."""
        self.fleet.version += 1
        await self.fleet.write_configuration()

    async def withdraw_key(self) -> None:
        """Write a version without one of the keys."""
        key = "acme-key-1"
        self.fleet.withdrawn.append(key)
        self.fleet.version += 1
        await self.fleet.write_configuration()
        self.withdrawn_at[key] = get_running_loop().time()

    async def kill_last_host(self) -> None:
        """Kill the host that would be replaced last, and start it again."""
        host = self.fleet.hosts[-1]
        self.killed_at[host.name] = get_running_loop().time()
        host.signal(SIGKILL)
        await host.wait_for_exit(STOP_TIMEOUT_S)
        await sleep(1.0)
        await self.fleet.start_host(host)
        await self.wait_until_ready(host)

    async def silence_store(self) -> None:
        """Let the store answer nothing for some seconds."""
        self.fleet.store.stop_answering()
        await sleep(3.0)
        self.fleet.store.is_silent = False


def find_rate_violations(run: Replacement) -> Iterator[str]:
    """Yield a message if servers got more of the limited customer than was agreed."""
    times = sorted(
        item.at
        for runs in runs_of(run.fleet).values()
        for item in runs
        if item.customer == LIMITED_CUSTOMER
    )
    limit = RATE * QUOTA_WINDOW_S + BURST
    allowed = limit * (1 + BOUNDS["QuotaOverage"]) + BOUNDS["QuotaSlack"]
    most = max(
        bisect_right(times, at + QUOTA_WINDOW_S) - index
        for index, at in enumerate(times)
    )
    if most > allowed:
        yield f"{most} requests ran within {QUOTA_WINDOW_S} s, at most {allowed} may"


def find_configuration_violations(run: Replacement) -> Iterator[str]:
    """Yield a message for each answer by a version that should not be in force."""
    seen: dict[tuple[str, int], float] = {}
    for request in sorted(run.requests, key=lambda item: item.sent_at):
        key = request.host, request.version
        bound = run.fleet.written_at.get(request.version, 0.0) + CONFIGURATION_BOUND_S
        following = run.fleet.written_at.get(request.version + 1)
        is_newest = following is None or request.ended_at < following
        if request.version and request.status == 200:
            seen.setdefault(key, request.ended_at)
        if request.status == 404 and is_newest:
            if request.sent_at > bound:
                yield f"{request.host} lacked version {request.version} when it was due"
            if request.sent_at > seen.get(key, bound):
                yield f"{request.host} reverted from version {request.version}"
    for request in run.requests:
        withdrawn_at = run.withdrawn_at.get(request.key, request.sent_at)
        is_due = request.sent_at > withdrawn_at + CONFIGURATION_BOUND_S
        if is_due and request.status == 200 and not request.version:
            yield f"{request.host} served a key after its withdrawal"


def requests_within_limits(run: Replacement) -> list[SentRequest]:
    """Return the requests that had to be served, whichever host they were sent to."""
    return [
        request
        for request in run.requests
        if request.customer != LIMITED_CUSTOMER
        and request.key not in run.fleet.withdrawn
        and not request.version
        and not request.abandoned
        and not _was_killed(run, request)
    ]


def _was_killed(run: Replacement, request: SentRequest) -> bool:
    killed_at = run.killed_at.get(request.host)
    if killed_at is None:
        return False
    return killed_at - 2.0 <= request.sent_at <= killed_at + KILL_EXCUSE_S
