"""Table of the registered backend servers, which tolerates lost registrations."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.fleet.model import Server

MIN_MASS_REMOVAL_SERVERS = 3
"""Number of servers below which a removal is never a mass removal."""
MIN_MASS_REMOVAL_FRACTION = 0.2
"""Fraction of all servers below which a removal is never a mass removal."""
REREGISTRATION_GRACE_S = 2.4
"""How long servers of a mass removal stay in use until they register again."""


@dataclass(slots=True)
class ServerRecord:
    """Registered server, with what this host derived from its registrations.

    Times are in seconds on the event loop's clock.

    :param warming_until: end of its warm-up, until which its request rate is limited.
    :param remove_at: when it is removed unless it registers again, or None if no
        removal is pending.
    """

    server: Server
    warming_until: float
    remove_at: float | None = None


class ServerTable:
    """Table of backend servers by id, updated by registrations and removals.

    After an outage of the store, the registrations of healthy servers may have expired.
    Such removals arrive many at a time, and the servers register again within about two
    seconds. Therefore a mass removal takes effect after
    :data:`REREGISTRATION_GRACE_S`, while single removals take effect at once.
    """

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, server: str) -> ServerRecord | None:
        """Return the record of a server, or None if it is not registered.

        :param server: its id.
        """
        return self._records.get(server)

    def usable(self) -> list[Server]:
        """Return the servers that are not draining."""
        return [
            item.server
            for item in self._records.values()
            if not item.server.is_draining
        ]

    def ids(self) -> set[str]:
        """Return the ids of all servers, draining ones included."""
        return set(self._records)

    def put(self, server: Server, now: float) -> None:
        """Add a server, or replace its record; this cancels a pending removal.

        :param now: seconds on the event loop's clock.
        """
        previous = self._records.get(server.id)
        warming_until = now + server.warmup_left_s
        if previous is not None and previous.server.started_ms == server.started_ms:
            # A server that registers again repeats an outdated warm-up time.
            warming_until = max(previous.warming_until, warming_until)
        self._records[server.id] = ServerRecord(server, warming_until)

    def remove(self, servers: Iterable[str], now: float) -> None:
        """Remove servers, after a delay if it is a mass removal.

        Draining servers do not count towards a mass removal and are removed at once.

        :param servers: their ids.
        :param now: seconds on the event loop's clock.
        """
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
        """Remove a server at once, since another process responds at its address.

        :param server: its id.
        """
        self._records.pop(server, None)

    def remove_expired(self, now: float) -> list[str]:
        """Remove the servers that did not register again in time.

        :param now: seconds on the event loop's clock.
        :returns: the ids of the removed servers.
        """
        expired = [
            name
            for name, record in self._records.items()
            if record.remove_at is not None and record.remove_at <= now
        ]
        for name in expired:
            del self._records[name]
        return expired

    def extend_warm_up(self, server: str, until: float) -> None:
        """Move the end of a server's warm-up back, if it would end earlier.

        :param server: its id.
        :param until: the new end, in seconds on the event loop's clock.
        """
        record = self._records.get(server)
        if record is not None:
            record.warming_until = max(record.warming_until, until)

    def is_warming_up(self, server: str, now: float) -> bool:
        """Return whether a server is in its warm-up, when its request rate is limited.

        :param server: its id.
        :param now: seconds on the event loop's clock.
        """
        record = self._records.get(server)
        return record is not None and now < record.warming_until
