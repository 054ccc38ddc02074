"""Maximum of a value over a sliding window of time."""

from collections import deque


class RecentMaximum:
    """Keep the largest of the values that were recorded lately.

    :param window_s: how long a value counts, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._values: deque[tuple[float, float]] = deque()

    def record(self, value: float, now: float) -> float:
        """Record a value and return the largest one of the window.

        :param now: seconds on a clock that does not go back.
        """
        values = self._values
        while values and values[-1][1] <= value:
            values.pop()
        values.append((now, value))
        while now - values[0][0] > self._window_s:
            values.popleft()
        return values[0][1]
