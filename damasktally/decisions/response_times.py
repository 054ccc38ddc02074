"""Estimate how long a full service takes until it has room.

A server that is full has room when what it holds now is done, which takes about as
long as its latest answers took.
"""

WEIGHT = 0.1
"""Weight of one answer in the mean."""
FIRST_S = 0.5
"""Taken as long as a service has answered nothing."""
SHORTEST_S = 0.1
LONGEST_S = 3.0


class ResponseTimes:
    """Keep a moving mean of the seconds that answers took, for each service."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Take the time from sending a request until its answer."""
        mean_s = self._mean_s.get(service)
        if mean_s is None:
            self._mean_s[service] = seconds
        else:
            self._mean_s[service] = mean_s + WEIGHT * (seconds - mean_s)

    def expected_wait_s(self, service: str) -> float:
        """Return the seconds after which a full service likely has room."""
        mean_s = self._mean_s.get(service, FIRST_S)
        return min(LONGEST_S, max(SHORTEST_S, mean_s))
