"""Estimate how long a full service takes until it has room.

A server that is full has room when what it holds now is done, which takes about as
long as its latest answers took.
"""

MOVING_AVERAGE_WEIGHT = 0.1
"""Weight of one answer in the mean."""
DEFAULT_RESPONSE_TIME_S = 0.5
"""Taken as long as a service has answered nothing."""
MIN_WAIT_S = 0.1
MAX_WAIT_S = 3.0


class ResponseTimes:
    """Keep a moving mean of the seconds that answers took, for each service."""

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Take the time from sending a request until its answer."""
        average_s = self._average_s.get(service)
        if average_s is None:
            self._average_s[service] = seconds
        else:
            self._average_s[service] = average_s + MOVING_AVERAGE_WEIGHT * (
                seconds - average_s
            )

    def expected_wait_s(self, service: str) -> float:
        """Return the seconds after which a full service likely has room."""
        average_s = self._average_s.get(service, DEFAULT_RESPONSE_TIME_S)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, average_s))
