"""Detect growth of counts that has to be sent to other hosts at once."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

MIN_URGENT_GROWTH = 4
"""Lower bound on the requests of one customer that make a message urgent."""
URGENT_GROWTH_S = 0.12
"""For a customer with a high limit, a message becomes urgent at the number of requests
that the limit admits in this time."""
COUNTS_AGE_S = 0.1
"""Counts arrive in messages that each cover 0.2 s, so they are this old on average: a
message that arrives just after totals were sent holds requests from before."""


class SurgeDetector:
    """Compare the current totals with those that were sent last.

    Times called ``now`` are times of the event loop in seconds.
    """

    def __init__(self) -> None:
        self._sent_totals: dict[str, int] = {}
        self._sent_demand: Mapping[str, float] = MappingProxyType({})
        self._sent_at = 0.0

    def record_sent(
        self, totals: Mapping[str, int], demand: Mapping[str, float], now: float
    ) -> None:
        """Record that totals were sent, with the demand by which they grow.

        :param totals: admitted requests by customer.
        :param demand: requests a second by customer; this table must not change later.
        """
        self._sent_totals.update(totals)
        self._sent_demand = demand
        self._sent_at = now

    def is_urgent(
        self,
        names: Iterable[str],
        totals: Mapping[str, int],
        rates: Mapping[str, float],
        now: float,
    ) -> bool:
        """Return whether a customer's total grew enough that it has to be sent now.

        The receivers know the demand that was sent last, so that only growth beyond it
        counts. The bound is the larger of :data:`MIN_URGENT_GROWTH` and the requests
        that the customer's limit admits in :data:`URGENT_GROWTH_S`.

        :param names: customers whose totals may have grown.
        :param totals: admitted requests by customer.
        :param rates: limit of each customer, in requests a second.
        """
        sent_totals, sent_demand = self._sent_totals, self._sent_demand
        explained_s = now - self._sent_at + COUNTS_AGE_S
        for name in names:
            sent_total = sent_totals.get(name)
            if sent_total is None:
                continue
            growth = totals.get(name, 0) - sent_total
            if growth < MIN_URGENT_GROWTH:
                continue
            growth -= sent_demand.get(name, 0.0) * explained_s
            if growth >= max(MIN_URGENT_GROWTH, URGENT_GROWTH_S * rates.get(name, 0.0)):
                return True
        return False
