"""Plain computation of quotas, with which the one in use is compared.

Each update computes every bucket from all reports. The code is that of release 0.8.0.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damasktally.decisions.customer_bucket import MAX_ADMITTED_AHEAD, host_share
from damasktally.decisions.quota import (
    DEMAND_HALF_LIFE_S,
    REPORT_LAG_S,
    SURGE_PROPAGATION_S,
    expected_surge_admissions,
)
from damasktally.decisions.quota_report import QuotaReport
from damasktally.fleet.model import Customer


@dataclass(slots=True)
class _CustomerBucket:
    """Hold the state of one customer's token bucket.

    :param rate: tokens a second for the hosts that are not silent.
    :param burst: size of the bucket for these hosts, in tokens.
    :param tokens_left: tokens in the fleet's bucket at ``refilled_at``.
    :param share: ratio of the tokens that this host may use.
    :param own_excess: requests that this host may admit beyond its share.
    :param host_count: all known hosts, silent ones included.
    :param fleet_excess: requests by which the hosts that are not silent may exceed the
        bucket together.
    :param admitted_at: times of the requests that this host admitted last.
    :param requested: requests since the demand was last measured.
    :param demand: requests a second that reach this host.
    :param admitted: requests that this host admitted since it started.
    :param lagged_admitted: the same, as of the age that other hosts' counts have.
    :param admitted_history: times and counts from which ``lagged_admitted`` is taken.
    :param reported_counts: last admitted count of each report, by identity.
    """

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


class PlainQuotas:
    """Decide whether requests are within their customers' limits over all hosts.

    :param max_excess: returns by how many requests all hosts together may exceed a
        customer's bucket for a moment.
    """

    def __init__(self, max_excess: Callable[[Customer], float]) -> None:
        self._max_excess = max_excess
        self._buckets: dict[str, _CustomerBucket] = {}
        self._updated_at = 0.0

    def take(self, customer: Customer, now: float) -> bool:
        """Take a token for a request, and return whether there was one.

        Customers without a rate limit need no token.
        """
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
        """Return the token of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.admitted -= 1

    def wait_s(self, customer: Customer, now: float) -> float:
        """Return the seconds until a token is available."""
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
        """Return the values behind a decision about a customer, for the log.

        :returns: tokens left in the fleet's bucket, this host's share of them, the
            requests that it may admit now, the customer's rate, and the seconds since
            the counts were last updated.
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
        """Return the requests a second that each customer sends to this host."""
        return {
            name: round(bucket.demand, 2)
            for name, bucket in self._buckets.items()
            if bucket.demand > 0.01
        }

    def admitted(self) -> dict[str, int]:
        """Return how many requests of each customer this host admitted."""
        return {name: bucket.admitted for name, bucket in self._buckets.items()}

    def update_shares(
        self,
        customers: Iterable[Customer],
        reports: Iterable[QuotaReport],
        silent_host_count: int,
        now: float,
        lag_s: float = REPORT_LAG_S,
    ) -> None:
        """Apply the other hosts' counts and recompute this host's share of each limit.

        :param reports: the latest report of each host or relay that sends messages.
        :param silent_host_count: known hosts whose messages do not arrive.
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
        """Refill the fleet's bucket, and subtract what all hosts admitted since."""
        admitted = self._advance_own_count(bucket, now, lag_s)
        reported_counts: dict[tuple[str, int], int] = {}
        for report in reports:
            last_count = bucket.reported_counts.get(report.identity)
            count = report.admitted.get(name, last_count)
            if count is None:
                continue
            reported_counts[report.identity] = count
            # The first report of a host only sets the baseline: its requests were
            # admitted long ago.
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
        """Return how much this host's count grew between the last two lagged times."""
        bucket.admitted_history.append((now, bucket.admitted))
        lagged_admitted = bucket.lagged_admitted
        while bucket.admitted_history and bucket.admitted_history[0][0] <= now - lag_s:
            lagged_admitted = bucket.admitted_history.popleft()[1]
        growth = lagged_admitted - bucket.lagged_admitted
        bucket.lagged_admitted = lagged_admitted
        return growth


def _surge_reserve(bucket: _CustomerBucket, max_per_host: int) -> float:
    """Return the tokens that must be left for a host to admit ahead of its share.

    Each of the other hosts may admit as many requests before the counts arrive.

    :param max_per_host: requests that each host admits ahead of its share.
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
    """Add the rate since the last update to the moving average of the demand."""
    decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
    rate = bucket.requested / elapsed_s
    bucket.requested = 0
    bucket.demand = decay * bucket.demand + (1 - decay) * rate
