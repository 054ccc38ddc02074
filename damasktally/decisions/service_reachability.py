"""Conclude from a host's own connections which services it reaches no servers of.

A host may lose its links to all servers while callers, the store and other hosts still
reach it. One failed server says nothing of that. Several in a row, with no answer or
connection of any other server of the service in between, do.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

MIN_FAILED_SERVERS = 4
"""Servers that have to fail in a row, or all servers of a smaller service."""
MIN_SILENCE_S = 0.3
"""A service that was reached more recently than this still counts as reachable."""
SUSPICION_DELAY_S = 0.15
"""A failure is worth a connection attempt this long after the last success."""
MIN_RESPONSE_GAP_S = 0.5
"""Requests that wait are worth a connection attempt if no server sent anything for
this long: a silent connection shows no error. It doubles until a server answers."""
MIN_HOLD_S = 0.5
MAX_HOLD_S = 4.0
"""Bounds of the time for which servers have to be reached before a service counts as
reachable again. It doubles with each loss that soon follows a return."""
FLAP_MEMORY_S = 10.0
"""A loss this soon after a return lengthens the next hold."""


@dataclass(slots=True)
class _ServiceRecord:
    """What the connections to the servers of one service showed.

    Times are in seconds on the event loop's clock.

    :param failed_servers: servers that failed since the last success of any.
    :param reached_at: when a server last answered or accepted a connection.
    :param waiting_count: requests that were sent and have not ended yet.
    :param waiting_since: when the first of them was sent.
    :param response_gap_s: silence after which a connection attempt is due.
    :param reached_again_since: since when servers are reached again, or ``inf``.
    :param regained_at: when the service last became reachable again.
    """

    is_reachable: bool = True
    failed_servers: set[str] = field(default_factory=set)
    reached_at: float = -inf
    waiting_count: int = 0
    waiting_since: float = -inf
    response_gap_s: float = MIN_RESPONSE_GAP_S
    reached_again_since: float = inf
    regained_at: float = -inf
    hold_s: float = MIN_HOLD_S


class ServiceReachability:
    """Reachability of each service, by the results of requests and connections.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._records: dict[str, _ServiceRecord] = {}

    def record_sent(self, service: str, now: float) -> None:
        """Record that a request is being sent to a server of a service."""
        record = self._records.setdefault(service, _ServiceRecord())
        if record.waiting_count == 0:
            record.waiting_since = now
        record.waiting_count += 1

    def record_ended(self, service: str) -> None:
        """Record that a request to a server of a service ended, however it did."""
        record = self._records.get(service)
        if record is not None and record.waiting_count > 0:
            record.waiting_count -= 1

    def record_answered(self, service: str, now: float) -> bool:
        """Record that a server of a service answered a request.

        :returns: whether the service became reachable again.
        """
        record = self._records.setdefault(service, _ServiceRecord())
        record.response_gap_s = MIN_RESPONSE_GAP_S
        return self._record_reached(record, now)

    def record_connected(self, service: str, now: float) -> bool:
        """Record that a server accepted a connection that no request waited for.

        :returns: whether the service became reachable again.
        """
        record = self._records.setdefault(service, _ServiceRecord())
        record.response_gap_s *= 2
        return self._record_reached(record, now)

    def _record_reached(self, record: _ServiceRecord, now: float) -> bool:
        record.failed_servers.clear()
        record.reached_at = now
        if record.is_reachable:
            return False
        record.reached_again_since = min(record.reached_again_since, now)
        if now - record.reached_again_since < record.hold_s:
            return False
        record.is_reachable = True
        record.regained_at = now
        return True

    def record_failure(
        self, service: str, server: str, server_count: int, now: float
    ) -> bool:
        """Record a connection that was lost or could not be established.

        :param server_count: number of servers of the service.
        :returns: whether the service became unreachable.
        """
        record = self._records.setdefault(service, _ServiceRecord())
        record.failed_servers.add(server)
        if len(record.failed_servers) < min(MIN_FAILED_SERVERS, server_count):
            return False
        if now - record.reached_at < MIN_SILENCE_S:
            return False
        record.reached_again_since = inf
        if not record.is_reachable:
            return False
        record.is_reachable = False
        is_flapping = now - record.regained_at < FLAP_MEMORY_S
        record.hold_s = (
            min(2 * record.hold_s, MAX_HOLD_S) if is_flapping else MIN_HOLD_S
        )
        return True

    def is_reachable(self, service: str) -> bool:
        """Return whether some server of a service is assumed to be reachable."""
        record = self._records.get(service)
        return record is None or record.is_reachable

    def is_probe_due(self, service: str, now: float) -> bool:
        """Return whether a connection attempt would tell more than is known."""
        record = self._records.get(service)
        if record is None:
            return False
        if not record.is_reachable:
            return True
        silence_s = now - record.reached_at
        if record.failed_servers and silence_s >= SUSPICION_DELAY_S:
            return True
        waiting_s = now - max(record.waiting_since, record.reached_at)
        return record.waiting_count > 0 and waiting_s >= record.response_gap_s

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the sorted names of the services of which no server is reached."""
        records = self._records.items()
        return tuple(sorted(name for name, item in records if not item.is_reachable))

    def services(self) -> list[str]:
        """Return the names of the services to which requests were sent."""
        return list(self._records)

    def was_regained_within(self, service: str, seconds: float, now: float) -> bool:
        """Return whether a service became reachable again so recently."""
        record = self._records.get(service)
        return record is not None and now - record.regained_at <= seconds

    def keep_only(self, services: Iterable[str]) -> None:
        """Remove the services that have no servers any more."""
        known = set(services)
        for name in [name for name in self._records if name not in known]:
            del self._records[name]
