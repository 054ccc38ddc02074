"""Estimate the demand of this host's callers for a limit."""

from dataclasses import dataclass
from math import exp

FAST_TIME_CONSTANT_S = 0.5
"""Time constant of the moving average that follows a rise of demand, in seconds."""
SLOW_TIME_CONSTANT_S = 5.0
"""Time constant of the moving average that outlasts a short pause, in seconds."""


@dataclass(slots=True)
class DemandEstimator:
    """Estimate demand as the larger of a fast and a slow moving average.

    The fast average follows a rise of demand quickly. The slow one keeps a short pause
    between requests from being taken for the absence of demand.

    :param updated_at: when the averages were last updated, in seconds.
    """

    updated_at: float = 0.0
    _pending_units: float = 0.0
    _fast_rate: float = 0.0
    _slow_rate: float = 0.0

    def record(self, amount: float) -> None:
        """Count units that a caller requested, whether or not it received them.

        :param amount: units of the limit.
        """
        self._pending_units += amount

    def update(self, now: float) -> None:
        """Add what was requested since the last update to the averages.

        :param now: seconds.
        """
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
        """Return the larger of the two averages, in units a second."""
        return max(self._fast_rate, self._slow_rate)

    @property
    def smoothed_rate(self) -> float:
        """Return the slow average, in units a second."""
        return self._slow_rate
