"""Pause servers that fail, according to the results of this host's own requests.

A server's health page may be out of date, or report that all is well while requests
fail. The requests themselves are therefore the measurement.
"""

from dataclasses import dataclass

INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
CONSECUTIVE_FAILURES_TO_PAUSE = 2
FAILURE_RATE_DECAY = 0.85
"""Ratio of the previous failure rate that remains after one more result."""
MAX_FAILURE_RATE = 0.5


@dataclass(slots=True)
class _ServerRecord:
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    paused_until: float = 0.0
    pause_s: float = INITIAL_PAUSE_S
    is_unreachable: bool = False


class OutlierDetector:
    """Count the failures of each server, and pause servers that fail too often."""

    def __init__(self) -> None:
        self._records: dict[str, _ServerRecord] = {}

    def record_success(self, server: str) -> bool:
        """Record a response from a server.

        :returns: whether the server was unreachable before.
        """
        record = self._records.get(server)
        if record is None:
            return False
        was_unreachable = record.is_unreachable
        record.is_unreachable = False
        record.consecutive_failures = 0
        record.pause_s = INITIAL_PAUSE_S
        record.failure_rate *= FAILURE_RATE_DECAY
        return was_unreachable

    def record_failure(self, server: str, now: float, unreachable: bool) -> bool:
        """Record a failed request to a server.

        :param unreachable: no connection could be made.
        :returns: whether a pause of the server begins now.
        """
        record = self._records.setdefault(server, _ServerRecord())
        record.consecutive_failures += 1
        record.failure_rate = 1 - FAILURE_RATE_DECAY * (1 - record.failure_rate)
        record.is_unreachable = record.is_unreachable or unreachable
        is_failing = record.failure_rate > MAX_FAILURE_RATE
        if (
            not unreachable
            and record.consecutive_failures < CONSECUTIVE_FAILURES_TO_PAUSE
            and not is_failing
        ):
            return False
        if now < record.paused_until:
            return False
        record.paused_until = now + record.pause_s
        record.pause_s = min(MAX_PAUSE_S, 2 * record.pause_s)
        return True

    def is_usable(self, server: str, now: float) -> bool:
        """Return whether requests may be sent to a server, which is not paused."""
        record = self._records.get(server)
        return record is None or now >= record.paused_until

    def is_unreachable(self, server: str) -> bool:
        """Return whether no connection to a server succeeded since one failed."""
        record = self._records.get(server)
        return record is not None and record.is_unreachable

    def keep_only(self, servers: set[str]) -> None:
        """Remove all servers except the given ones."""
        for server in [name for name in self._records if name not in servers]:
            del self._records[server]
