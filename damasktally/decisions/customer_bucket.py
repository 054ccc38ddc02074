"""Token bucket of one customer for the whole fleet, as one host knows it."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

EQUAL_SHARE_RATIO = 0.4
"""Ratio of the remaining tokens that is divided equally, for callers that move to
other hosts."""
MAX_ADMITTED_AHEAD = 3
"""Requests that a host may admit ahead of its share, for surges that reach only a few
hosts."""


def host_share(
    own_demand: float,
    other_demands: Iterable[float],
    silent_host_count: int,
    other_host_count: int | None = None,
) -> float:
    """Return the ratio of a customer's limit that this host may use, from 0 to 1.

    :param own_demand: requests a second that the customer sends to this host.
    :param other_demands: the same for each other host that sends heartbeats.
    :param silent_host_count: known hosts whose heartbeats do not arrive. An equal share
        is reserved for each of them, and a host that receives no heartbeats uses no
        more than that itself.
    :param other_host_count: how many other hosts send heartbeats, if some of
        ``other_demands`` are sums over several hosts.
    """
    demands = list(other_demands)
    live_host_count = 1 + (
        len(demands) if other_host_count is None else other_host_count
    )
    host_count = live_host_count + silent_host_count
    live_ratio = 1.0 - silent_host_count / host_count
    total = own_demand + sum(demands)
    if total <= 0:
        return live_ratio / live_host_count
    return live_ratio * (
        (1 - EQUAL_SHARE_RATIO) * (own_demand / total)
        + EQUAL_SHARE_RATIO / live_host_count
    )


@dataclass(frozen=True, slots=True)
class LimitDivision:
    """Numbers of hosts among which the limits are divided.

    :param live_host_count: hosts whose counts are known, this one included.
    :param silent_host_count: known hosts whose messages do not arrive.
    """

    live_host_count: int
    silent_host_count: int

    @property
    def host_count(self) -> int:
        """Return the number of all known hosts."""
        return self.live_host_count + self.silent_host_count

    @property
    def live_ratio(self) -> float:
        """Return the part of each limit that is not reserved for silent hosts."""
        return 1.0 - self.silent_host_count / self.host_count


@dataclass(slots=True)
class CustomerBucket:
    """Hold the state of one customer's token bucket.

    :param refilled_at: time of the event loop in seconds to which ``tokens_left``
        applies.
    :param demand_clock_s: sum of the intervals between updates, in seconds, to which
        ``demand`` and ``share`` apply.
    :param is_limited: whether the customer has a limit at present; otherwise updates
        skip the bucket.
    :param division: numbers of hosts that share the limit.
    :param rate: tokens a second for the hosts that are not silent.
    :param burst: size of the bucket for these hosts, in tokens.
    :param tokens_left: tokens in the fleet's bucket.
    :param share: ratio of the tokens that this host may use.
    :param excess: requests by which all hosts may exceed the bucket together.
    :param own_excess: requests that this host may admit beyond its share.
    :param fleet_excess: requests by which the hosts that are not silent may exceed the
        bucket together.
    :param surge_reserves: cache of the tokens that are kept for the other hosts'
        surges, by the number of requests that each host admits ahead.
    :param admitted_at: times of the requests that this host admitted last.
    :param requested: requests since the demand was last measured.
    :param demand: requests a second that reach this host.
    :param other_demand: requests a second that reach the other hosts.
    :param admitted: requests that this host admitted since it started.
    :param lagged_admitted: the same, delayed by the age that other hosts' counts have.
    :param admitted_history: times and counts from which ``lagged_admitted`` is taken,
        an entry for each change.
    :param reported_counts: last admitted count of each report, by identity.
    """

    refilled_at: float
    demand_clock_s: float
    is_limited: bool = False
    division: LimitDivision = LimitDivision(1, 0)
    rate: float = 0.0
    burst: float = 0.0
    tokens_left: float = 0.0
    share: float = 0.0
    excess: float = 0.0
    own_excess: float = 0.0
    fleet_excess: float = 0.0
    surge_reserves: dict[int, float] = field(default_factory=dict)
    admitted_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ADMITTED_AHEAD)
    )
    requested: int = 0
    demand: float = 0.0
    other_demand: float = 0.0
    admitted: int = 0
    lagged_admitted: int = 0
    admitted_history: deque[tuple[float, int]] = field(default_factory=deque)
    reported_counts: dict[tuple[str, int], int] = field(default_factory=dict)

    def divide(
        self, rate: float, burst: float, excess: float, division: LimitDivision
    ) -> None:
        """Set the limit and the hosts that share it.

        :param rate: requests a second of the customer's limit.
        :param burst: size of its bucket in requests.
        :param excess: requests by which all hosts may exceed the bucket together.
        """
        live_ratio = division.live_ratio
        self.division = division
        self.rate = rate * live_ratio
        self.burst = burst * live_ratio
        self.excess = excess
        self.own_excess = excess / division.host_count
        self.fleet_excess = excess * live_ratio
        self.surge_reserves.clear()

    def update_share(self) -> None:
        """Compute this host's share from the demands."""
        division = self.division
        share = host_share(
            self.demand,
            [self.other_demand],
            division.silent_host_count,
            division.live_host_count - 1,
        )
        self.share = share / division.live_ratio

    def refill(self, now: float, admitted: int = 0) -> None:
        """Add the tokens since the last refill and subtract admitted requests."""
        tokens_left = self.tokens_left + (now - self.refilled_at) * self.rate - admitted
        self.tokens_left = max(-self.excess, min(self.burst, tokens_left))
        self.refilled_at = now

    def refill_until(self, updated_at: float) -> None:
        """Add the tokens until an update that subtracted no admitted request."""
        if self.refilled_at < updated_at:
            self.refill(updated_at)

    def advance_own_count(self, now: float, lag_s: float) -> int:
        """Return how much this host's count grew between the last two lagged times."""
        history = self.admitted_history
        last_count = history[-1][1] if history else self.lagged_admitted
        if self.admitted != last_count:
            history.append((now, self.admitted))
        lagged_admitted = self.lagged_admitted
        while history and history[0][0] <= now - lag_s:
            lagged_admitted = history.popleft()[1]
        growth = lagged_admitted - self.lagged_admitted
        self.lagged_admitted = lagged_admitted
        return growth

    @property
    def has_settled_counts(self) -> bool:
        """Return whether all of this host's requests are subtracted already."""
        return not self.admitted_history and self.admitted == self.lagged_admitted
