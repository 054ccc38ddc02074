"""Limit each customer's request rate over all hosts, from counts that hosts exchange.

Every host sends the number of requests of each customer that it has admitted since it
started. From these counts each host computes what is left in one token bucket for the
whole fleet. Its share of these tokens is the ratio of its demand to the demand of the
fleet, so that tokens are available where callers send their requests, even when a rate
is small compared with the number of hosts.

The counts of other hosts arrive late. A host therefore subtracts its own count from the
bucket with the same delay as theirs, and subtracts all that it admitted since then from
its own share.

In a large fleet a host's share may be less than one request. A host may still admit one
request, or a few, while the bucket holds as many tokens as a surge could use before the
counts arrive, if every host did the same.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from math import exp, inf

from damasktally.decisions.customer_bucket import (
    MAX_ADMITTED_AHEAD,
    CustomerBucket,
    LimitDivision,
)
from damasktally.decisions.quota_report import QuotaReport, ReportHistory
from damasktally.fleet.model import Bounds, Customer

DEMAND_HALF_LIFE_S = 0.5
USED_SLACK_RATIO = 0.85
USED_OVERAGE_RATIO = 0.5
REPORT_LAG_S = 0.35
"""Age that the counts of other hosts may have: the interval of heartbeats and the
network delay."""
RELAYED_LAG_S = 0.65
"""The same where relays forward the counts: three messages and their delays."""
SURGE_PROPAGATION_S = 0.35
"""Time until all hosts know that a customer's requests grow much faster than usual;
such counts are sent at once."""
SURGE_RATE_FACTOR = 6.0
"""Multiple of its rate that a customer may suddenly request."""
MIN_REPORTED_DEMAND = 0.01
"""Requests a second of a customer below which this host reports no demand."""
MIN_UPDATE_S = 1e-3
"""Lower bound on the time over which an update measures the demand."""


def expected_surge_admissions(rate: float, host_count: int, max_per_host: int) -> float:
    """Return how many requests a surge may bring before its counts reach all hosts.

    The surge is assumed to spread over the hosts at random, as a Poisson distribution
    with the same mean at each host, and each host admits only a few requests of it.

    :param rate: requests a second of the customer's limit.
    :param max_per_host: how many requests a host admits until the counts arrive.
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
    """Return by how many requests all hosts together may exceed a customer's bucket.

    Only a part of the agreed figures is used; the rest makes up for counts that arrive
    late.

    :param slack: requests that were agreed on top of a window's limit.
    :param overage: ratio of a window's limit that was agreed on top.
    :param window_s: length of the window.
    """
    limit = customer.rate * window_s + customer.burst
    return USED_SLACK_RATIO * slack + USED_OVERAGE_RATIO * overage * limit


