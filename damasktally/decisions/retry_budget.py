"""Limit how much load the retries of a service add.

Retries that follow a failure multiply the load that caused it. Each host may retry a
fixed ratio of its own requests, so that the sum over the fleet stays within the limit
without messages between hosts.
"""

from collections import deque

USED_LIMIT_RATIO = 0.8
"""Ratio of the limit that is used, because the windows in which each host counts are
not those in which the limit is checked."""


class RetryBudget:
    """Count the requests and retries of one service over a sliding window.

    :param ratio: retries allowed for each request.
    :param window_s: length of the window in seconds.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float, extra: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        :param extra: retries in a window that are allowed in addition to the ratio;
            this host's part of them.
        """
        self._expire(now)
        allowed = USED_LIMIT_RATIO * (self._ratio * len(self._requests) + extra)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
