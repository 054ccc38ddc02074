"""Provide the clock by which leases, loans and deadlines are measured."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

Clock = Callable[[], float]
"""Returns the seconds of a clock that never goes backwards."""


def seconds_since_boot() -> float:
    """Return the time since the machine booted, including time spent suspended.

    The monotonic clock stops while the machine is suspended. A host that used it would
    treat its leases as valid after a suspension, although they had expired meanwhile.

    :returns: seconds.
    """
    return clock_gettime(CLOCK_BOOTTIME)
