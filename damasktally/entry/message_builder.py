"""Put together what this host tells the others."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from damasktally.decisions.counter_totals import CounterTotals
from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.surges import SurgeDetector
from damasktally.entry.delta import DeltaSelector
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, Heartbeat
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    DataCentreHosts,
    HostSummary,
    RelaySummary,
    SummaryTable,
)
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView

SAME_REGION_HOST_LIMIT = 64
"""Hosts of each data centre of the same region that a host is told of."""
OTHER_REGION_HOST_LIMIT = 8
"""Hosts of each data centre of another region that a host is told of."""
MESSAGES_A_LISTING = 6
"""Every so many summaries name the hosts, although they are as before."""


@dataclass(frozen=True, slots=True)
class OwnState:
    """Hold what a heartbeat says of its sender.

    :param store_age_s: seconds since it reached the store.
    """

    ready: bool
    stopped: bool
    store_age_s: float


@dataclass(slots=True)
class _Outbox:
    """Hold what was last told to the receivers of one kind of message."""

    demand: DeltaSelector
    admitted: DeltaSelector
    sequence: int = 0
    listed: list[DataCentreHosts] | None = None

    @classmethod
    def empty(cls) -> "_Outbox":
        return cls(DeltaSelector(), DeltaSelector())


class FleetMessageBuilder:
    """Fill heartbeats and summaries.

    :param own: this host.
    :param shape: tells which hosts are relays.
    :param parts: what relays of other data centres told.
    :param counts: remembers what heartbeats said.
    :param describe: returns the state of this host.
    """

    def __init__(
        self,
        own: Member,
        topology: FleetTopology,
        summaries: SummaryTable,
        view: FleetView,
        quotas: CustomerQuotas,
        counts: HeartbeatHistory,
        describe: Callable[[], OwnState],
    ) -> None:
        self._own = own
        self._topology = topology
        self._summaries = summaries
        self._view = view
        self._quotas = quotas
        self._describe = describe
        self._counts = counts
        self._cell = CounterTotals()
        self._fleet = CounterTotals()
        self._cell_growth = SurgeDetector()
        self._fleet_growth = SurgeDetector()
        self._beats = _Outbox.empty()
        self._cells_out = _Outbox.empty()
        self._fleet_out = _Outbox.empty()

    def update_totals(self, now: float) -> None:
        """Add up what was admitted since the last call, to pass it on."""
        admitted = [((self._own.host, self._own.started_ms), self._quotas.admitted())]
        admitted += [
            (item.identity, item.admitted) for item in self._topology.local_records()
        ]
        runs = set()
        for run, counts in admitted:
            self._cell.add(run, counts)
            self._fleet.add(run, counts)
            runs.add(run)
        self._cell.keep_only(runs)
        for part in self._other_cells():
            counted = self._summaries.primary(part, now)
            self._fleet.add(counted.identity, counted.admitted)
            runs.add(counted.identity)
            for other in self._summaries.standbys(part):
                self._fleet.set_baseline(other.identity, other.admitted)
                runs.add(other.identity)
        self._fleet.keep_only(runs)

    def add_host_counts(self, host: str, admitted: Mapping[str, int]) -> bool:
        """Add up what a host near by just told.

        :returns: whether the other data centres should learn of it at once.
        """
        record = self._topology.local_record(host)
        if record is None:
            return False
        self._cell.add(record.identity, admitted)
        self._fleet.add(record.identity, admitted)
        rates = self._quotas.rates()
        return self._cell_growth.is_urgent(admitted, self._cell.totals, rates)

    def add_data_centre_counts(
        self, part: str, admitted: Mapping[str, int], now: float
    ) -> bool:
        """Add up what a relay of another data centre just told.

        :returns: whether the hosts near by should learn of it at once.
        """
        counted = self._summaries.primary(part, now)
        self._fleet.add(counted.identity, counted.admitted)
        rates = self._quotas.rates()
        return self._fleet_growth.is_urgent(admitted, self._fleet.totals, rates)

    def _other_cells(self) -> list[str]:
        own = self._own.data_centre
        return [part for part in self._summaries.data_centres() if part != own]

    def build_heartbeat(self, now: float, whole: bool = False) -> Heartbeat:
        """Return what this host says of itself.

        :param whole: name every customer, for hosts that heard nothing yet.
        """
        own, state, out = self._own, self._describe(), self._beats
        out.sequence += 1
        held_demand, held_admitted = self._quotas.demand(), self._quotas.admitted()
        self._counts.record(out.sequence, held_demand, held_admitted)
        demand, all_demand = out.demand.select(held_demand, whole)
        admitted, all_admitted = out.admitted.select(held_admitted, whole)
        return Heartbeat(
            host=own.host,
            started_ms=own.started_ms,
            region=own.region,
            data_centre=own.data_centre,
            caller_address=own.caller_address,
            peer_host=own.peer_address[0],
            peer_port=own.peer_address[1],
            sequence=out.sequence,
            ready=state.ready,
            stopped=state.stopped,
            revisions=self._revisions(),
            demand=demand,
            admitted=admitted,
            is_complete=all_demand and all_admitted,
            capacity=own.capacity,
            store_age_s=round(state.store_age_s, 2),
            fleet_size=self._topology.known_fleet_size(now),
        )

    def build_data_centre_summary(self, now: float) -> RelaySummary:
        """Return what this host tells other data centres of its own."""
        self._cell_growth.record_sent(self._cell.totals)
        near = self._topology.local_records()
        heard = self._topology.live_local_records(now)
        demand = _sum([self._quotas.demand(), *(record.demand for record in heard)])
        return self._summary(
            self._cells_out,
            self._own.data_centre,
            [self._own_cell(now)],
            (1 + len(heard), len(near) - len(heard)),
            (demand, self._cell.totals),
        )

    def build_fleet_summary(self, now: float) -> RelaySummary:
        """Return what this host tells the hosts of its data centre of the fleet."""
        self._fleet_growth.record_sent(self._fleet.totals)
        return self._describe_fleet(self._fleet_out, now)

    def build_bootstrap_summary(self, now: float) -> RelaySummary | None:
        """Return what lets a new host of another data centre find its neighbours.

        :returns: a summary of the whole fleet, or nothing when none is known.
        """
        if self._topology.is_relay(now):
            out = _Outbox.empty()
            out.sequence = self._fleet_out.sequence
            return self._describe_fleet(out, now)
        told = self._summaries.whole_fleet(now)
        if told is None:
            return None
        return msgspec.structs.replace(
            told.summary,
            data_centre_hosts=told.data_centre_hosts,
            demand=dict(told.demand),
            admitted=dict(told.admitted),
            is_complete=True,
        )

    def _describe_fleet(self, out: _Outbox, now: float) -> RelaySummary:
        near = self._topology.local_records()
        heard = self._topology.live_local_records(now)
        cells = [self._own_cell(now)]
        demands = [self._quotas.demand(), *(record.demand for record in heard)]
        hosts, unheard = 1 + len(heard), len(near) - len(heard)
        for name in self._other_cells():
            part = self._summaries.primary(name, now)
            if now - part.received_at > HEARTBEAT_TIMEOUT_S:
                unheard += part.summary.live_host_count + part.summary.silent_host_count
                continue
            hosts += part.summary.live_host_count
            unheard += part.summary.silent_host_count
            demands.append(part.demand)
            cells += [self._shortened(cell) for cell in part.data_centre_hosts]
        return self._summary(
            out,
            WHOLE_FLEET,
            cells,
            (hosts, unheard),
            (_sum(demands), self._fleet.totals),
            {record.member.host: record.sequence for record in heard},
        )

    def _own_cell(self, now: float) -> DataCentreHosts:
        own = self._own
        notes = [_note(own, self._describe().ready)]
        notes += [
            _note(record.member, record.ready)
            for record in self._topology.live_local_records(now)
        ]
        notes.sort(key=lambda note: (-note.capacity, note.host))
        return DataCentreHosts(
            own.region, own.data_centre, notes[:SAME_REGION_HOST_LIMIT]
        )

    def _shortened(self, cell: DataCentreHosts) -> DataCentreHosts:
        limit = (
            SAME_REGION_HOST_LIMIT
            if cell.region == self._own.region
            else OTHER_REGION_HOST_LIMIT
        )
        return DataCentreHosts(cell.region, cell.data_centre, cell.hosts[:limit])

    def _summary(
        self,
        out: _Outbox,
        part: str,
        cells: list[DataCentreHosts],
        hosts: tuple[int, int],
        counts: tuple[Mapping[str, float], Mapping[str, int]],
        counted: Mapping[str, int] = MappingProxyType({}),
    ) -> RelaySummary:
        out.sequence += 1
        listing = out.sequence % MESSAGES_A_LISTING == 0 or cells != out.listed
        out.listed = cells
        demand, all_demand = out.demand.select(counts[0], False)
        admitted, all_admitted = out.admitted.select(counts[1], False)
        own = self._own
        return RelaySummary(
            relay=own.host,
            started_ms=own.started_ms,
            sequence=out.sequence,
            peer_host=own.peer_address[0],
            peer_port=own.peer_address[1],
            scope=part,
            data_centre_hosts=cells if listing else None,
            live_host_count=hosts[0],
            silent_host_count=hosts[1],
            revisions=self._revisions(),
            demand=demand,
            admitted=admitted,
            is_complete=all_demand and all_admitted,
            store_age_s=round(self._describe().store_age_s, 2),
            included_heartbeats=dict(counted),
        )

    def _revisions(self) -> tuple[int, ...]:
        return tuple(self._view.revisions[topic] for topic in Topic)


def _note(member: Member, ready: bool) -> HostSummary:
    return HostSummary(
        member.host,
        member.started_ms,
        member.caller_address,
        *member.peer_address,
        ready,
        member.capacity,
    )


def _sum(parts: list[Mapping[str, float]]) -> dict[str, float]:
    found: dict[str, float] = {}
    for part in parts:
        for name, value in part.items():
            found[name] = found.get(name, 0.0) + value
    return {name: round(value, 2) for name, value in found.items()}
