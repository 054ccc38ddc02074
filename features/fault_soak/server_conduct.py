"""What a stand-in server of the soak says of itself, and what it recorded meanwhile."""

from dataclasses import dataclass, field
from time import monotonic

BAD_PATH = "/read/bad"
"""Target of the request that ends servers."""


@dataclass(frozen=True)
class Told:
    """A response by which a server told a host something of itself.

    :param subject: ``leaving``, ``limit`` or ``pause``.
    :param period: distinguishes periods in which the server said so.
    :param value: the limit in requests a second, or the pause in seconds.
    """

    at: float
    request_id: str
    subject: str
    period: int
    value: float


@dataclass
class Period:
    """A time in which a server said something of itself.

    :param ended_at: when it stopped to say so; infinity while it goes on.
    """

    subject: str
    began_at: float
    ended_at: float = float("inf")


@dataclass
class ServerConduct:
    """State of a server as it reports it, with a history for the checks.

    Times are in seconds of the monotonic clock.
    """

    is_leaving: bool = False
    limit: float | None = None
    pause_s: float = 0.0
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    periods: list[Period] = field(default_factory=list)
    ended_under_bad: list[float] = field(default_factory=list)
    restart_count: int = 0
    bad_arrivals: list[tuple[float, str]] = field(default_factory=list)
    _current_request_id: str = ""

    def begin(self, subject: str) -> Period:
        """Begin a period."""
        period = Period(subject, monotonic())
        self.periods.append(period)
        return period

    def record_arrival(self, request_id: str) -> None:
        """Record a request that arrived."""
        self._current_request_id = request_id
        self.arrivals.append((monotonic(), request_id))

    def record_told(self, request_id: str, subject: str) -> None:
        """Record a response that reports a state."""
        period = max(
            index for index, item in enumerate(self.periods) if item.subject == subject
        )
        value = {"limit": self.limit or 0.0, "pause": self.pause_s}.get(subject, 0.0)
        self.told.append(Told(monotonic(), request_id, subject, period, value))

    def ends_under(self, line: str) -> bool:
        """Return whether the server ends under a request, and record that."""
        if BAD_PATH not in line:
            return False
        now = monotonic()
        self.ended_under_bad.append(now)
        self.bad_arrivals.append((now, self._current_request_id))
        return True

    def report_headers(self, request_id: str) -> str:
        """Return the header lines of a response, and record what they tell."""
        lines = ""
        if self.is_leaving:
            self.record_told(request_id, "leaving")
            lines += "Server-Leaving: 1\r\n"
        if self.limit is not None:
            self.record_told(request_id, "limit")
            lines += f"Server-Limit: {self.limit}\r\n"
        return lines
