"""Count what occupies the slots of one backend server, for its lease manager."""

from collections import Counter
from dataclasses import dataclass, field
from math import inf

from damasktally.decisions.lease_terms import LeaseKey
from damasktally.decisions.load import REPORT_LIFETIME_S
from damasktally.decisions.wait_queue import WaitQueue

MAX_LEASE_S = 10.0
"""Longest time for which a lease is held without its end being reported."""
MIN_LEASE_S = 1.0
"""Shortest such time. Run times vary: with 0.2 s and exponential run times of 0.1 s in
the mean, expired leases let a server with 6 slots get 11 requests at once."""
RUNS_PER_LEASE = 2.0
"""A lease lasts for this many expected run times."""
MOVING_AVERAGE_WEIGHT = 0.1
"""Weight of one lease in the moving average of the times that leases last."""
SHARE_WEIGHT = 1 / 32
"""Weight of one lease in the moving average of the parts of the priorities."""
MIN_REMAINING_SHARE = 0.05
"""Lower bound on the part of the room that a priority is expected to get."""
MIN_RUN_S = 0.005
"""Lower bound on a run time, so that every wait is estimated to take some time."""
MESSAGE_SKEW_S = 0.03
"""How much the manager may learn of a request's start or end before or after the
server: the time that messages take from one region to another and back."""


@dataclass(slots=True)
class GrantedLease:
    """Lease of one request; times are in seconds on the manager's clock."""

    customer: str
    granted_at: float
    expires_at: float


@dataclass(slots=True)
class ServerSlots:
    """Leases of one process of a server, and the load that its reports show.

    :param slots: requests that the server processes at once.
    :param run_s: moving average of the time that a lease lasts.
    :param leases: outstanding leases.
    :param in_progress: number of outstanding leases of each customer.
    :param queue: requests that wait for a lease.
    :param unleased: requests without a lease that the last report showed.
    :param reported_at: when the server sent the last report.
    :param shares: moving average of the part of the leases that each priority got.
    :param ended: when each recent lease was granted and when it ended.
    """

    started_ms: int
    slots: int
    run_s: float
    leases: dict[LeaseKey, GrantedLease] = field(default_factory=dict)
    in_progress: Counter[str] = field(default_factory=Counter)
    queue: WaitQueue = field(default_factory=WaitQueue)
    unleased: float = 0.0
    reported_at: float = -inf
    shares: dict[int, float] = field(default_factory=dict)
    ended: list[tuple[float, float]] = field(default_factory=list)

    def unleased_load(self, now: float) -> float:
        """Return the load without leases; a report loses its weight with its age."""
        weight = 1.0 - (now - self.reported_at) / REPORT_LIFETIME_S
        return self.unleased * min(1.0, max(0.0, weight))

    def has_room(self, now: float) -> bool:
        """Return whether another lease may be granted."""
        # Less than half a request remains of a report that has nearly expired.
        return len(self.leases) + self.unleased_load(now) + 1 <= self.slots + 0.5

    def expected_wait_s(self, position: int, priority: int, now: float) -> float:
        """Return the seconds until a request at a position of the queue may start.

        More urgent requests that arrive later will take their part of the room.
        """
        excess = max(0.0, len(self.leases) + self.unleased_load(now) - self.slots)
        more_urgent = sum(
            share for item, share in self.shares.items() if item < priority
        )
        remaining_share = max(MIN_REMAINING_SHARE, 1.0 - more_urgent)
        wait_s = (position + 1 + excess) * self.run_s / self.slots
        return wait_s / remaining_share

    def grant(
        self, key: LeaseKey, priority: int, customer: str, run_s: float, now: float
    ) -> None:
        """Add a lease for a request that is expected to run for a while."""
        for item in self.shares:
            self.shares[item] *= 1.0 - SHARE_WEIGHT
        self.shares[priority] = self.shares.get(priority, 0.0) + SHARE_WEIGHT
        lifetime_s = min(MAX_LEASE_S, max(MIN_LEASE_S, RUNS_PER_LEASE * run_s))
        self.leases[key] = GrantedLease(customer, now, now + lifetime_s)
        self.in_progress[customer] += 1

    def end(self, key: LeaseKey, now: float) -> bool:
        """End a lease, and return whether it was outstanding."""
        lease = self.leases.pop(key, None)
        if lease is None:
            return False
        self.in_progress[lease.customer] -= 1
        if not self.in_progress[lease.customer]:
            del self.in_progress[lease.customer]
        self.ended = [item for item in self.ended if now - item[1] < REPORT_LIFETIME_S]
        self.ended.append((lease.granted_at, now))
        lasted_s = max(MIN_RUN_S, now - lease.granted_at)
        self.run_s += MOVING_AVERAGE_WEIGHT * (lasted_s - self.run_s)
        return True

    def expired(self, now: float) -> list[LeaseKey]:
        """Return the leases whose end was not reported in time."""
        return [key for key, item in self.leases.items() if item.expires_at <= now]

    def _leases_at(self, at: float) -> int:
        """Return how many leases the server may have counted at a time."""
        earliest, latest = at - MESSAGE_SKEW_S, at + MESSAGE_SKEW_S
        live = sum(lease.granted_at <= latest for lease in self.leases.values())
        return live + sum(
            granted_at <= latest and ended_at >= earliest
            for granted_at, ended_at in self.ended
        )

    def record_report(self, outstanding: int, at: float) -> None:
        """Record a report, unless a newer one is known.

        :param outstanding: requests that the server had.
        :param at: when it sent the report.
        """
        if at >= self.reported_at:
            self.unleased = max(0.0, outstanding - self._leases_at(at))
            self.reported_at = at