class CustomerQuotas:
    """Decide whether requests are within their customers' limits over all hosts.

    An update touches only the customers whose counts changed. The buckets of the others
    are brought up to the last update (settled) when they are used. A bucket stays
    unsettled while requests of this host are not yet part of its demand or its tokens.

    :param max_excess: returns by how many requests all hosts together may exceed a
        customer's bucket for a moment.
    """

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "CustomerQuotas":
        """Return quotas that may be exceeded within the agreed bounds."""
        return cls(
            partial(
                excess_limit,
                slack=bounds.quota_slack,
                overage=bounds.quota_overage,
                window_s=bounds.quota_window_s,
            )
        )

    def __init__(self, max_excess: Callable[[Customer], float]) -> None:
        self._max_excess = max_excess
        self._buckets: dict[str, CustomerBucket] = {}
        self._limited: dict[str, CustomerBucket] = {}
        self._unsettled: dict[str, CustomerBucket] = {}
        self._demanding: dict[str, CustomerBucket] = {}
        self._admitted: dict[str, int] = {}
        self._admitted_copy: dict[str, int] | None = None
        self._demand_copy: dict[str, float] | None = None
        self._rates: dict[str, float] = {}
        self._customers: tuple[Customer, ...] = ()
        self._division = LimitDivision(0, 0)
        self._reports = ReportHistory()
        self._updated_at = 0.0
        self._clock_s = 0.0

    def take(self, customer: Customer, now: float) -> bool:
        """Take a token for a request, and return whether there was one.

        Customers without a rate limit need no token.
        """
        if customer.rate <= 0:
            return True
        name = customer.name
        bucket = self._current_bucket(name, now)
        bucket.requested += 1
        self._unsettled[name] = bucket
        if _allowance(bucket, now) < 1.0:
            return False
        self._add_admitted(name, bucket, 1)
        bucket.admitted_at.append(now)
        return True

    def refund(self, customer: Customer) -> None:
        """Return the token of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            self._unsettled[customer.name] = bucket
            self._add_admitted(customer.name, bucket, -1)

    def wait_s(self, customer: Customer, now: float) -> float:
        """Return the seconds until a token is available."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            self._settle(bucket)
        if bucket is None or bucket.rate <= 0 or bucket.share <= 0:
            return 1.0
        missing = 1.0 - _allowance(bucket, now)
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
        bucket = self._current_bucket(customer.name, now)
        return {
            "left": round(bucket.tokens_left, 1),
            "share": round(bucket.share, 3),
            "allowance": round(_allowance(bucket, now), 2),
            "rate": customer.rate,
            "counts_age_s": round(now - bucket.refilled_at, 3),
        }

    def rates(self) -> Mapping[str, float]:
        """Return the limit of each customer that has one, in requests a second."""
        return self._rates

    def demand(self) -> Mapping[str, float]:
        """Return the requests a second that each customer sends to this host.

        :returns: a table that does not change; the same one until the next update.
        """
        if self._demand_copy is None:
            self._demand_copy = self._measured_demand()
        return self._demand_copy

    def _measured_demand(self) -> dict[str, float]:
        demand = {}
        for name, bucket in list(self._demanding.items()):
            self._settle(bucket)
            if bucket.demand > MIN_REPORTED_DEMAND:
                demand[name] = round(bucket.demand, 2)
            else:
                del self._demanding[name]
        return demand

    def admitted(self) -> Mapping[str, int]:
        """Return how many requests of each customer this host admitted.

        :returns: a table that does not change; the same one until a count changes.
        """
        if self._admitted_copy is None:
            self._admitted_copy = self._admitted.copy()
        return self._admitted_copy

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
            Their tables must not change later.
        :param silent_host_count: known hosts whose messages do not arrive.
        :param lag_s: age that the counts may have.
        """
        customers, reports = tuple(customers), list(reports)
        other_host_count = sum(r.host_count for r in reports if r.is_primary)
        division = LimitDivision(1 + other_host_count, silent_host_count)
        if (
            division == self._division
            and customers == self._customers
            and self._reports.has_same_senders(reports)
        ):
            growth = self._reports.apply_changes(reports, self._limited)
            refilled_until = self._updated_at
        else:
            self._divide_limits(customers, division, now)
            growth = self._reports.apply_all(reports, self._limited)
            # All buckets that had a limit before are refilled until the last update.
            refilled_until = -inf
        elapsed_s = max(MIN_UPDATE_S, now - self._updated_at)
        self._update_own_counts(growth, now, elapsed_s, lag_s)
        for name, admitted in growth.items():
            bucket = self._limited[name]
            bucket.refill_until(refilled_until)
            bucket.refill(now, admitted)
        self._updated_at = now
        self._clock_s += elapsed_s
        self._demand_copy = None

    def _divide_limits(
        self, customers: tuple[Customer, ...], division: LimitDivision, now: float
    ) -> None:
        """Compute what depends on the customers' limits and the number of hosts."""
        for bucket in self._limited.values():
            self._settle(bucket)
            bucket.is_limited = False
        self._customers, self._division = customers, division
        self._limited = {}
        for customer in customers:
            if customer.rate <= 0:
                continue
            bucket = self._bucket(customer.name, now)
            self._limited[customer.name] = bucket
            bucket.is_limited = True
            bucket.demand_clock_s = self._clock_s
            excess = self._max_excess(customer)
            bucket.divide(customer.rate, customer.burst, excess, division)
        self._rates = {name: bucket.rate for name, bucket in self._buckets.items()}

    def _update_own_counts(
        self, growth: dict[str, int], now: float, elapsed_s: float, lag_s: float
    ) -> None:
        """Measure the demand at this host, and add its own counts to the growth.

        :param growth: growth of the admitted counts, by customer.
        :param elapsed_s: seconds since the last update.
        """
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        clock_s = self._clock_s + elapsed_s
        for name, bucket in list(self._unsettled.items()):
            if not bucket.is_limited:
                continue
            self._settle_demand(bucket)
            rate = bucket.requested / elapsed_s
            bucket.requested = 0
            bucket.demand = decay * bucket.demand + (1 - decay) * rate
            bucket.demand_clock_s = clock_s
            bucket.update_share()
            if bucket.demand > MIN_REPORTED_DEMAND:
                self._demanding[name] = bucket
            own_growth = bucket.advance_own_count(now, lag_s)
            if own_growth:
                growth[name] = growth.get(name, 0) + own_growth
            if bucket.has_settled_counts:
                del self._unsettled[name]

    def _settle(self, bucket: CustomerBucket) -> None:
        """Bring the demand, share and tokens of a bucket up to the last update.

        Nothing was requested or admitted since the bucket was updated itself. A bucket
        of a customer without a limit stays as it is.
        """
        if bucket.is_limited:
            self._settle_demand(bucket)
            bucket.refill_until(self._updated_at)

    def _settle_demand(self, bucket: CustomerBucket) -> None:
        idle_s = self._clock_s - bucket.demand_clock_s
        if idle_s > 0:
            bucket.demand *= 0.5 ** (idle_s / DEMAND_HALF_LIFE_S)
            bucket.demand_clock_s = self._clock_s
            bucket.update_share()

    def _current_bucket(self, name: str, now: float) -> CustomerBucket:
        bucket = self._bucket(name, now)
        self._settle(bucket)
        return bucket

    def _bucket(self, name: str, now: float) -> CustomerBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = CustomerBucket(now, self._clock_s)
            self._add_admitted(name, bucket, 0)
        return bucket

    def _add_admitted(self, name: str, bucket: CustomerBucket, count: int) -> None:
        bucket.admitted += count
        self._admitted[name] = bucket.admitted
        self._admitted_copy = None


def _allowance(bucket: CustomerBucket, now: float) -> float:
    """Return how many requests this host may admit now, of an up-to-date bucket."""
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


def _surge_reserve(bucket: CustomerBucket, max_per_host: int) -> float:
    """Return the tokens that must be left for a host to admit ahead of its share.

    Each of the other hosts may admit as many requests before the counts arrive.

    :param max_per_host: requests that each host admits ahead of its share.
    """
    reserve = bucket.surge_reserves.get(max_per_host)
    if reserve is None:
        host_count = bucket.division.host_count
        surge_admissions = expected_surge_admissions(
            bucket.rate, host_count, max_per_host
        )
        refilled = bucket.rate * SURGE_PROPAGATION_S
        other_admissions = (host_count - 1) / host_count * (surge_admissions - refilled)
        reserve = other_admissions - bucket.fleet_excess
        bucket.surge_reserves[max_per_host] = reserve
    return reserve
