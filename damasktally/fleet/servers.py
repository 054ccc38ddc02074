"""Keep the table of backend servers, and decide when one is gone."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.fleet.model import Server

MIN_MASS_REMOVAL_SERVERS = 3
"""Removals at once from which on a lapse of registrations is likely."""
MIN_MASS_REMOVAL_FRACTION = 0.2
REREGISTRATION_GRACE_S = 2.4
"""How long servers whose registration lapsed may take to come back."""


@dataclass(slots=True)
class ServerRecord:
    """Hold a server and what this host worked out about it.

    :param cold_until: until when it bears few requests, on the loop's clock.
    :param remove_at: when it is dropped unless it registers again, or nothing.
    """

    server: Server
    warming_until: float
    remove_at: float | None = None


class ServerTable:
    """Apply registrations and removals.

    A store that was away may have let the registrations of living servers lapse.
    Such removals come many at a time, and the servers register again within about
    two seconds, so that many removals at once take effect late.
    """

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, server: str) -> ServerRecord | None:
        """Return a server by its id."""
        return self._records.get(server)

    def usable(self) -> list[Server]:
        """Return the servers that may get requests."""
        return [
            item.server
            for item in self._records.values()
            if not item.server.is_draining
        ]

    def ids(self) -> set[str]:
        """Return the ids of all servers, leaving ones too."""
        return set(self._records)

    def put(self, server: Server, now: float) -> None:
        """Add a server, or replace what is known of it."""
        previous = self._records.get(server.id)
        warming_until = now + server.warmup_left_s
        if previous is not None and previous.server.started_ms == server.started_ms:
            # A lapsed registration that comes back repeats an old cold time.
            warming_until = max(previous.warming_until, warming_until)
        self._records[server.id] = ServerRecord(server, warming_until)

    def remove(self, servers: Iterable[str], now: float) -> None:
        """Remove servers, late when there are many of them."""
        removed = [name for name in servers if name in self._records]
        active = [
            name for name in removed if not self._records[name].server.is_draining
        ]
        is_mass_removal = len(active) >= max(
            MIN_MASS_REMOVAL_SERVERS, MIN_MASS_REMOVAL_FRACTION * len(self._records)
        )
        for name in removed:
            record = self._records[name]
            if not is_mass_removal or record.server.is_draining:
                del self._records[name]
            elif record.remove_at is None:
                record.remove_at = now + REREGISTRATION_GRACE_S

    def drop(self, server: str) -> None:
        """Remove a server whose address answers for another one."""
        self._records.pop(server, None)

    def remove_expired(self, now: float) -> list[str]:
        """Drop the servers that did not register again; return their ids."""
        expired = [
            name
            for name, record in self._records.items()
            if record.remove_at is not None and record.remove_at <= now
        ]
        for name in expired:
            del self._records[name]
        return expired

    def extend_warm_up(self, server: str, until: float) -> None:
        """Treat a server as cold for longer than it said."""
        record = self._records.get(server)
        if record is not None:
            record.warming_until = max(record.warming_until, until)

    def is_warming_up(self, server: str, now: float) -> bool:
        """Tell whether a server bears few requests."""
        record = self._records.get(server)
        return record is not None and now < record.warming_until
