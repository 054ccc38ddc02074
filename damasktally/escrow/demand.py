"""Estimate how much of a limit this host's callers ask for."""

from dataclasses import dataclass
from math import exp

FAST_S = 0.5
SLOW_S = 5.0


@dataclass(slots=True)
class Demand:
    """Average the demand over a short and a long time and take the larger.

    A rise shows at once, and a short silence does not look like no demand.

    :param at: when the averages were last brought up to date, in seconds.
    """

    at: float = 0.0
    _offered: float = 0.0
    _fast: float = 0.0
    _slow: float = 0.0

    def record(self, amount: float) -> None:
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
    def rate(self) -> float:
        """Return units a second, quick to rise."""
        return max(self._fast, self._slow)

    @property
    def steady(self) -> float:
        """Return units a second, without the noise of a moment."""
        return self._slow
