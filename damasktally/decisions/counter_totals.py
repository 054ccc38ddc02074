"""Add up counts of hosts that start anew now and then.

Counts are totals since a host's start. A sum of them would fall when a host ends;
adding up their growth instead gives totals that can be passed on as if one host had
counted all of it. Growth is negative where a count was taken back.
"""

from collections.abc import Mapping

Run = tuple[str, int]
"""Names one run of a host: its name and its start."""


class CounterTotals:
    """Keep totals of what several counters grew by."""

    def __init__(self) -> None:
        self._seen: dict[Run, dict[str, int]] = {}
        self.totals: dict[str, int] = {}

    def add(self, run: Run, counts: Mapping[str, int]) -> None:
        """Add what a counter grew by; a counter that is new only sets its start."""
        seen = self._seen.setdefault(run, {})
        for name, count in counts.items():
            grown = count - seen.get(name, count)
            seen[name] = count
            self.totals[name] = self.totals.get(name, 0) + grown

    def set_baseline(self, run: Run, counts: Mapping[str, int]) -> None:
        """Take a counter's stand without adding its growth, as it is counted elsewhere.

        Two relays tell the same counts; only one of them is added, and the other can
        take its place at any moment.
        """
        self._seen.setdefault(run, {}).update(counts)

    def keep_only(self, runs: set[Run]) -> None:
        """Forget counters that ended."""
        for run in [run for run in self._seen if run not in runs]:
            del self._seen[run]
