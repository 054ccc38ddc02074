"""Tell whether this host can know of every change that was accepted."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf


class Isolation(Enum):
    """Name what a host knows of the platform."""

    CONNECTED = "connected"
    STORE_SILENT = "store-silent"
    ISOLATED = "isolated"


@dataclass
class Freshness:
    """Track up to when the view is known to be complete.

    All times count from when a question was sent, so that a late answer never
    makes a view look younger than it is.

    :param bound_s: how old a confirmation may be, in seconds.
    """

    max_age_s: float
    clock: Callable[[], float]
    confirmed_at: float = -inf
    store_silent_at: float = -inf

    def record_confirmation(self, at: float) -> None:
        """Record that the view holds every change accepted before a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def record_store_silence(self, at: float) -> None:
        """Record that a host in the store's region got no answer from it.

        No change can have been accepted since the last confirmation then, as far as
        that region can tell.
        """
        self.store_silent_at = max(self.store_silent_at, at)

    def isolation(self) -> Isolation:
        """Return what this host knows of the platform now."""
        oldest = self.clock() - self.max_age_s
        if self.confirmed_at >= oldest:
            return Isolation.CONNECTED
        if self.store_silent_at >= oldest:
            return Isolation.STORE_SILENT
        return Isolation.ISOLATED

    def confirmed_age_s(self) -> float:
        """Return the seconds since the last confirmation, or minus one."""
        return _seconds_since(self.confirmed_at, self.clock())

    def silent_age_s(self) -> float:
        """Return the seconds since the store was found silent, or minus one."""
        return _seconds_since(self.store_silent_at, self.clock())


def _seconds_since(at: float, now: float) -> float:
    return -1.0 if at == -inf else now - at
