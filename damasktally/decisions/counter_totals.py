"""Add up the counters of several hosts, which restart from zero now and then.

A host's counts are totals since it started, so the sum over hosts would fall when a
host ends. Adding up the growth of each counter instead gives totals that can be
forwarded as if one host had counted everything. Growth is negative when a host took
back a request that it had counted.
"""

from collections.abc import Mapping

Identity = tuple[str, int]
"""Identifies one run of a host: its name and its start time."""


class CounterTotals:
    """Keep the sums of the growth of several hosts' counters."""

    def __init__(self) -> None:
        self._last_counts: dict[Identity, dict[str, int]] = {}
        self.totals: dict[str, int] = {}

    def add(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Add the growth of a host's counters to the totals.

        The first value of a counter only sets its baseline.

        :param counts: current counts by name.
        """
        last_counts = self._last_counts.setdefault(identity, {})
        for name, count in counts.items():
            growth = count - last_counts.get(name, count)
            last_counts[name] = count
            self.totals[name] = self.totals.get(name, 0) + growth

    def set_baseline(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Record the counts of a host without adding their growth to the totals.

        Two relays send the same counts, and only those of one are added. With a current
        baseline, the other relay can take its place at any moment.

        :param counts: current counts by name.
        """
        self._last_counts.setdefault(identity, {}).update(counts)

    def keep_only(self, identities: set[Identity]) -> None:
        """Remove the baselines of all hosts except the given ones; totals remain."""
        for identity in [key for key in self._last_counts if key not in identities]:
            del self._last_counts[identity]
