"""Estimate how many outstanding requests each server has, and how slow it is."""

from dataclasses import dataclass

REPORT_LIFETIME_S = 1.0
"""Age from which a server's own load report no longer counts."""


@dataclass(slots=True)
class _ServerLoad:
    own: int = 0
    others: float = 0.0
    slowdown: float = 1.0
    reported_at: float = -1e9


class ServerLoads:
    """Add this host's outstanding requests at each server and those of other hosts.

    A server's load report holds the requests that it had when it responded. The
    requests of this host are subtracted; the rest belongs to other hosts, and its
    weight falls to zero as the report ages.
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
    ) -> None:
        """Record a server's own load report.

        It has to be called before :meth:`end`: the request whose response carried the
        report is then still counted for this host, while the server no longer counts
        it.

        :param running: requests that occupy a slot.
        :param waiting: requests in the server's queue.
        :param slowdown: time that work takes on the server, relative to the usual
            time, or None if it does not say.
        """
        load = self._load(server)
        load.others = max(0.0, running + waiting - (load.own - 1))
        load.slowdown = 1.0 if slowdown is None else slowdown
        load.reported_at = now

    def estimate(self, server: str, now: float) -> float:
        """Return the estimated number of outstanding requests at a server."""
        load = self._loads.get(server)
        if load is None:
            return 0.0
        return load.own + load.others * _report_weight(load, now)

    def slowdown(self, server: str, now: float) -> float:
        """Return the time that work takes on a server, relative to the usual time.

        It approaches 1.0 as the report ages, and is 1.0 without a report.
        """
        load = self._loads.get(server)
        if load is None:
            return 1.0
        return 1.0 + (load.slowdown - 1.0) * _report_weight(load, now)

    def keep_only(self, servers: set[str]) -> None:
        """Remove all other servers, unless a request of this host is outstanding."""
        for server in [name for name in self._loads if name not in servers]:
            if not self._loads[server].own:
                del self._loads[server]

    def _load(self, server: str) -> _ServerLoad:
        return self._loads.setdefault(server, _ServerLoad())


def _report_weight(load: _ServerLoad, now: float) -> float:
    """Return the weight of the last report, which falls from 1 to 0 as it ages."""
    age_s = now - load.reported_at
    return max(0.0, 1.0 - age_s / REPORT_LIFETIME_S)
