"""Hold customers to their rates over all hosts, by counts that hosts exchange.

Every host tells how many requests of each customer it has admitted since it started.
From these counts each host works out what is left of one bucket for the whole fleet,
and spends the part of it that its demand is of the fleet's demand. Tokens thus lie
where the callers are, also when a rate is small against the number of hosts.

Counts of other hosts are late. A host therefore looks at its own count as late as at
theirs, and takes all that it admitted since then off its own part.

A part of a bucket may be less than one request where hosts are many. While the bucket
holds what a surge can bring until counts arrive, if every host admits one, or a few,
this host may do so too.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import exp

from damasktally.fleet.model import Customer

DEMAND_HALF_LIFE_S = 0.5
EQUAL_SHARE_RATIO = 0.4
"""Part of what is left that is dealt equally, for callers that come anew."""
USED_SLACK_RATIO = 0.85
USED_OVERAGE_RATIO = 0.5
REPORT_LAG_S = 0.35
"""Age that counts of other hosts may have: a heartbeat and its way."""
RELAYED_LAG_S = 0.65
"""The same where relays pass counts on: three messages and their ways."""
SURGE_PROPAGATION_S = 0.35
"""Until hosts learn that a customer admits far more than usual: such counts are passed
on at once."""
SURGE_RATE_FACTOR = 6.0
"""A customer that grows suddenly may ask for this many times its rate."""
MAX_ADMITTED_AHEAD = 3
"""Requests that a host may admit ahead of its part, if surges come to few hosts."""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Hold what another host said last, or a relay for several hosts.

    :param identity: tells runs of the host apart; counts start anew with each.
    :param admitted: requests admitted since its start, by customer.
    :param demand: requests a second that customers send it.
    :param host_count: how many hosts it speaks for.
    :param is_primary: another report tells the same unless this is set.
    """

    identity: tuple[str, int]
    admitted: Mapping[str, int]
    demand: Mapping[str, float]
    host_count: int = 1
    is_primary: bool = True


@dataclass(slots=True)
class _CustomerBucket:
    rate: float = 0.0
    burst: float = 0.0
    tokens_left: float = 0.0
    share: float = 0.0
    own_excess: float = 0.0
    host_count: int = 1
    fleet_excess: float = 0.0
    admitted_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ADMITTED_AHEAD)
    )
    refilled_at: float = 0.0
    requested: int = 0
    demand: float = 0.0
    admitted: int = 0
    lagged_admitted: int = 0
    admitted_history: deque[tuple[float, int]] = field(default_factory=deque)
    reported_counts: dict[tuple[str, int], int] = field(default_factory=dict)


