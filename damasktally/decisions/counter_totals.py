"""Add up counts of hosts that start anew now and then.

Counts are totals since a host's start. A sum of them would fall when a host ends;
adding up their growth instead gives totals that can be passed on as if one host had
counted all of it. Growth is negative where a count was taken back.
"""

from collections.abc import Mapping

Identity = tuple[str, int]
"""Names one run of a host: its name and its start."""


class CounterTotals:
    """Keep totals of what several counters grew by."""

    def __init__(self) -> None:
        self._last_counts: dict[Identity, dict[str, int]] = {}
        self.totals: dict[str, int] = {}

    def add(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Add what a counter grew by; a counter that is new only sets its start."""
        last_counts = self._last_counts.setdefault(identity, {})
        for name, count in counts.items():
            growth = count - last_counts.get(name, count)
            last_counts[name] = count
            self.totals[name] = self.totals.get(name, 0) + growth

    def set_baseline(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Take a counter's stand without adding its growth, as it is counted elsewhere.

        Two relays tell the same counts; only one of them is added, and the other can
        take its place at any moment.
        """
        self._last_counts.setdefault(identity, {}).update(counts)

    def keep_only(self, identities: set[Identity]) -> None:
        """Forget counters that ended."""
        for identity in [key for key in self._last_counts if key not in identities]:
            del self._last_counts[identity]
