"""Estimate how many outstanding requests each server has, and how slow it is."""

from dataclasses import dataclass
from math import inf

from damasktally.fleet.server_loads import ServerLoadReport

REPORT_LIFETIME_S = 1.0
"""Age from which a server's load report no longer counts."""
SHARED_REPORT_FULL_WEIGHT_S = 0.5
"""Age up to which a report of another host counts in full.

On its way through relays, it waits 0.3 s on average for messages. If its weight fell
from the start, as that of an own report does, hosts would see less than half of the
load.
"""
ARRIVAL_JITTER_S = 0.02
"""A report of another host has to be newer than the known one by more than this.

The time that a report takes between hosts is not part of its age. Otherwise the copy of
a report that arrives later by another path would count as a newer report; the longest
path between hosts takes 12 ms.
"""


@dataclass(slots=True)
class _ServerLoad:
    own: int = 0
    others: float = 0.0
    slowdown: float = 1.0
    reported_at: float = -inf
    expires_at: float = -inf
    full_weight_s: float = 0.0
    started_ms: int = 0

    def weight(self, now: float) -> float:
        """Return the weight of a report that has not expired; it falls from 1 to 0."""
        weight = (self.expires_at - now) / (REPORT_LIFETIME_S - self.full_weight_s)
        return weight if weight < 1.0 else 1.0


class ServerLoads:
    """Add this host's outstanding requests at each server and those of other hosts.

    A server's load report holds the requests that it had when it responded, to any
    host. The requests of this host are subtracted; the rest belongs to other hosts, and
    its weight falls to zero as the report ages. Only the newest report of a server
    counts.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _ServerLoad] = {}

    def begin(self, server: str) -> None:
        """Count a request that this host sends to a server."""
        self._load(server).own += 1

    def end(self, server: str) -> None:
        """Remove a request of this host that has ended at a server."""
        load = self._load(server)
        load.own = max(0, load.own - 1)

    def record_report(
        self,
        server: str,
        running: int,
        waiting: int,
        slowdown: float | None,
        now: float,
        started_ms: int = 0,
    ) -> bool:
        """Record a server's load report that a response to this host carried.

        It has to be called before :meth:`end`: the request whose response carried the
        report is then still counted for this host, while the server no longer counts
        it.

        :param running: requests that occupy a slot.
        :param waiting: requests in the server's queue.
        :param slowdown: time that work takes on the server, relative to the usual
            time, or None if it does not say.
        :param started_ms: Unix time of the start of the server's process in
            milliseconds.
        :returns: whether it was recorded. That of an earlier process is not while a
            report of a later one counts.
        """
        load = self._load(server)
        if started_ms < load.started_ms and now < load.expires_at:
            return False
        load.others = max(0.0, running + waiting - (load.own - 1))
        load.slowdown = 1.0 if slowdown is None else slowdown
        load.reported_at = now
        load.expires_at = now + REPORT_LIFETIME_S
        load.full_weight_s = 0.0
        load.started_ms = started_ms
        return True

    def record_shared_report(self, report: ServerLoadReport, now: float) -> bool:
        """Record a report that another host received, unless a newer one is known.

        The server counted the outstanding requests of this host, too, except those on
        their way to it. All of them are subtracted, so that the estimate is the larger
        one of the report and of this host's own requests. Adding the two would count
        most of the own requests twice, and this host would avoid a server for the
        load that it causes itself.

        :returns: whether it was recorded. A report of an earlier process of the
            server, from the future or with figures out of range is not.
        """
        if not report.is_plausible:
            return False
        load = self._load(report.server)
        reported_at = now - report.age_ms / 1000.0
        expires_at = reported_at + REPORT_LIFETIME_S
        if now >= expires_at or not _is_newer(report, reported_at, load, now):
            return False
        load.others = max(0.0, report.running + report.waiting - load.own)
        load.slowdown = report.slowdown_percent / 100.0
        load.reported_at = reported_at
        load.expires_at = expires_at
        load.full_weight_s = SHARED_REPORT_FULL_WEIGHT_S
        load.started_ms = report.started_ms
        return True

    def estimate(self, server: str, now: float) -> float:
        """Return the estimated number of outstanding requests at a server."""
        load = self._loads.get(server)
        if load is None:
            return 0.0
        if now >= load.expires_at:
            return load.own
        return load.own + load.others * load.weight(now)

    def estimates(self, now: float) -> dict[str, float]:
        """Return the estimates of all servers that are not known to be idle, by id."""
        estimates = {name: self.estimate(name, now) for name in self._loads}
        return {name: value for name, value in estimates.items() if value > 0}

    def slowdown(self, server: str, now: float) -> float:
        """Return the time that work takes on a server, relative to the usual time.

        It approaches 1.0 as the report ages, and is 1.0 without a report.
        """
        load = self._loads.get(server)
        if load is None or now >= load.expires_at:
            return 1.0
        return 1.0 + (load.slowdown - 1.0) * load.weight(now)

    def report_age_s(self, server: str, now: float) -> float | None:
        """Return the age of a server's report in seconds, or None if none counts."""
        load = self._loads.get(server)
        if load is None or now >= load.expires_at:
            return None
        return now - load.reported_at

    def keep_only(self, servers: set[str]) -> None:
        """Remove all other servers, unless a request of this host is outstanding."""
        for server in [name for name in self._loads if name not in servers]:
            if not self._loads[server].own:
                del self._loads[server]

    def _load(self, server: str) -> _ServerLoad:
        load = self._loads.get(server)
        if load is None:
            load = self._loads[server] = _ServerLoad()
        return load


def _is_newer(
    report: ServerLoadReport, reported_at: float, load: _ServerLoad, now: float
) -> bool:
    """Return whether a report of another host is newer than the known one.

    The start of a process counts more than the time of its report, until the known
    report expires: the clock of a server's machine may have been set back.
    """
    if now >= load.expires_at:
        return True
    if report.started_ms != load.started_ms:
        return report.started_ms > load.started_ms
    return reported_at > load.reported_at + ARRIVAL_JITTER_S