def host_share(
    own_demand: float,
    other_demands: Iterable[float],
    silent_host_count: int,
    other_host_count: int | None = None,
) -> float:
    """Return the part of a limit that this host may spend.

    :param own: requests a second that the customer sends this host.
    :param others: the same for each host that is heard.
    :param unheard: how many hosts are known and not heard; an equal part each is
        left to them, and this host takes no more when it hears nobody.
    :param heard_hosts: how many hosts are heard, if some figures are sums of several.
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


def expected_surge_admissions(rate: float, host_count: int, max_per_host: int) -> float:
    """Return how many requests a surge may bring before hosts learn of each other's.

    It is spread over the hosts at random, and each host admits only a few.

    :param rate: requests a second of the customer's limit.
    :param each: how many requests a host admits until then.
    """
    mean = SURGE_RATE_FACTOR * rate * SURGE_PROPAGATION_S / host_count
    probability_equal = exp(-mean)
    probability_more = 1.0
    admitted_per_host = 0.0
    for count in range(max_per_host):
        probability_more -= probability_equal
        admitted_per_host += max(0.0, probability_more)
        probability_equal *= mean / (count + 1)
    return host_count * admitted_per_host


def excess_limit(
    customer: Customer, slack: float, overage: float, window_s: float
) -> float:
    """Return how far all hosts together may exceed a customer's bucket.

    Only a part of what was agreed is used; the rest covers counts that are late.

    :param slack: requests that were agreed on top of a window's limit.
    :param overage: part of a window's limit that was agreed on top.
    :param window_s: length of the window.
    """
    limit = customer.rate * window_s + customer.burst
    return USED_SLACK_RATIO * slack + USED_OVERAGE_RATIO * overage * limit


class CustomerQuotas:
    """Keep one account for each customer.

    :param overdraft: returns how far all hosts together may exceed a customer's
        bucket for a moment, in requests.
    """

    def __init__(self, max_excess: Callable[[Customer], float]) -> None:
        self._max_excess = max_excess
        self._buckets: dict[str, _CustomerBucket] = {}
        self._updated_at = 0.0

    def take(self, customer: Customer, now: float) -> bool:
        """Take a token for a request; customers without a rate need none."""
        if customer.rate <= 0:
            return True
        bucket = self._bucket(customer.name, now)
        bucket.requested += 1
        if self._allowance(bucket, now) < 1.0:
            return False
        bucket.admitted += 1
        bucket.admitted_at.append(now)
        return True

    def refund(self, customer: Customer) -> None:
        """Give back the token of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.admitted -= 1

    def wait_s(self, customer: Customer, now: float) -> float:
        """Return the seconds until a token is due."""
        bucket = self._buckets.get(customer.name)
        if bucket is None or bucket.rate <= 0 or bucket.share <= 0:
            return 1.0
        missing = 1.0 - self._allowance(bucket, now)
        share_wait_s = max(0.0, missing) / (bucket.rate * bucket.share)
        tokens_left = bucket.tokens_left + (now - bucket.refilled_at) * bucket.rate
        reserve_wait_s = max(
            SURGE_PROPAGATION_S, (_surge_reserve(bucket, 1) - tokens_left) / bucket.rate
        )
        return min(share_wait_s, reserve_wait_s)

    def decision_inputs(self, customer: Customer, now: float) -> dict[str, float]:
        """Return what a decision about a customer rests on, for the log.

        :returns: requests left in the fleet's bucket, this host's part of them,
            what it may admit now, and the seconds since the counts were taken.
        """
        bucket = self._bucket(customer.name, now)
        return {
            "left": round(bucket.tokens_left, 1),
            "share": round(bucket.share, 3),
            "allowance": round(self._allowance(bucket, now), 2),
            "rate": customer.rate,
            "counts_age_s": round(now - bucket.refilled_at, 3),
        }

    def rates(self) -> dict[str, float]:
        """Return the limit of each customer that has one, in requests a second."""
        return {name: bucket.rate for name, bucket in self._buckets.items()}

    def demand(self) -> dict[str, float]:
        """Return the requests a second that each customer sends this host."""
        return {
            name: round(bucket.demand, 2)
            for name, bucket in self._buckets.items()
            if bucket.demand > 0.01
        }

    def admitted(self) -> dict[str, int]:
        """Return how many requests of each customer were admitted."""
        return {name: bucket.admitted for name, bucket in self._buckets.items()}

    def update_shares(
        self,
        customers: Iterable[Customer],
        reports: Iterable[QuotaReport],
        silent_host_count: int,
        now: float,
        lag_s: float = REPORT_LAG_S,
    ) -> None:
        """Take the other hosts' counts and set every part anew.

        :param reports: what each host that is heard said last.
        :param unheard: how many hosts are known and not heard.
        :param lag_s: age that the counts may have.
        """
        elapsed_s = max(1e-3, now - self._updated_at)
        self._updated_at = now
        all_reports = list(reports)
        primary_reports = [report for report in all_reports if report.is_primary]
        other_host_count = sum(report.host_count for report in primary_reports)
        host_count = 1 + other_host_count + silent_host_count
        for customer in customers:
            if customer.rate <= 0:
                continue
            bucket = self._bucket(customer.name, now)
            _update_demand(bucket, elapsed_s)
            other_demands = [
                report.demand.get(customer.name, 0.0) for report in primary_reports
            ]
            live_ratio = 1.0 - silent_host_count / host_count
            share = host_share(
                bucket.demand, other_demands, silent_host_count, other_host_count
            )
            bucket.share = share / live_ratio
            bucket.rate = customer.rate * live_ratio
            bucket.burst = customer.burst * live_ratio
            excess = self._max_excess(customer)
            bucket.own_excess = excess / host_count
            self._update_tokens(bucket, customer.name, all_reports, now, lag_s)
            bucket.tokens_left = max(-excess, bucket.tokens_left)
            bucket.host_count = host_count
            bucket.fleet_excess = excess * live_ratio

    def _bucket(self, name: str, now: float) -> _CustomerBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _CustomerBucket(refilled_at=now)
        return bucket

    def _allowance(self, bucket: _CustomerBucket, now: float) -> float:
        """Return how many requests this host may admit now."""
        tokens_left = bucket.tokens_left + (now - bucket.refilled_at) * bucket.rate
        admitted_since = bucket.admitted - bucket.lagged_admitted
        own_tokens = bucket.share * min(bucket.burst, tokens_left)
        allowance = own_tokens + bucket.own_excess - admitted_since
        if allowance >= 1.0:
            return allowance
        ahead = 1 + sum(at > now - SURGE_PROPAGATION_S for at in bucket.admitted_at)
        if (
            ahead <= MAX_ADMITTED_AHEAD
            and tokens_left >= _surge_reserve(bucket, ahead) + admitted_since + 1
        ):
            return 1.0
        return allowance

    def _update_tokens(
        self,
        bucket: _CustomerBucket,
        name: str,
        reports: list[QuotaReport],
        now: float,
        lag_s: float,
    ) -> None:
        """Move the fleet's bucket on: fill it, and take off what was admitted."""
        admitted = self._advance_own_count(bucket, now, lag_s)
        reported_counts: dict[tuple[str, int], int] = {}
        for report in reports:
            last_count = bucket.reported_counts.get(report.identity)
            count = report.admitted.get(name, last_count)
            if count is None:
                continue
            reported_counts[report.identity] = count
            # A host that was just heard for the first time used its part long ago.
            if report.is_primary and last_count is not None:
                admitted += count - last_count
        bucket.reported_counts = reported_counts
        tokens_left = (
            bucket.tokens_left + (now - bucket.refilled_at) * bucket.rate - admitted
        )
        bucket.tokens_left = min(bucket.burst, tokens_left)
        bucket.refilled_at = now

    def _advance_own_count(
        self, bucket: _CustomerBucket, now: float, lag_s: float
    ) -> int:
        """Return what this host admitted between the last two lagged moments."""
        bucket.admitted_history.append((now, bucket.admitted))
        lagged_admitted = bucket.lagged_admitted
        while bucket.admitted_history and bucket.admitted_history[0][0] <= now - lag_s:
            lagged_admitted = bucket.admitted_history.popleft()[1]
        growth = lagged_admitted - bucket.lagged_admitted
        bucket.lagged_admitted = lagged_admitted
        return growth


def _surge_reserve(bucket: _CustomerBucket, max_per_host: int) -> float:
    """Return what the bucket must hold to let this host admit some requests.

    The other hosts may admit as many, each of them, before they learn of it.
    """
    surge_admissions = expected_surge_admissions(
        bucket.rate, bucket.host_count, max_per_host
    )
    refilled = bucket.rate * SURGE_PROPAGATION_S
    other_admissions = (
        (bucket.host_count - 1) / bucket.host_count * (surge_admissions - refilled)
    )
    return other_admissions - bucket.fleet_excess


def _update_demand(bucket: _CustomerBucket, elapsed_s: float) -> None:
    decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
    rate = bucket.requested / elapsed_s
    bucket.requested = 0
    bucket.demand = decay * bucket.demand + (1 - decay) * rate
