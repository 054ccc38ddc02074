"""Limit retries to a fraction of the traffic, so that they cannot multiply load."""

from threading import Lock

RETRY_PART = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Earn a part of a retry with each request, and spend one with each retry.

    :param part: retries that one request earns.
    :param reserve: retries that can be saved up.
    """

    def __init__(
        self, part: float = RETRY_PART, reserve: float = RETRY_RESERVE
    ) -> None:
        self._part = part
        self._reserve = reserve
        self._balance = reserve
        self._lock = Lock()

    def counted(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._balance = min(self._reserve, self._balance + self._part)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
