"""Model of hosts that ask a lease manager before they send requests to one server.

Messages take time, and nothing but messages and the server's reports connects the
parts, as in a fleet. There is no network and no event loop.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from damasktally.decisions.lease_terms import LeaseOutcome, LeaseTerms
from damasktally.decisions.server_leases import ServerLeases

ADVANCE_INTERVAL_S = 0.02


@dataclass
class ModelRequest:
    """A request, and how it ended: ``served``, ``refused`` or ``lost``."""

    number: int
    host: int
    priority: int
    customer: str
    asked_at: float
    wait_s: float
    ending: str = ""
    decided_at: float = 0.0
    retry_after_s: float = 0.0
    was_queued: bool = False


@dataclass
class LeaseModel:
    """One server, its manager and the hosts that ask.

    :param delay_s: time that a message takes.
    :param run_s: mean of the exponentially distributed run time.
    :param max_outstanding: the most requests that the server had at once.
    """

    hosts: int
    slots: int
    run_s: float = 0.1
    delay_s: float = 0.004
    seed: int = 5
    now: float = 0.0
    requests: list[ModelRequest] = field(default_factory=list)
    max_outstanding: int = 0
    busy_s: float = 0.0
    dead_hosts: set[int] = field(default_factory=set)

    def __post_init__(self):
        """Start with an idle server and an empty table."""
        self.rng = Random(self.seed)
        self._events = []
        self._order = count()
        self.running = 0
        self.queue = deque()
        self.reported = 0
        self.manager = 1
        self.leases = ServerLeases(lambda server, now: self.reported)
        self.at(ADVANCE_INTERVAL_S, self._advance)

    def at(self, time, action, *args):
        """Run an action at a time."""
        heappush(self._events, (time, next(self._order), action, args))

    def run_until(self, end):
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = end

    def add_flow(self, rate, seconds, customer, priority=1, wait_s=0.5, start=0.0):
        """Add Poisson arrivals of one customer over all hosts."""
        time = start
        while (time := time + self.rng.expovariate(rate)) < start + seconds:
            host = self.rng.randrange(self.hosts)
            self.ask(time, host, customer, priority, wait_s)

    def ask(self, time, host, customer, priority=1, wait_s=0.5):
        """Add one request."""
        number = len(self.requests)
        req = ModelRequest(number, host, priority, customer, time, wait_s)
        self.requests.append(req)
        self.at(time + self.delay_s, self._receive, self.manager, req)
        return req

    def replace_manager(self):
        """Let another host manage the server; it knows only the last report."""
        self.manager += 1
        self.leases = ServerLeases(lambda server, now: self.reported)
        for req in self.requests:
            if not req.ending and req.asked_at <= self.now and req.was_queued:
                # Its host hears nothing any more, and asks the next manager.
                self.at(self.now + 0.1, self._receive, self.manager, req)

    def _key(self, req):
        return f"h-{req.host}", 1, req.number

    def _receive(self, manager, req):
        if req.host in self.dead_hosts:
            return
        left_s = max(0.0, req.asked_at + req.wait_s - self.now)
        terms = LeaseTerms(
            self._key(req),
            "s-1",
            1,
            self.slots,
            req.priority,
            req.customer,
            left_s,
            self.run_s,
        )
        self._tell(self.leases.request(terms, self.now))

    def _tell(self, decisions):
        manager = self.manager
        for decision in decisions:
            self.at(self.now + self.delay_s, self._hear, manager, decision)

    def _hear(self, manager, decision):
        req = self.requests[decision.key[2]]
        if req.host in self.dead_hosts or req.ending:
            return
        if decision.outcome is LeaseOutcome.QUEUED:
            req.was_queued = True
            return
        req.decided_at = self.now
        if decision.outcome is LeaseOutcome.REFUSED:
            req.ending, req.retry_after_s = "refused", decision.wait_s
            return
        req.ending = "served"
        self.at(self.now + self.delay_s, self._reach_server, manager, req)

    def _reach_server(self, manager, req):
        self.queue.append((manager, req))
        self._start_next()
        self.max_outstanding = max(self.max_outstanding, self.running + len(self.queue))

    def _start_next(self):
        while self.queue and self.running < self.slots:
            manager, req = self.queue.popleft()
            self.running += 1
            duration_s = self.rng.expovariate(1 / self.run_s)
            self.busy_s += duration_s
            self.at(self.now + duration_s, self._finish, manager, req)

    def _finish(self, manager, req):
        self.running -= 1
        self._start_next()
        outstanding = self.running + len(self.queue)
        self.at(self.now + 2 * self.delay_s, self._end, manager, req, outstanding)

    def _end(self, manager, req, outstanding):
        """Deliver the end of a lease, with the report that the response carried."""
        self.reported = outstanding
        if req.host in self.dead_hosts:
            return
        if manager == self.manager:
            self._tell(self.leases.end(self._key(req), self.now))
        reported_at = self.now - 2 * self.delay_s
        self._tell(
            self.leases.record_report("s-1", 1, outstanding, reported_at, self.now)
        )

    def _advance(self):
        self._tell(self.leases.advance(self.now))
        self.at(self.now + ADVANCE_INTERVAL_S, self._advance)
