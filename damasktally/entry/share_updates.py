"""Decide when the shares of limits are computed from newly received counts."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable, Mapping
from math import inf

from damasktally.decisions.surges import SurgeDetector
from damasktally.fleet.summaries import SummaryRecord

MIN_INTERVAL_S = 0.05
"""Updates that are due within this long of each other are combined, unless a surge is
reported."""


class ShareUpdates:
    """Run updates of the shares, combined if they come close together.

    Times called ``now`` are times of the event loop in seconds.

    :param update: computes the shares as of a time.
    :param rates: returns the limit of each customer, in requests a second.
    """

    def __init__(
        self,
        update: Callable[[float], None],
        rates: Callable[[], Mapping[str, float]],
    ) -> None:
        self._update = update
        self._rates = rates
        self._surges = SurgeDetector()
        self._record: SummaryRecord | None = None
        self._updated_at = -inf
        self._timer: TimerHandle | None = None
        self._loop = get_running_loop()

    def handle_counts(self, record: SummaryRecord, now: float) -> None:
        """Update the shares as a relay's summary brought the counts of all hosts.

        :param record: the relay's latest summary.
        """
        self._record = record
        if self._surges.is_urgent(
            record.summary.admitted, record.admitted, self._rates(), now
        ):
            self._run(now)
        else:
            self.request(now)

    def request(self, now: float) -> None:
        """Update the shares now, or shortly if the last update was just before."""
        due_in_s = self._updated_at + MIN_INTERVAL_S - now
        if due_in_s <= 0:
            self._run(now)
        elif self._timer is None:
            self._timer = self._loop.call_later(due_in_s, self._run_due)

    def close(self) -> None:
        """Cancel the update that is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_due(self) -> None:
        self._timer = None
        self._run(self._loop.time())

    def _run(self, now: float) -> None:
        self.close()
        self._updated_at = now
        self._update(now)
        record = self._record
        if record is not None:
            self._surges.record_sent(record.admitted, record.demand, now)
            self._record = None
