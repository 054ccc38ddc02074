"""Counts that other hosts report, and what changed in them since the last update."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from damasktally.decisions.customer_bucket import CustomerBucket

NO_COUNTS: Mapping[str, Any] = MappingProxyType({})
"""Table without any customer."""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Hold the latest counts of another host, or of several hosts from a relay.

    The tables are not changed after the report was made; a new report has new ones.

    :param identity: identifies one run of the sender, by a name and its start time;
        counts start again at 0 with each run.
    :param admitted: requests admitted since the start, by customer.
    :param demand: requests a second that customers send, by customer.
    :param host_count: how many hosts the counts include.
    :param is_primary: false if another report holds the same counts; this one then only
        serves to continue from when it becomes the primary one.
    :param own_admitted: part of ``admitted`` that this host admitted itself.
    :param own_demand: part of ``demand`` that reaches this host itself.
    """

    identity: tuple[str, int]
    admitted: Mapping[str, int]
    demand: Mapping[str, float]
    host_count: int = 1
    is_primary: bool = True
    own_admitted: Mapping[str, int] = field(default_factory=lambda: NO_COUNTS)
    own_demand: Mapping[str, float] = field(default_factory=lambda: NO_COUNTS)

    def count_of(self, customer: str) -> int | None:
        """Return how many requests of a customer the other hosts admitted."""
        count = self.admitted.get(customer)
        if count is None:
            return None
        return count - self.own_admitted.get(customer, 0)

    def changed_counts(self, previous: "QuotaReport") -> set[str]:
        """Return the customers whose count may differ from the previous report."""
        return _changed_names(previous.admitted, self.admitted) | _changed_names(
            previous.own_admitted, self.own_admitted
        )

    def changed_demands(self, previous: "QuotaReport") -> set[str]:
        """Return the customers whose demand may differ from the previous report."""
        return _changed_names(previous.demand, self.demand) | _changed_names(
            previous.own_demand, self.own_demand
        )


class ReportHistory:
    """Keep the last report of each sender, and pass on what changed in the next."""

    def __init__(self) -> None:
        self._reports: list[QuotaReport] = []

    def has_same_senders(self, reports: Sequence[QuotaReport]) -> bool:
        """Return whether the last reports came from the same runs of the same hosts."""
        return len(reports) == len(self._reports) and all(
            new.identity == old.identity and new.is_primary == old.is_primary
            for new, old in zip(reports, self._reports, strict=True)
        )

    def apply_changes(
        self, reports: list[QuotaReport], buckets: Mapping[str, CustomerBucket]
    ) -> dict[str, int]:
        """Take in the reports of the same senders as before.

        :param buckets: buckets of the customers that have a limit.
        :returns: growth of the admitted counts, by customer; only those that changed.
        """
        growth: dict[str, int] = {}
        changed_demands: set[str] = set()
        for new, old in zip(reports, self._reports, strict=True):
            _add_growth(new, new.changed_counts(old), buckets, growth)
            if new.is_primary:
                changed_demands |= new.changed_demands(old)
        self._reports = reports
        _update_other_demand(reports, changed_demands, buckets)
        return growth

    def apply_all(
        self, reports: list[QuotaReport], buckets: Mapping[str, CustomerBucket]
    ) -> dict[str, int]:
        """Take in reports of other senders than before, or for other customers.

        :param buckets: buckets of the customers that have a limit.
        :returns: growth of the admitted counts of every customer.
        """
        growth = dict.fromkeys(buckets, 0)
        senders = {report.identity for report in reports}
        for bucket in buckets.values():
            for identity in bucket.reported_counts.keys() - senders:
                del bucket.reported_counts[identity]
        for report in reports:
            _add_growth(report, report.admitted, buckets, growth)
        self._reports = reports
        _update_other_demand(reports, buckets, buckets)
        return growth


def _changed_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> set[str]:
    """Return the names of the entries that differ between two tables."""
    if old is new:
        return set()
    changed = {name for name, value in new.items() if old.get(name) != value}
    return changed | (old.keys() - new.keys())


def _add_growth(
    report: QuotaReport,
    customers: Iterable[str],
    buckets: Mapping[str, CustomerBucket],
    growth: dict[str, int],
) -> None:
    """Record the counts of some customers, and add their growth if it counts.

    The first report of a host only sets the baseline: its requests were admitted long
    ago.
    """
    identity, is_primary = report.identity, report.is_primary
    for name in customers:
        bucket = buckets.get(name)
        if bucket is None:
            continue
        count = report.count_of(name)
        if count is None:
            continue
        last_count = bucket.reported_counts.get(identity)
        bucket.reported_counts[identity] = count
        if is_primary and last_count is not None and count != last_count:
            growth[name] = growth.get(name, 0) + count - last_count


def _update_other_demand(
    reports: list[QuotaReport],
    customers: Iterable[str],
    buckets: Mapping[str, CustomerBucket],
) -> None:
    """Add up the demand of some customers at the other hosts."""
    tables = [(item.demand, item.own_demand) for item in reports if item.is_primary]
    for name in customers:
        bucket = buckets.get(name)
        if bucket is not None:
            bucket.other_demand = _other_demand(name, tables)


def _other_demand(
    name: str, tables: list[tuple[Mapping[str, float], Mapping[str, float]]]
) -> float:
    """Add up the demand of a customer.

    :param tables: for each report, the demand and what of it reaches this host.
    """
    total = 0.0
    for demand, own_demand in tables:
        value = demand.get(name)
        if value:
            total += (
                max(0.0, value - own_demand.get(name, 0.0)) if own_demand else value
            )
    return total
