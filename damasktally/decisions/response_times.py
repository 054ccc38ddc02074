"""Estimate how long a full service takes to have room again.

A full server has room when the requests that it holds are done, which takes about as
long as its latest responses took.
"""

MOVING_AVERAGE_WEIGHT = 0.1
"""Weight of one response in the moving average."""
DEFAULT_RESPONSE_TIME_S = 0.5
"""Assumed for a service that has not responded to a request yet."""
MIN_WAIT_S = 0.1
MAX_WAIT_S = 3.0


class ResponseTimes:
    """Keep a moving average of the response times of each service, in seconds."""

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Add one response time of a service.

        :param seconds: time from sending the request until its response.
        """
        average_s = self._average_s.get(service)
        if average_s is None:
            self._average_s[service] = seconds
        else:
            self._average_s[service] = average_s + MOVING_AVERAGE_WEIGHT * (
                seconds - average_s
            )

    def average_s(self, service: str) -> float:
        """Return the seconds that a request to a service is expected to take."""
        return self._average_s.get(service, DEFAULT_RESPONSE_TIME_S)

    def expected_wait_s(self, service: str) -> float:
        """Return the seconds after which a full service is expected to have room."""
        average_s = self.average_s(service)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, average_s))
