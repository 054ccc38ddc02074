"""Read the clock that every lease, loan and deadline is measured with."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

Clock = Callable[[], float]
"""A function that returns seconds on a clock that never goes back."""


def seconds_since_boot() -> float:
    """Return seconds since boot, time spent suspended included.

    A monotonic clock stops while a machine sleeps, so a host that was suspended
    would believe that its leases are still young.

    :returns: seconds.
    """
    return clock_gettime(CLOCK_BOOTTIME)
