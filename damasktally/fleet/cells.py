"""Keep what the relays of other data centres tell of their hosts."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from damasktally.fleet.members import FORGOTTEN_S, SILENT_S
from damasktally.fleet.model import Member
from damasktally.fleet.topics import Topic, by_topic


class HostNote(msgspec.Struct, frozen=True, array_like=True):
    """Describe one host of a data centre in few bytes."""

    host: str
    started_ms: int
    caller_address: str
    peer_host: str
    peer_port: int
    ready: bool
    capacity: float


class CellNote(msgspec.Struct, frozen=True, array_like=True):
    """Name hosts of one data centre that are alive, the most capable first."""

    region: str
    data_centre: str
    hosts: list[HostNote]


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Tell what a relay knows of a part of the fleet.

    Fields are told apart by their place; new ones are added at the end, with a default.

    :param part: the data centre that it describes, or :data:`WHOLE_FLEET`.
    :param cells: hosts that are alive; nothing if they are as before.
    :param host_count: hosts that are alive; it may be more than are named.
    :param unheard: hosts that are known and silent.
    :param revisions: revision of each topic at the relay, in the order of
        :class:`~damasktally.fleet.topics.Topic`.
    :param admitted: requests of each customer admitted by these hosts, as a total
        that the relay has added up since its start.
    :param demand: requests a second of each customer.
    :param whole: both name every customer; otherwise only those that changed.
    :param store_age_s: seconds since the relay reached the store.
    :param counted: for each host that tells the relay its counts, the number of the
        heartbeat that is included.
    """

    relay: str
    started_ms: int
    sequence: int
    peer_host: str
    peer_port: int
    part: str
    cells: list[CellNote] | None
    host_count: int
    unheard: int
    revisions: tuple[int, ...]
    demand: dict[str, float]
    admitted: dict[str, int]
    whole: bool
    store_age_s: float
    counted: dict[str, int]


WHOLE_FLEET = ""
"""Stands for all hosts, the receiver included."""


@dataclass(slots=True)
class PartRecord:
    """Hold the last summary of one relay, with what earlier ones told.

    :param heard: when it came.
    """

    summary: Summary
    cells: list[CellNote]
    demand: Mapping[str, float]
    admitted: Mapping[str, int]
    heard: float
    revisions: Mapping[Topic, int]

    @property
    def run(self) -> tuple[str, int]:
        """Name the relay's run."""
        return self.summary.relay, self.summary.started_ms

    @property
    def address(self) -> tuple[str, int]:
        """Return where the relay answers questions."""
        return self.summary.peer_host, self.summary.peer_port


class PartTable:
    """Apply summaries, and choose one relay for each part of the fleet.

    Two relays tell the same, so that counts are taken from one of them as long as it
    is heard.
    """

    def __init__(self) -> None:
        self._records: dict[str, dict[str, PartRecord]] = {}
        self._chosen: dict[str, str] = {}

    def hear(self, summary: Summary, now: float) -> bool:
        """Take a summary, unless a newer one of the same relay came before.

        :returns: whether it is the first one of its relay.
        """
        relays = self._records.setdefault(summary.part, {})
        held = relays.get(summary.relay)
        same_run = held is not None and summary.started_ms == held.run[1]
        if held is not None and not _is_newer(summary, held.summary):
            return False
        cells, demand, admitted = summary.cells, summary.demand, summary.admitted
        if same_run:
            cells = held.cells if cells is None else cells
            if not summary.whole:
                demand = {**held.demand, **demand}
                admitted = {**held.admitted, **admitted}
        revisions = by_topic(summary.revisions)
        relays[summary.relay] = PartRecord(
            summary, cells or [], demand, admitted, now, revisions
        )
        return held is None

    def current(self, part: str, now: float) -> PartRecord | None:
        """Return the record of a part that counts, which may be silent by now."""
        relays = self._records.get(part)
        if not relays:
            return None
        chosen = relays.get(self._chosen.get(part, ""))
        if chosen is None or now - chosen.heard > SILENT_S:
            chosen = max(relays.values(), key=lambda record: record.heard)
            self._chosen[part] = chosen.summary.relay
        return chosen

    def others(self, part: str) -> Iterator[PartRecord]:
        """Return the records of a part that do not count at present."""
        chosen = self._chosen.get(part)
        relays = self._records.get(part, {})
        return (record for name, record in relays.items() if name != chosen)

    def parts(self) -> list[str]:
        """Return the data centres that some relay told of."""
        return [part for part in self._records if part != WHOLE_FLEET]

    def fleet(self, now: float) -> PartRecord | None:
        """Return what a relay of this data centre tells of the whole fleet."""
        return self.current(WHOLE_FLEET, now)

    def heard(self, now: float) -> list[PartRecord]:
        """Return every record of a relay that is alive."""
        return [
            record
            for relays in self._records.values()
            for record in relays.values()
            if now - record.heard <= SILENT_S
        ]

    def forget_silent(self, now: float) -> None:
        """Forget relays that were silent for long."""
        for part, relays in list(self._records.items()):
            for name in [n for n, r in relays.items() if now - r.heard > FORGOTTEN_S]:
                del relays[name]
            if not relays:
                del self._records[part]


def _is_newer(summary: Summary, held: Summary) -> bool:
    return (summary.started_ms, summary.sequence) > (held.started_ms, held.sequence)


def hosts_of(record: PartRecord, data_centre: str) -> list[Member]:
    """Return the hosts of one data centre that a relay named."""
    cells = [cell for cell in record.cells if cell.data_centre == data_centre]
    return list(members_in(cells, ready_only=False))


def members_in(cells: Iterable[CellNote], ready_only: bool = True) -> Iterator[Member]:
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
