"""Loads of backend servers, as hosts pass them on to each other."""

import msgspec

from damasktally.fleet.model import MAX_LOAD_FIGURE
from damasktally.fleet.server_limits import ReportScope

MAX_LOADS_PER_HEARTBEAT = 64
MAX_LOADS_PER_SUMMARY = 256


class ServerLoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load that the newest known response of a server reported.

    Fields are identified by their position on the wire; new ones go to the end.

    :param server: id of the server.
    :param started_ms: Unix time in milliseconds of the start of its process.
    :param running: requests that occupy a slot.
    :param waiting: requests in the server's queue.
    :param slowdown_percent: time that work takes on the server, in percent of the usual
        time.
    :param age_ms: milliseconds since that response arrived at the host that got it,
        without the time between hosts.
    """

    server: str
    started_ms: int
    running: int
    waiting: int
    slowdown_percent: int
    age_ms: int

    @property
    def is_plausible(self) -> bool:
        """Return whether all figures are in their range, and the age not negative."""
        return (
            0 <= self.running <= MAX_LOAD_FIGURE
            and 0 <= self.waiting <= MAX_LOAD_FIGURE
            and 0 < self.slowdown_percent <= MAX_LOAD_FIGURE
            and self.age_ms >= 0
        )


def max_loads(scope: ReportScope) -> int:
    """Return the maximum number of load reports in a message.

    :param scope: the widest scope of the reports that the message carries.
    """
    if scope is ReportScope.OWN:
        return MAX_LOADS_PER_HEARTBEAT
    return MAX_LOADS_PER_SUMMARY
