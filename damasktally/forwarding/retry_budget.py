"""Limit retries to a fraction of the traffic, so that they cannot multiply load."""

from threading import Lock

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Earn a part of a retry with each request, and spend one with each retry.

    :param part: retries that one request earns.
    :param reserve: retries that can be saved up.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, max_saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = max_saved
        self._lock = Lock()

    def record_request(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._saved = min(self._max_saved, self._saved + self._ratio)

    def take(self) -> bool:
        """Take one retry, if there is one."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
