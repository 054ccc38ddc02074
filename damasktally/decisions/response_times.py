"""Estimate how long servers take for a request, and how long to have room again.

A full server has room when the requests that it holds are done, which takes about as
long as its latest responses took.
"""

from collections import Counter

MOVING_AVERAGE_WEIGHT = 0.1
"""Weight of one response in the moving average."""
DEFAULT_RESPONSE_TIME_S = 0.5
"""Assumed for a service that has not responded to a request yet."""
FALL_WEIGHT = 0.2
"""Weight with which a shorter response time lowers the time of a fast response."""
RISE_WEIGHT = 0.02
"""Weight with which a longer response time raises it. With a tenth of the other weight,
about one in ten responses is faster."""
MIN_WAIT_S = 0.1
MAX_WAIT_S = 3.0


class ResponseTimes:
    """Keep a moving average of the response times of each service, in seconds."""

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}
        self._fast_s: dict[str, float] = {}
        self._recorded_at: dict[str, float] = {}
        self._counts: Counter[str] = Counter()

    def record(self, service: str, seconds: float, now: float) -> None:
        """Add one response time of a service.

        :param seconds: time from sending the request until its response.
        :param now: time of the event loop's clock in seconds.
        """
        self._recorded_at[service] = now
        self._counts[service] += 1
        average_s = self._average_s.get(service)
        if average_s is None:
            self._average_s[service] = seconds
        else:
            self._average_s[service] = average_s + MOVING_AVERAGE_WEIGHT * (
                seconds - average_s
            )

        fast_s = self._fast_s.get(service, seconds)
        weight = FALL_WEIGHT if seconds < fast_s else RISE_WEIGHT
        self._fast_s[service] = fast_s + weight * (seconds - fast_s)

    def fast_response_s(self, service: str) -> float:
        """Return the time of a fast response of a service, in seconds.

        It is about the time of a request that finds a free slot at a server that is
        warm for its object; 0 if the service has not responded yet.
        """
        return self._fast_s.get(service, 0.0)

    def inputs(self, service: str, now: float) -> dict[str, float]:
        """Return what is known of a service that has responded, for the log."""
        return {
            "expected s": round(self.fast_response_s(service), 3),
            "runs": self._counts[service],
            "newest run age s": round(now - self._recorded_at[service], 2),
        }

    def average_s(self, service: str) -> float:
        """Return the seconds that a request to a service is expected to take."""
        return self._average_s.get(service, DEFAULT_RESPONSE_TIME_S)

    def expected_wait_s(self, service: str) -> float:
        """Return the seconds after which a full service is expected to have room."""
        average_s = self.average_s(service)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, average_s))
