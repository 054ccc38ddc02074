"""Detect that the host was suspended."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic

MIN_SUSPENSION_S = 0.5
"""The host was suspended if the clock that includes suspensions has gained
more than this on the one that does not."""


class SuspensionDetector:
    """Compare a clock that includes suspensions with one that does not."""

    def __init__(self) -> None:
        self._boot_offset_s = _boot_offset_s()

    def measure_s(self) -> float:
        """Return the seconds of a suspension since the last call, or 0."""
        offset_s = _boot_offset_s()
        gained_s = offset_s - self._boot_offset_s
        self._boot_offset_s = offset_s
        return gained_s if gained_s > MIN_SUSPENSION_S else 0.0


def _boot_offset_s() -> float:
    """Return the seconds for which the system was suspended since it booted."""
    return clock_gettime(CLOCK_BOOTTIME) - monotonic()
