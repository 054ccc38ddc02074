"""Keep the table of backend servers, and decide when one is gone."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.fleet.model import Server

MASS_REMOVAL = 3
"""Removals at once from which on a lapse of registrations is likely."""
MASS_PART = 0.2
LAPSE_GRACE_S = 2.4
"""How long servers whose registration lapsed may take to come back."""


@dataclass(slots=True)
class ServerRecord:
    """Hold a server and what this host worked out about it.

    :param cold_until: until when it bears few requests, on the loop's clock.
    :param gone_at: when it is dropped unless it registers again, or nothing.
    """

    server: Server
    warming_until: float
    gone_at: float | None = None


class ServerTable:
    """Apply registrations and removals.

    A store that was away may have let the registrations of living servers lapse.
    Such removals come many at a time, and the servers register again within about
    two seconds, so that many removals at once take effect late.
    """

    def __init__(self) -> None:
        self._known: dict[str, ServerRecord] = {}

    def __len__(self) -> int:
        return len(self._known)

    def get(self, server: str) -> ServerRecord | None:
        """Return a server by its id."""
        return self._known.get(server)

    def usable(self) -> list[Server]:
        """Return the servers that may get requests."""
        return [
            item.server for item in self._known.values() if not item.server.is_draining
        ]

    def ids(self) -> set[str]:
        """Return the ids of all servers, leaving ones too."""
        return set(self._known)

    def put(self, server: Server, now: float) -> None:
        """Add a server, or replace what is known of it."""
        held = self._known.get(server.id)
        warming_until = now + server.warmup_left_s
        if held is not None and held.server.started_ms == server.started_ms:
            # A lapsed registration that comes back repeats an old cold time.
            warming_until = max(held.warming_until, warming_until)
        self._known[server.id] = ServerRecord(server, warming_until)

    def remove(self, servers: Iterable[str], now: float) -> None:
        """Remove servers, late when there are many of them."""
        leaving = [name for name in servers if name in self._known]
        staying = [name for name in leaving if not self._known[name].server.is_draining]
        lapsed = len(staying) >= max(MASS_REMOVAL, MASS_PART * len(self._known))
        for name in leaving:
            known = self._known[name]
            if not lapsed or known.server.is_draining:
                del self._known[name]
            elif known.gone_at is None:
                known.gone_at = now + LAPSE_GRACE_S

    def drop(self, server: str) -> None:
        """Remove a server whose address answers for another one."""
        self._known.pop(server, None)

    def remove_expired(self, now: float) -> list[str]:
        """Drop the servers that did not register again; return their ids."""
        gone = [
            name
            for name, known in self._known.items()
            if known.gone_at is not None and known.gone_at <= now
        ]
        for name in gone:
            del self._known[name]
        return gone

    def extend_warm_up(self, server: str, until: float) -> None:
        """Treat a server as cold for longer than it said."""
        known = self._known.get(server)
        if known is not None:
            known.warming_until = max(known.warming_until, until)

    def is_warming_up(self, server: str, now: float) -> bool:
        """Tell whether a server bears few requests."""
        known = self._known.get(server)
        return known is not None and now < known.warming_until
