"""Keep what the relays of other data centres tell of their hosts."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, REMOVAL_TIMEOUT_S
from damasktally.fleet.model import Member
from damasktally.fleet.topics import Topic, revisions_by_topic


class HostSummary(msgspec.Struct, frozen=True, array_like=True):
    """Describe one host of a data centre in few bytes."""

    host: str
    started_ms: int
    caller_address: str
    peer_host: str
    peer_port: int
    ready: bool
    capacity: float


class DataCentreHosts(msgspec.Struct, frozen=True, array_like=True):
    """Name hosts of one data centre that are alive, the most capable first."""

    region: str
    data_centre: str
    hosts: list[HostSummary]


class RelaySummary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Tell what a relay knows of a part of the fleet.

    Fields are told apart by their place; new ones are added at the end, with a default.

    :param scope: the data centre that it describes, or :data:`WHOLE_FLEET`.
    :param data_centre_hosts: hosts that are alive; nothing if they are as before.
    :param live_host_count: hosts that are alive; it may be more than are named.
    :param silent_host_count: hosts that are known and silent.
    :param revisions: revision of each topic at the relay, in the order of
        :class:`~damasktally.fleet.topics.Topic`.
    :param admitted: requests of each customer admitted by these hosts, as a total
        that the relay has added up since its start.
    :param demand: requests a second of each customer.
    :param is_complete: both name every customer; otherwise only those that changed.
    :param store_age_s: seconds since the relay reached the store.
    :param included_heartbeats: for each host that tells the relay its counts,
        the number of the
        heartbeat that is included.
    """

    relay: str
    started_ms: int
    sequence: int
    peer_host: str
    peer_port: int
    scope: str
    data_centre_hosts: list[DataCentreHosts] | None
    live_host_count: int
    silent_host_count: int
    revisions: tuple[int, ...]
    demand: dict[str, float]
    admitted: dict[str, int]
    is_complete: bool
    store_age_s: float
    included_heartbeats: dict[str, int]


WHOLE_FLEET = ""
"""Stands for all hosts, the receiver included."""


@dataclass(slots=True)
class SummaryRecord:
    """Hold the last summary of one relay, with what earlier ones told.

    :param received_at: when it came.
    """

    summary: RelaySummary
    data_centre_hosts: list[DataCentreHosts]
    demand: Mapping[str, float]
    admitted: Mapping[str, int]
    received_at: float
    revisions: Mapping[Topic, int]

    @property
    def identity(self) -> tuple[str, int]:
        """Name the relay's run."""
        return self.summary.relay, self.summary.started_ms

    @property
    def address(self) -> tuple[str, int]:
        """Return where the relay answers questions."""
        return self.summary.peer_host, self.summary.peer_port


class SummaryTable:
    """Apply summaries, and choose one relay for each part of the fleet.

    Two relays tell the same, so that counts are taken from one of them as long as it
    is heard.
    """

    def __init__(self) -> None:
        self._records: dict[str, dict[str, SummaryRecord]] = {}
        self._primary_relays: dict[str, str] = {}

    def apply_summary(self, summary: RelaySummary, now: float) -> bool:
        """Take a summary, unless a newer one of the same relay came before.

        :returns: whether it is the first one of its relay.
        """
        relays = self._records.setdefault(summary.scope, {})
        previous = relays.get(summary.relay)
        same_incarnation = (
            previous is not None and summary.started_ms == previous.identity[1]
        )
        if previous is not None and not _is_newer(summary, previous.summary):
            return False
        hosts, demand, admitted = (
            summary.data_centre_hosts,
            summary.demand,
            summary.admitted,
        )
        if same_incarnation:
            hosts = previous.data_centre_hosts if hosts is None else hosts
            if not summary.is_complete:
                demand = {**previous.demand, **demand}
                admitted = {**previous.admitted, **admitted}
        revisions = revisions_by_topic(summary.revisions)
        relays[summary.relay] = SummaryRecord(
            summary, hosts or [], demand, admitted, now, revisions
        )
        return previous is None

    def primary(self, scope: str, now: float) -> SummaryRecord | None:
        """Return the record of a part that counts, which may be silent by now."""
        relays = self._records.get(scope)
        if not relays:
            return None
        record = relays.get(self._primary_relays.get(scope, ""))
        if record is None or now - record.received_at > HEARTBEAT_TIMEOUT_S:
            record = max(relays.values(), key=lambda item: item.received_at)
            self._primary_relays[scope] = record.summary.relay
        return record

    def standbys(self, scope: str) -> Iterator[SummaryRecord]:
        """Return the records of a part that do not count at present."""
        primary_relay = self._primary_relays.get(scope)
        relays = self._records.get(scope, {})
        return (record for name, record in relays.items() if name != primary_relay)

    def data_centres(self) -> list[str]:
        """Return the data centres that some relay told of."""
        return [scope for scope in self._records if scope != WHOLE_FLEET]

    def whole_fleet(self, now: float) -> SummaryRecord | None:
        """Return what a relay of this data centre tells of the whole fleet."""
        return self.primary(WHOLE_FLEET, now)

    def live_records(self, now: float) -> list[SummaryRecord]:
        """Return every record of a relay that is alive."""
        return [
            record
            for relays in self._records.values()
            for record in relays.values()
            if now - record.received_at <= HEARTBEAT_TIMEOUT_S
        ]

    def remove_silent(self, now: float) -> None:
        """Forget relays that were silent for long."""
        for scope, relays in list(self._records.items()):
            for name in [
                n for n, r in relays.items() if now - r.received_at > REMOVAL_TIMEOUT_S
            ]:
                del relays[name]
            if not relays:
                del self._records[scope]


def _is_newer(summary: RelaySummary, previous: RelaySummary) -> bool:
    return (summary.started_ms, summary.sequence) > (
        previous.started_ms,
        previous.sequence,
    )


def members_in_data_centre(record: SummaryRecord, data_centre: str) -> list[Member]:
    """Return the hosts of one data centre that a relay named."""
    found = [
        item for item in record.data_centre_hosts if item.data_centre == data_centre
    ]
    return list(listed_members(found, ready_only=False))


def listed_members(
    data_centre_hosts: Iterable[DataCentreHosts], ready_only: bool = True
) -> Iterator[Member]:
    """Return the hosts that are named.

    :param ready_only: leave out those that callers may not use.
    """
    for item in data_centre_hosts:
        for summary in item.hosts:
            if summary.ready or not ready_only:
                yield Member(
                    host=summary.host,
                    started_ms=summary.started_ms,
                    region=item.region,
                    data_centre=item.data_centre,
                    caller_address=summary.caller_address,
                    peer_address=(summary.peer_host, summary.peer_port),
                    capacity=summary.capacity,
                )
