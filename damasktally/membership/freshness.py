"""Track whether this host's view includes every change that was accepted."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf


class Isolation(Enum):
    """Classify a host's connection to the platform.

    ``STORE_SILENT``: the view is not confirmed, but hosts in the store's region got
    no answer from the store either, so that no change can have been accepted.
    """

    CONNECTED = "connected"
    STORE_SILENT = "store-silent"
    ISOLATED = "isolated"


@dataclass
class Freshness:
    """Track up to which time the view is known to be complete.

    All times are those at which a request was sent, so that a late answer never
    makes a view look more recent than it is.

    :param max_age_s: how old a confirmation may be, in seconds.
    :param clock: returns the time, in seconds.
    :param confirmed_at: time up to which the view is known to be complete.
    :param store_silent_at: when the store was last found silent.
    """

    max_age_s: float
    clock: Callable[[], float]
    confirmed_at: float = -inf
    store_silent_at: float = -inf

    def record_confirmation(self, at: float) -> None:
        """Record that the view holds every change accepted before a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def record_store_silence(self, at: float) -> None:
        """Record that a host in the store's region got no answer from the store.

        As far as is known in that region, no change can have been accepted since the
        last confirmation then.
        """
        self.store_silent_at = max(self.store_silent_at, at)

    def isolation(self) -> Isolation:
        """Return how this host is connected to the platform now."""
        oldest = self.clock() - self.max_age_s
        if self.confirmed_at >= oldest:
            return Isolation.CONNECTED
        if self.store_silent_at >= oldest:
            return Isolation.STORE_SILENT
        return Isolation.ISOLATED

    def confirmed_age_s(self) -> float:
        """Return the seconds since the last confirmation, or -1 without one."""
        return _seconds_since(self.confirmed_at, self.clock())

    def silent_age_s(self) -> float:
        """Return the seconds since the store was found silent, or -1 if never."""
        return _seconds_since(self.store_silent_at, self.clock())


def _seconds_since(at: float, now: float) -> float:
    return -1.0 if at == -inf else now - at
