"""Measure how well hosts know the loads of servers, by the number of busy servers.

The model is a fleet with relays, without a network. Decisions and messages are those of
the hosts; time advances in steps. Scenarios use the model, too.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import mean

import msgspec

from damasktally.decisions.load import ServerLoads
from damasktally.decisions.load_reports import LoadOutbox, LoadReports
from damasktally.fleet.model import Server, ServerReport
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.server_loads import ServerLoadReport

HOST_COUNT = 86
DATA_CENTRE_COUNT = 6
BUSY_SERVER_COUNTS = (0, 64, 192)
QUEUE_LENGTHS = (10, 14)
"""Smallest and largest number of requests that a busy server is kept at."""
WORK_S = (0.3, 2.4)
"""Shortest and longest time of a request."""
SETTLING_S = 2.0
MEASURED_S = 4.0
STEP_S = 0.01
TICK_S = 0.2
LOCAL_DELAY_S = 0.0007
REMOTE_DELAY_S = 0.012


def make_server(name="s", slots=6, started_ms=1792386136272):
    """Return a server."""
    address = ("h", 1)
    return Server(name, "svc", address, "dc-0", slots, False, 0.0, started_ms)


@dataclass
class ModelServer:
    """Server with slots and a queue, which may be slower than usual for a while.

    :param usual_s: time that a request takes as a rule.
    :param slow: begin and end of the time in which it is slower, and how much.
    """

    server: Server
    usual_s: float = 0.1
    queue_limit: int = 18
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    order: Iterator[int] = field(default_factory=count)

    def slowdown(self, now):
        """Return how long work takes now, relative to the usual time."""
        begin, end, factor = self.slow
        return factor if begin <= now < end else 1.0

    @property
    def total(self):
        """Return the number of requests that it holds."""
        return len(self.running) + len(self.waiting)

    def take(self, host, now):
        """Take a request; return whether there was room."""
        if len(self.running) < self.server.slots:
            heappush(self.running, (now + self.work_s(now), next(self.order), host))
            return True
        if len(self.waiting) >= self.queue_limit:
            return False
        self.waiting.append(host)
        return True

    def work_s(self, now):
        """Return how long a request takes that starts now."""
        return self.usual_s * self.slowdown(now)

    def finish(self, now):
        """Return the hosts whose requests ended."""
        ended = []
        while self.running and self.running[0][0] <= now:
            ended.append(heappop(self.running)[2])
            if self.waiting:
                host = self.waiting.popleft()
                heappush(self.running, (now + self.work_s(now), next(self.order), host))
        return ended

    def report(self, now):
        """Return what a response reports."""
        percent = round(self.slowdown(now) * 100)
        return ServerReport(
            len(self.running),
            len(self.waiting),
            None,
            slots=self.server.slots,
            slowdown=percent / 100,
        )


class ModelHost:
    """Host with its estimates, and what its messages carried."""

    def __init__(self, data_centre, is_relay, phase_s):
        self.data_centre = data_centre
        self.is_relay = is_relay
        self.next_tick_at = phase_s
        self.loads = ServerLoads()
        self.load_reports = LoadReports()
        self.outboxes = {scope: LoadOutbox() for scope in ReportScope}
        self.received_bytes = 0
        self.received_reports = 0

    def record(self, server, report, now):
        """Record the report of a response to this host, whose request ends."""
        self.loads.record_report(
            server.id,
            report.running,
            report.waiting,
            report.slowdown,
            now,
            server.started_ms,
        )
        self.load_reports.record_own(server, report, now)
        self.loads.end(server.id)

    def receive(self, data, slots, scope, now):
        """Record the reports of a message."""
        self.received_bytes += len(data)
        reports = msgspec.msgpack.decode(data, type=tuple[ServerLoadReport, ...])
        for report in reports:
            self.received_reports += 1
            if self.loads.record_shared_report(report, now):
                self.load_reports.record(report, slots, scope, now)


class LoadFleet:
    """Hosts in data centres with one relay each, the first host.

    :param is_sharing: whether messages carry the loads of servers.
    """

    def __init__(self, host_count, data_centre_count, is_sharing=True, seed=1):
        self.rng = Random(seed)
        self.is_sharing = is_sharing
        self.now = 0.0
        self.hosts = [
            ModelHost(
                number % data_centre_count,
                number < data_centre_count,
                self.rng.uniform(0, TICK_S),
            )
            for number in range(host_count)
        ]
        self.relays = self.hosts[:data_centre_count]
        self.servers = []
        self._messages = []
        self._order = count()

    def advance(self):
        """Advance by one step: end requests, and deliver and send messages."""
        self.now += STEP_S
        for server in self.servers:
            for host in server.finish(self.now):
                host.record(server.server, server.report(self.now), self.now)
        while self._messages and self._messages[0][0] <= self.now:
            at, _, host, scope, data = heappop(self._messages)
            host.receive(data, 6, scope, at)
        for host in self.hosts:
            if self.is_sharing and host.next_tick_at <= self.now:
                host.next_tick_at += TICK_S
                self._send_messages(host)

    def request(self, host, server):
        """Let a host send a request; return whether the server took it."""
        host.loads.begin(server.server.id)
        if server.take(host, self.now):
            return True
        host.record(server.server, server.report(self.now), self.now)
        return False

    def _send_messages(self, host):
        local = [
            item
            for item in self.hosts
            if item.data_centre == host.data_centre and item is not host
        ]
        if not host.is_relay:
            relay = self.relays[host.data_centre]
            self._send(host, [relay], ReportScope.OWN, LOCAL_DELAY_S)
            return
        others = [relay for relay in self.relays if relay is not host]
        self._send(host, others, ReportScope.DATA_CENTRE, REMOTE_DELAY_S)
        self._send(host, local, ReportScope.FLEET, LOCAL_DELAY_S)

    def _send(self, host, receivers, scope, delay_s):
        reports = host.load_reports.take(host.outboxes[scope], scope, self.now)
        if not reports:
            return
        data = msgspec.msgpack.encode(reports)
        seen_as = ReportScope.FLEET if host.is_relay else ReportScope.DATA_CENTRE
        for receiver in receivers:
            at = self.now + delay_s
            message = (at, next(self._order), receiver, seen_as, data)
            heappush(self._messages, message)


class VariedServer(ModelServer):
    """Server whose requests take different times."""

    rng = Random(5)

    def work_s(self, now):
        """Return how long a request takes that starts now."""
        return self.rng.uniform(*WORK_S) * self.slowdown(now)


def keep_busy(fleet, seconds):
    """Keep the fleet's servers busy, with requests of random hosts."""
    for _ in range(round(seconds / STEP_S)):
        fleet.advance()
        for server in fleet.servers:
            while server.total < fleet.rng.randint(*QUEUE_LENGTHS):
                fleet.request(fleet.rng.choice(fleet.hosts), server)


