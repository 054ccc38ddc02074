"""Table of the registered backend servers, which tolerates expired registrations."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.fleet.model import Server

LEAVING_MARK_LIFETIME_S = 120.0
"""How long a mark outlives the registration of its server, which may come back."""
LEAVING_REPORT_S = 10.0
"""How long a new mark is passed on to other hosts."""
MAX_LEAVING_REPORTS = 32
"""Maximum number of marks in one message."""
DROPPED_S = 10.0
"""A server whose address responded for another one is tried again after this time, if
it is still registered there."""
REMOVAL_MEMORY_S = 60.0
"""How long a removed process is remembered, so that an older copy does not bring it
back."""


@dataclass(frozen=True, slots=True)
class RemovedProcess:
    """A server process whose registration was removed.

    :param started_ms: Unix time of its start in milliseconds.
    :param removed_at: seconds on the event loop's clock.
    """

    started_ms: int
    removed_at: float


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """A server process that said that it leaves.

    :param started_ms: Unix time of its start in milliseconds.
    :param marked_at: when this host learned of it, in seconds on the event loop's
        clock.
    """

    started_ms: int
    marked_at: float


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

    A removal takes effect at once, unless the registration may have expired in an
    outage of the store. Then the server stays in use until it could register again.
    """

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}
        self._leaving: dict[str, LeavingMark] = {}
        self._removed: dict[str, RemovedProcess] = {}
        self._dropped_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, server: str) -> ServerRecord | None:
        """Return the record of a server, or None if it is not registered.

        :param server: its id.
        """
        return self._records.get(server)

    def is_registered(self, server: str, started_ms: int) -> bool:
        """Return whether a server is registered, and as the same process.

        :param server: its id.
        :param started_ms: Unix time of the start of the process in milliseconds.
        """
        record = self._records.get(server)
        return record is not None and record.server.started_ms == started_ms

    def has_left(self, server: str, started_ms: int) -> bool:
        """Return whether a process of a server is leaving, or is removed.

        One whose registration may have expired in an outage is not.

        :param server: its id.
        :param started_ms: Unix time of the start of the process in milliseconds.
        """
        mark = self._leaving.get(server)
        if mark is not None and mark.started_ms >= started_ms:
            return True
        record = self._records.get(server)
        if record is not None and record.server.started_ms == started_ms:
            return record.server.is_draining
        removed = self._removed.get(server)
        return removed is not None and removed.started_ms >= started_ms

    def usable(self) -> list[Server]:
        """Return the servers that neither drain nor said that they leave."""
        return [
            record.server
            for record in self._records.values()
            if self._takes_requests(record)
        ]

    def is_usable(self, server: Server) -> bool:
        """Return whether a process of a server neither drains nor left."""
        record = self._records.get(server.id)
        if record is None or record.server.started_ms != server.started_ms:
            return False
        return self._takes_requests(record)

    def _takes_requests(self, record: ServerRecord) -> bool:
        return not record.server.is_draining and not self.is_leaving(record.server)

    def services(self) -> set[str]:
        """Return the names of the services that have registered servers."""
        return {record.server.service for record in self._records.values()}

    def is_leaving(self, server: Server) -> bool:
        """Return whether this process of a server said that it leaves."""
        mark = self._leaving.get(server.id)
        return mark is not None and mark.started_ms >= server.started_ms

    def mark_leaving(self, server: str, started_ms: int, now: float) -> bool:
        """Record that a process of a server said that it leaves.

        The mark holds whatever the process registers later, until another one starts.

        :param server: its id.
        :param started_ms: Unix time of the start of the process in milliseconds.
        :returns: whether that was unknown.
        """
        mark = self._leaving.get(server)
        if mark is not None and mark.started_ms >= started_ms:
            return False
        self._leaving[server] = LeavingMark(started_ms, now)
        return True

    def new_leaving_marks(self, now: float) -> list[tuple[str, int]]:
        """Return the marks to pass on, the newest first.

        :returns: pairs of a server's id and the start of its process in milliseconds.
        """
        recent = [
            (mark.marked_at, name, mark.started_ms)
            for name, mark in self._leaving.items()
            if now - mark.marked_at <= LEAVING_REPORT_S
        ]
        recent.sort(reverse=True)
        return [(name, started_ms) for _, name, started_ms in recent][
            :MAX_LEAVING_REPORTS
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

    def remove(
        self, servers: Iterable[str], now: float, keep_until: float | None = None
    ) -> None:
        """Remove servers, or keep them in use for a while without a registration.

        Draining servers are removed at once.

        :param servers: their ids.
        :param now: seconds on the event loop's clock.
        :param keep_until: when they are removed unless they register again, on the same
            clock; None if their registrations cannot have expired in an outage.
        """
        for name in servers:
            record = self._records.get(name)
            if record is None:
                continue
            self._removed[name] = RemovedProcess(record.server.started_ms, now)
            if keep_until is None or record.server.is_draining:
                del self._records[name]
            elif record.remove_at is None:
                record.remove_at = keep_until

    def removal_age_s(self, server: str, now: float) -> float | None:
        """Return how long ago this host learned that a registration was removed.

        :param server: its id.
        :param now: seconds on the event loop's clock.
        :returns: seconds, or None unless the server is still in use without one.
        """
        record = self._records.get(server)
        if record is None or record.remove_at is None:
            return None
        return now - self._removed[server].removed_at

    def would_regress(self, server: Server) -> bool:
        """Return whether a registration is older than what is known of the server.

        The same process does not come back after it drained or was removed.
        """
        record = self._records.get(server.id)
        if record is not None:
            known = record.server
            is_undone = known.is_draining and not server.is_draining
            if server.started_ms == known.started_ms:
                return is_undone
            return server.started_ms < known.started_ms
        removed = self._removed.get(server.id)
        return removed is not None and server.started_ms <= removed.started_ms

    def forget_removed(self) -> None:
        """Forget which processes were removed, so that they may come back."""
        self._removed.clear()

    def discard(self, server: str) -> None:
        """Remove a server at once.

        :param server: its id.
        """
        self._records.pop(server, None)

    def drop(self, server: Server, now: float) -> bool:
        """Remove a server for a while since another process responds at its address.

        :param now: seconds on the event loop's clock.
        :returns: whether it was removed. It is not if it has registered as another
            process or at another address since the request was sent.
        """
        record = self._records.get(server.id)
        if record is None or record.server.started_ms != server.started_ms:
            return False
        if record.server.address != server.address:
            return False
        self.discard(server.id)
        self._dropped_until[server.id] = now + DROPPED_S
        return True

    def take_returning(self, now: float) -> list[str]:
        """Return the ids of dropped servers that may be tried again, once each.

        :param now: seconds on the event loop's clock.
        """
        due = [name for name, until in self._dropped_until.items() if until <= now]
        for name in due:
            del self._dropped_until[name]
        return [name for name in due if name not in self._records]

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
        self._remove_old_marks(now)
        return expired

    def _remove_old_marks(self, now: float) -> None:
        for name, mark in list(self._leaving.items()):
            is_old = now - mark.marked_at > LEAVING_MARK_LIFETIME_S
            if is_old and name not in self._records:
                del self._leaving[name]
        for name, removed in list(self._removed.items()):
            if now - removed.removed_at > REMOVAL_MEMORY_S:
                del self._removed[name]

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
