"""Follow the era that the store names in its responses."""

from collections.abc import Callable


class EraTracker:
    """Keep the newest era of the store.

    An era that is missing, unreadable or lower than a known one is a problem, which is
    reported; the known era stays.

    :param report_problem: called with a short description of each problem.
    """

    def __init__(self, report_problem: Callable[[str], None]) -> None:
        self._report_problem = report_problem
        self.era = 0

    def observe(self, value: bytes | None) -> bool:
        """Take in the era of a response.

        :param value: the header's value, or None if it is missing.
        :returns: whether the response may be used: one of an earlier era may not.
        """
        if value is None:
            if self.era:
                self._report_problem(f"missing after era {self.era}")
            return True
        if not value.strip().isdigit():
            self._report_problem(f"unreadable: {value[:20]!r}")
            return True
        era = int(value)
        if era < self.era:
            self._report_problem(f"fell from {self.era} to {era}")
            return False
        self.era = era
        return True