def measure(busy_count):
    """Keep servers busy and return a row of figures."""
    fleet = LoadFleet(HOST_COUNT, DATA_CENTRE_COUNT)
    fleet.servers = [
        VariedServer(make_server(f"srv-{number:08d}")) for number in range(busy_count)
    ]
    keep_busy(fleet, SETTLING_S)
    for host in fleet.hosts:
        host.received_bytes = host.received_reports = 0
    keep_busy(fleet, MEASURED_S)
    errors = [
        abs(host.loads.estimate(server.server.id, fleet.now) - server.total)
        for host in fleet.hosts
        for server in fleet.servers
    ]
    rates = [host.received_bytes / MEASURED_S for host in fleet.hosts]
    report_count = sum(host.received_reports for host in fleet.hosts)
    return (
        f"| {busy_count} | {mean(rates[DATA_CENTRE_COUNT:]):.0f} "
        f"| {mean(rates[:DATA_CENTRE_COUNT]):.0f} "
        f"| {sum(rates) * MEASURED_S / max(1, report_count):.1f} "
        f"| {mean(errors) if errors else 0.0:.2f} |"
    )


def main() -> None:
    """Print a table; the figures are those of load reports alone."""
    print("| busy servers | bytes/s, host | bytes/s, relay | bytes a report | error |")
    print("| --- | --- | --- | --- | --- |")
    for busy_count in BUSY_SERVER_COUNTS:
        print(measure(busy_count))


if __name__ == "__main__":
    main()
