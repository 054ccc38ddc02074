"""Notice growth of counts that other hosts must not learn of late."""

from collections.abc import Iterable, Mapping

MIN_URGENT_GROWTH = 4
"""Requests of one customer that make a message urgent at least."""
URGENT_GROWTH_S = 0.12
"""For large customers: what the limit admits in this long."""


class SurgeDetector:
    """Compare totals with what was last told of them."""

    def __init__(self) -> None:
        self._sent_totals: dict[str, int] = {}

    def record_sent(self, totals: Mapping[str, int]) -> None:
        """Note that totals were told."""
        self._sent_totals.update(totals)

    def is_urgent(
        self,
        names: Iterable[str],
        totals: Mapping[str, int],
        rates: Mapping[str, float],
    ) -> bool:
        """Tell whether some customer's growth is worth a message at once.

        :param names: customers whose totals may have grown.
        :param rates: requests a second of each customer's limit.
        """
        for name in names:
            total = totals.get(name, 0)
            growth = total - self._sent_totals.get(name, total)
            if growth >= max(MIN_URGENT_GROWTH, URGENT_GROWTH_S * rates.get(name, 0.0)):
                return True
        return False
