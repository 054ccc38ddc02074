"""Track whether this host reaches the store, which it tells the other hosts."""

from collections.abc import Callable

LOSS_MEMORY_S = 5.0
"""A host that does not call the store any more counts as cut off from it for this long
after the last call that failed."""


class StoreReach:
    """Hold whether the last call to the store succeeded.

    ``on_lost`` is called when the store is lost. A late response counts as none here,
    so that other hosts follow the store soon;
    :mod:`~damasktally.decisions.store_calls` tells whether the store is unavailable.
    """

    def __init__(self) -> None:
        self._failed_at: float | None = None
        self.on_lost: Callable[[], None] = lambda: None

    def record_failure(self, now: float) -> None:
        """Record that a call failed, or is late.

        :param now: seconds on the event loop's clock.
        """
        was_lost = self.is_lost(now)
        self._failed_at = now
        if not was_lost:
            self.on_lost()

    def record_success(self) -> None:
        """Record that the store responded to a call."""
        self._failed_at = None

    def is_lost(self, now: float) -> bool:
        """Return whether the last call failed, and not long ago.

        :param now: seconds on the event loop's clock.
        """
        return self._failed_at is not None and now - self._failed_at <= LOSS_MEMORY_S
