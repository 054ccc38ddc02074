"""Estimate how many requests each server holds, all hosts together."""

from dataclasses import dataclass

REPORT_LIFETIME_S = 1.0
"""A server's own report says nothing any more after this long."""


@dataclass(slots=True)
class _ServerLoad:
    own: int = 0
    others: float = 0.0
    reported_at: float = -1e9


class ServerLoads:
    """Count this host's requests at each server, and add what servers report.

    A report tells what the server held when it answered. What this host had there
    is taken off; the rest belongs to other hosts and fades with the report's age.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _ServerLoad] = {}

    def begin(self, server: str) -> None:
        """Note that a request of this host goes to a server."""
        self._load(server).own += 1

    def end(self, server: str) -> None:
        """Note that a request of this host left a server."""
        load = self._load(server)
        load.own = max(0, load.own - 1)

    def record_report(
        self, server: str, running: int, waiting: int, now: float
    ) -> None:
        """Take a server's own report.

        Called before :meth:`end`, so that the request that brought the report is
        still among this host's own; the server no longer counts it.
        """
        load = self._load(server)
        load.others = max(0.0, running + waiting - (load.own - 1))
        load.reported_at = now

    def estimate(self, server: str, now: float) -> float:
        """Return how many requests a server holds, as far as is known."""
        load = self._loads.get(server)
        if load is None:
            return 0.0
        report_weight = 1.0 - (now - load.reported_at) / REPORT_LIFETIME_S
        return load.own + load.others * max(0.0, report_weight)

    def keep_only(self, servers: set[str]) -> None:
        """Forget servers that are gone and hold nothing of this host."""
        for server in [name for name in self._loads if name not in servers]:
            if not self._loads[server].own:
                del self._loads[server]

    def _load(self, server: str) -> _ServerLoad:
        return self._loads.setdefault(server, _ServerLoad())
