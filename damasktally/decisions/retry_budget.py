"""Bound how much load repeats add to a service.

Retries that follow a failure multiply the load that caused it. Each host may repeat
a part of its own requests, so the fleet's sum stays inside the limit with no word
between hosts.
"""

from collections import deque

USED_LIMIT_RATIO = 0.8
"""Part of the limit that is used, since windows of hosts and judges differ."""


class RetryBudget:
    """Count requests and repeats of one service over a sliding window.

    :param ratio: repeats allowed for each request.
    :param window_s: length of the window.
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
        """Take a repeat if the budget allows one.

        :param extra: repeats a window that are allowed on top; this host's part.
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
