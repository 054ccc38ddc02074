"""Keep what the relays of other data centres tell of their hosts."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from damasktally.fleet.members import FORGOTTEN_S, HEARTBEAT_TIMEOUT_S
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
        self._chosen: dict[str, str] = {}

    def apply_summary(self, summary: RelaySummary, now: float) -> bool:
        """Take a summary, unless a newer one of the same relay came before.

        :returns: whether it is the first one of its relay.
        """
        relays = self._records.setdefault(summary.scope, {})
        held = relays.get(summary.relay)
        same_run = held is not None and summary.started_ms == held.identity[1]
        if held is not None and not _is_newer(summary, held.summary):
            return False
        cells, demand, admitted = (
            summary.data_centre_hosts,
            summary.demand,
            summary.admitted,
        )
        if same_run:
            cells = held.data_centre_hosts if cells is None else cells
            if not summary.is_complete:
                demand = {**held.demand, **demand}
                admitted = {**held.admitted, **admitted}
        revisions = revisions_by_topic(summary.revisions)
        relays[summary.relay] = SummaryRecord(
            summary, cells or [], demand, admitted, now, revisions
        )
        return held is None

    def primary(self, part: str, now: float) -> SummaryRecord | None:
        """Return the record of a part that counts, which may be silent by now."""
        relays = self._records.get(part)
        if not relays:
            return None
        chosen = relays.get(self._chosen.get(part, ""))
        if chosen is None or now - chosen.received_at > HEARTBEAT_TIMEOUT_S:
            chosen = max(relays.values(), key=lambda record: record.received_at)
            self._chosen[part] = chosen.summary.relay
        return chosen

    def standbys(self, part: str) -> Iterator[SummaryRecord]:
        """Return the records of a part that do not count at present."""
        chosen = self._chosen.get(part)
        relays = self._records.get(part, {})
        return (record for name, record in relays.items() if name != chosen)

    def data_centres(self) -> list[str]:
        """Return the data centres that some relay told of."""
        return [part for part in self._records if part != WHOLE_FLEET]

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
        for part, relays in list(self._records.items()):
            for name in [
                n for n, r in relays.items() if now - r.received_at > FORGOTTEN_S
            ]:
                del relays[name]
            if not relays:
                del self._records[part]


def _is_newer(summary: RelaySummary, held: RelaySummary) -> bool:
    return (summary.started_ms, summary.sequence) > (held.started_ms, held.sequence)


def members_in_data_centre(record: SummaryRecord, data_centre: str) -> list[Member]:
    """Return the hosts of one data centre that a relay named."""
    cells = [
        cell for cell in record.data_centre_hosts if cell.data_centre == data_centre
    ]
    return list(listed_members(cells, ready_only=False))


def listed_members(
    cells: Iterable[DataCentreHosts], ready_only: bool = True
) -> Iterator[Member]:
    """Return the hosts that are named.

    :param ready_only: leave out those that callers may not use.
    """
    for cell in cells:
        for note in cell.hosts:
            if note.ready or not ready_only:
                yield Member(
                    host=note.host,
                    started_ms=note.started_ms,
                    region=cell.region,
                    data_centre=cell.data_centre,
                    caller_address=note.caller_address,
                    peer_address=(note.peer_host, note.peer_port),
                    capacity=note.capacity,
                )
