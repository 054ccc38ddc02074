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
        self._last_tables: dict[Identity, Mapping[str, int]] = {}
        self.totals: dict[str, int] = {}

    def add(self, identity: Identity, counts: Mapping[str, int]) -> dict[str, int]:
        """Add the growth of a host's counters to the totals.

        The first value of a counter only sets its baseline. A table must not change
        after it was added: adding the same object again has no effect.

        :param counts: current counts by name.
        :returns: growth by name, of the counters that changed or are new.
        """
        if self._last_tables.get(identity) is counts:
            return {}
        self._last_tables[identity] = counts
        return self.add_changes(identity, counts)

    def add_changes(
        self, identity: Identity, counts: Mapping[str, int]
    ) -> dict[str, int]:
        """Add the growth of some of a host's counters to the totals.

        :param counts: current counts by name, of the counters that may have changed.
        :returns: growth by name, of the counters that changed or are new.
        """
        last_counts = self._last_counts.setdefault(identity, {})
        growth = {}
        for name, count in counts.items():
            last_count = last_counts.get(name)
            if last_count != count:
                growth[name] = 0 if last_count is None else count - last_count
                last_counts[name] = count
        self.add_growth(growth)
        return growth

    def add_growth(self, growth: Mapping[str, int]) -> None:
        """Add growth that another instance computed from the counters of a host.

        :param growth: growth by name; 0 makes a name known.
        """
        totals = self.totals
        for name, count in growth.items():
            totals[name] = totals.get(name, 0) + count

    def mark_added(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Record a host's table of which all entries were added already.

        :param counts: current counts by name.
        """
        self._last_tables[identity] = counts

    def set_baseline(self, identity: Identity, counts: Mapping[str, int]) -> None:
        """Record the counts of a host without adding their growth to the totals.

        Two relays send the same counts, and only those of one are added. With a current
        baseline, the other relay can take its place at any moment.

        :param counts: current counts by name.
        """
        if self._last_tables.get(identity) is not counts:
            self._last_tables[identity] = counts
            self._last_counts.setdefault(identity, {}).update(counts)

    def keep_only(self, identities: set[Identity]) -> None:
        """Remove the baselines of all hosts except the given ones; totals remain."""
        for identity in [key for key in self._last_counts if key not in identities]:
            del self._last_counts[identity]
            self._last_tables.pop(identity, None)
