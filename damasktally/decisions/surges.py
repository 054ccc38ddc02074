"""Detect growth of counts that has to be sent to other hosts at once."""

from collections.abc import Iterable, Mapping

MIN_URGENT_GROWTH = 4
"""Lower bound on the requests of one customer that make a message urgent."""
URGENT_GROWTH_S = 0.12
"""For a customer with a high limit, a message becomes urgent at the number of requests
that the limit admits in this time."""


class SurgeDetector:
    """Compare the current totals with those that were sent last."""

    def __init__(self) -> None:
        self._sent_totals: dict[str, int] = {}

    def record_sent(self, totals: Mapping[str, int]) -> None:
        """Record that totals were sent."""
        self._sent_totals.update(totals)

    def is_urgent(
        self,
        names: Iterable[str],
        totals: Mapping[str, int],
        rates: Mapping[str, float],
    ) -> bool:
        """Return whether a customer's total grew enough that it has to be sent now.

        The bound is the larger of :data:`MIN_URGENT_GROWTH` and the requests that its
        limit admits in :data:`URGENT_GROWTH_S`.

        :param names: customers whose totals may have grown.
        :param totals: admitted requests by customer.
        :param rates: limit of each customer, in requests a second.
        """
        for name in names:
            total = totals.get(name, 0)
            growth = total - self._sent_totals.get(name, total)
            if growth >= max(MIN_URGENT_GROWTH, URGENT_GROWTH_S * rates.get(name, 0.0)):
                return True
        return False
