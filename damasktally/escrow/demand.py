"""Forecast how much of a limit this host's callers will ask for."""

from dataclasses import dataclass
from math import exp

FAST_S = 0.5
SLOW_S = 3.0
SAFETY = 1.2
"""Factor by which a forecast exceeds the demand seen."""


@dataclass(slots=True)
class Demand:
    """Average the demand over a short and a long time and take the larger.

    :param at: when the averages were last brought up to date, in seconds.
    """

    at: float = 0.0
    _offered: float = 0.0
    _fast: float = 0.0
    _slow: float = 0.0

    def offer(self, amount: float) -> None:
        """Count what a caller asked for, whether or not it got it."""
        self._offered += amount

    def update(self, now: float) -> None:
        """Fold what was offered since the last update into the averages."""
        elapsed = now - self.at
        if elapsed <= 0:
            return
        rate = self._offered / elapsed
        self._fast += (1 - exp(-elapsed / FAST_S)) * (rate - self._fast)
        self._slow += (1 - exp(-elapsed / SLOW_S)) * (rate - self._slow)
        self._offered = 0.0
        self.at = now

    @property
    def forecast(self) -> float:
        """Return the units a second to be ready for."""
        return SAFETY * max(self._fast, self._slow)
