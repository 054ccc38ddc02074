"""Limit retries to a ratio of the requests, so that they cannot multiply the load."""

from threading import Lock

RETRY_RATIO = 0.1
"""Retries that are allowed for each request."""
RETRY_RESERVE = 10.0
"""Retries that can be saved up."""


class RetryBudget:
    """Token bucket of allowed retries, which requests fill and each retry takes from.

    :param ratio: retries that one request adds.
    :param reserve: retries that can be saved up, and that are available at first.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve
        self._lock = Lock()

    def record_request(self) -> None:
        """Count a request, without its retries."""
        with self._lock:
            self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
