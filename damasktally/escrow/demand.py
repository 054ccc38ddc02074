"""Estimate how much of a limit this host's callers ask for."""

from dataclasses import dataclass
from math import exp

FAST_TIME_CONSTANT_S = 0.5
SLOW_TIME_CONSTANT_S = 5.0


@dataclass(slots=True)
class DemandEstimator:
    """Average the demand over a short and a long time and take the larger.

    A rise shows at once, and a short silence does not look like no demand.

    :param updated_at: when the averages were last brought up to date, in seconds.
    """

    updated_at: float = 0.0
    _pending_units: float = 0.0
    _fast_rate: float = 0.0
    _slow_rate: float = 0.0

    def record(self, amount: float) -> None:
        """Count what a caller asked for, whether or not it got it."""
        self._pending_units += amount

    def update(self, now: float) -> None:
        """Fold what was offered since the last update into the averages."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        rate = self._pending_units / elapsed
        self._fast_rate += (1 - exp(-elapsed / FAST_TIME_CONSTANT_S)) * (
            rate - self._fast_rate
        )
        self._slow_rate += (1 - exp(-elapsed / SLOW_TIME_CONSTANT_S)) * (
            rate - self._slow_rate
        )
        self._pending_units = 0.0
        self.updated_at = now

    @property
    def rate(self) -> float:
        """Return units a second, quick to rise."""
        return max(self._fast_rate, self._slow_rate)

    @property
    def smoothed_rate(self) -> float:
        """Return units a second, without the noise of a moment."""
        return self._slow_rate
