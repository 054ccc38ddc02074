"""Leave servers alone that fail, by what this host's own requests met.

A server's health page lags behind or says that all is well while requests fail, so
the requests themselves are the measurement.
"""

from dataclasses import dataclass

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
FAILURES_TO_PAUSE = 2
FAILURE_MEMORY = 0.85
"""Part of the failure rate that one more outcome leaves in place."""
FAILING_RATE = 0.5


@dataclass(slots=True)
class _Record:
    in_a_row: int = 0
    failing: float = 0.0
    paused_until: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    unreachable: bool = False


class OutlierDetector:
    """Remember which servers failed lately."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, server: str) -> bool:
        """Note an answer; return whether the server was out of reach before it."""
        record = self._records.get(server)
        if record is None:
            return False
        was_unreachable = record.unreachable
        record.unreachable = False
        record.in_a_row = 0
        record.pause_s = FIRST_PAUSE_S
        record.failing *= FAILURE_MEMORY
        return was_unreachable

    def record_failure(self, server: str, now: float, unreachable: bool) -> bool:
        """Note a failure; return whether the server is left alone from now on.

        :param unreachable: no connection could be made.
        """
        record = self._records.setdefault(server, _Record())
        record.in_a_row += 1
        record.failing = 1 - FAILURE_MEMORY * (1 - record.failing)
        record.unreachable = record.unreachable or unreachable
        failing = record.failing > FAILING_RATE
        if not unreachable and record.in_a_row < FAILURES_TO_PAUSE and not failing:
            return False
        if now < record.paused_until:
            return False
        record.paused_until = now + record.pause_s
        record.pause_s = min(LONGEST_PAUSE_S, 2 * record.pause_s)
        return True

    def is_usable(self, server: str, now: float) -> bool:
        """Tell whether requests may go to a server."""
        record = self._records.get(server)
        return record is None or now >= record.paused_until

    def keep_only(self, servers: set[str]) -> None:
        """Forget servers that are gone."""
        for server in [name for name in self._records if name not in servers]:
            del self._records[server]
