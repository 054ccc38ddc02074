"""Build the heartbeats and summaries that this host sends to other hosts.

A heartbeat describes the sender. A summary, which only relays build, describes either
all hosts of the relay's data centre or the whole fleet. Both carry totals of admitted
requests by customer, from which the receivers compute their shares of each limit.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import msgspec

from damasktally.decisions.counter_totals import CounterTotals
from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.load_reports import LoadOutbox, LoadReports
from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.server_limits import ServerLimits
from damasktally.decisions.surges import SurgeDetector
from damasktally.entry.demand_sums import DemandSums, largest_by_customer, rounded
from damasktally.entry.host_listings import HostListings
from damasktally.entry.outbox import Outbox, OwnState
from damasktally.entry.relay_takeover import RelayTakeover
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, Heartbeat, MemberRecord
from damasktally.fleet.model import Member
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    DataCentreHosts,
    RelaySummary,
    SummaryTable,
)
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView

SUMMARIES_PER_HOST_LIST = 6
"""One summary in this many lists the hosts even if the list did not change."""


class FleetMessageBuilder:
    """Build heartbeats and summaries.

    :param own: this host.
    :param topology: lists the other hosts of the data centre and the relays.
    :param summaries: the last summaries of relays, of other data centres or the fleet.
    :param view: supplies the revision of each topic, and the servers that leave.
    :param quotas: supplies this host's demand and admitted counts by customer.
    :param heartbeat_history: records the counts that each heartbeat carried.
    :param server_limits: supplies the rate limits that servers named.
    :param load_reports: supplies the loads of busy servers.
    :param crash_suspects: supplies the requests under which servers ended.
    :param get_own_state: returns the current state of this host.
    """

    def __init__(
        self,
        own: Member,
        topology: FleetTopology,
        summaries: SummaryTable,
        view: FleetView,
        quotas: CustomerQuotas,
        heartbeat_history: HeartbeatHistory,
        server_limits: ServerLimits,
        load_reports: LoadReports,
        crash_suspects: CrashSuspects,
        get_own_state: Callable[[], OwnState],
    ) -> None:
        self._own = own
        self._topology = topology
        self._summaries = summaries
        self._view = view
        self._quotas = quotas
        self._server_limits = server_limits
        self._load_reports = load_reports
        self._crash_suspects = crash_suspects
        self._get_own_state = get_own_state
        self._heartbeat_history = heartbeat_history
        self._data_centre_totals = CounterTotals()
        self._fleet_totals = CounterTotals()
        self._data_centre_surges = SurgeDetector()
        self._fleet_surges = SurgeDetector()
        self._heartbeat_outbox = Outbox.empty()
        self._data_centre_outbox = Outbox.empty()
        self._fleet_outbox = Outbox.empty()
        self._added_sequences: dict[tuple[str, int], int] = {}
        self._local_demand = DemandSums()
        self._fleet_demand = DemandSums()
        self._listings = HostListings(own)
        self._takeover = RelayTakeover(own.data_centre, summaries)

    def update_totals(self, now: float) -> None:
        """Add the requests admitted since the last call to the totals to be sent.

        The totals of the data centre cover its hosts; those of the fleet also cover
        the primary relay of each other data centre. The counts of a standby relay only
        set its baseline, so that it can take over without counting requests twice.

        :param now: time of the event loop in seconds.
        """
        own_identity = (self._own.host, self._own.started_ms)
        self._add_local_counts(own_identity, self._quotas.admitted())
        local_identities = {own_identity}
        for record in self._topology.local_records():
            self._add_local_counts(record.identity, record.admitted)
            local_identities.add(record.identity)
        self._data_centre_totals.keep_only(local_identities)
        self._added_sequences = {
            identity: sequence
            for identity, sequence in self._added_sequences.items()
            if identity in local_identities
        }
        identities = set()
        for data_centre in self._other_data_centres():
            primary = self._summaries.primary(data_centre, now)
            self._fleet_totals.add(primary.identity, primary.admitted)
            identities.add(primary.identity)
            for standby in self._summaries.standbys(data_centre):
                self._fleet_totals.set_baseline(standby.identity, standby.admitted)
                identities.add(standby.identity)
        self._fleet_totals.keep_only(identities)

    def _add_local_counts(
        self, identity: tuple[str, int], counts: Mapping[str, int]
    ) -> None:
        """Add all counts of a host of this data centre to both totals."""
        growth = self._data_centre_totals.add(identity, counts)
        self._fleet_totals.add_growth(growth)

    def add_host_counts(self, heartbeat: Heartbeat, now: float) -> bool:
        """Add the counts of a heartbeat that was just received.

        A heartbeat that follows the last one carries all counts that changed.

        :param heartbeat: ignored unless its sender is in this data centre and has sent
            no newer one.
        :param now: time of the event loop in seconds.
        :returns: whether the growth is worth a summary to other data centres at once.
        """
        record = self._topology.local_record(heartbeat.host)
        if record is None or record.sequence != heartbeat.sequence:
            return False
        identity = record.identity
        if identity != (heartbeat.host, heartbeat.started_ms):
            return False
        if self._added_sequences.get(identity) == heartbeat.sequence - 1:
            totals = self._data_centre_totals
            growth = totals.add_changes(identity, heartbeat.admitted)
            totals.mark_added(identity, record.admitted)
            self._fleet_totals.add_growth(growth)
        else:
            self._add_local_counts(identity, record.admitted)
        self._added_sequences[identity] = heartbeat.sequence
        return self._data_centre_surges.is_urgent(
            heartbeat.admitted,
            self._data_centre_totals.totals,
            self._quotas.rates(),
            now,
        )

    def add_data_centre_counts(
        self, data_centre: str, admitted: Mapping[str, int], now: float
    ) -> bool:
        """Add the counts of a relay's summary that was just received.

        :param data_centre: the data centre that the summary describes.
        :param admitted: requests admitted there, by customer.
        :param now: time of the event loop in seconds.
        :returns: whether the growth is worth a summary to the hosts of this data
            centre at once.
        """
        primary = self._summaries.primary(data_centre, now)
        self._fleet_totals.add(primary.identity, primary.admitted)
        rates = self._quotas.rates()
        return self._fleet_surges.is_urgent(
            admitted, self._fleet_totals.totals, rates, now
        )

    def _other_data_centres(self) -> list[str]:
        own = self._own.data_centre
        return [
            data_centre
            for data_centre in self._summaries.data_centres()
            if data_centre != own
        ]

    def build_heartbeat(self, now: float, is_complete: bool = False) -> Heartbeat:
        """Build the next heartbeat of this host and record its counts.

        :param now: time of the event loop in seconds.
        :param is_complete: include every customer, for a receiver that has none of
            the earlier heartbeats; otherwise mostly those that changed.
        """
        own, state, outbox = self._own, self._get_own_state(), self._heartbeat_outbox
        outbox.sequence += 1
        own_demand, own_admitted = self._quotas.demand(), self._quotas.admitted()
        self._heartbeat_history.record(outbox.sequence, own_demand, own_admitted)
        loads = LoadOutbox() if is_complete else outbox.loads
        demand, is_demand_complete = outbox.demand.select(own_demand, is_complete)
        admitted, is_admitted_complete = outbox.admitted.select(
            own_admitted, is_complete
        )
        return Heartbeat(
            host=own.host,
            started_ms=own.started_ms,
            region=own.region,
            data_centre=own.data_centre,
            caller_address=own.caller_address,
            peer_host=own.peer_address[0],
            peer_port=own.peer_address[1],
            sequence=outbox.sequence,
            ready=state.ready,
            stopped=state.stopped,
            revisions=self._revisions(),
            demand=demand,
            admitted=admitted,
            is_complete=is_demand_complete and is_admitted_complete,
            capacity=own.capacity,
            store_age_s=round(state.store_age_s, 2),
            fleet_size=self._topology.known_fleet_size(now),
            server_limits=tuple(self._server_limits.reports(ReportScope.OWN, now)),
            crash_reports=tuple(self._crash_suspects.reports(now)),
            leaving_servers=tuple(self._view.servers.new_leaving_marks(now)),
            forwarding_port=own.forwarding_port,
            unreachable_services=state.unreachable_services,
            server_loads=self._load_reports.take(loads, ReportScope.OWN, now),
            lease_port=own.lease_port,
            has_lost_store=state.has_lost_store,
            is_store_unavailable=state.is_store_unavailable,
        )

    def build_data_centre_summary(self, now: float) -> RelaySummary:
        """Build the summary of this data centre for the relays of the others.

        :param now: time of the event loop in seconds.
        """
        known = self._topology.local_records()
        live = self._topology.live_local_records(now)
        demand = rounded(self._sum_local_demand(live))
        self._data_centre_surges.record_sent(
            self._data_centre_totals.totals, demand, now
        )
        return self._build_summary(
            self._data_centre_outbox,
            self._own.data_centre,
            [self._list_local_hosts(now)],
            (1 + len(live), len(known) - len(live)),
            (demand, self._data_centre_totals.totals),
            ReportScope.DATA_CENTRE,
            now,
        )

    def build_fleet_summary(self, now: float) -> RelaySummary:
        """Build the summary of the whole fleet for the hosts of this data centre.

        :param now: time of the event loop in seconds.
        """
        summary, demand = self._summarise_fleet(self._fleet_outbox, now)
        self._fleet_surges.record_sent(self._fleet_totals.totals, demand, now)
        return summary

    def build_bootstrap_summary(self, now: float) -> RelaySummary | None:
        """Build the summary from which a new host elsewhere finds its data centre.

        A relay builds it; any other host forwards the last one that it received. It
        goes to one host only and has an outbox of its own, so that the regular
        receivers miss none of the changed entries.

        :param now: time of the event loop in seconds.
        :returns: a complete summary of the fleet, or ``None`` if this host has none.
        """
        if self._topology.is_relay(now):
            outbox = Outbox.empty()
            outbox.sequence = self._fleet_outbox.sequence
            return self._summarise_fleet(outbox, now)[0]
        record = self._summaries.whole_fleet(now)
        if record is None:
            return None
        return msgspec.structs.replace(
            record.summary,
            data_centre_hosts=record.data_centre_hosts,
            demand=dict(record.demand),
            admitted=dict(record.admitted),
            is_complete=True,
            server_loads=(),
        )

    def _summarise_fleet(
        self, outbox: Outbox, now: float
    ) -> tuple[RelaySummary, Mapping[str, float]]:
        """Return the next summary of the fleet, and the demand of every customer."""
        known = self._topology.local_records()
        live = self._topology.live_local_records(now)
        data_centre_hosts = [self._list_local_hosts(now)]
        demands = []
        live_count, silent_count = 1 + len(live), len(known) - len(live)
        for data_centre in self._other_data_centres():
            relayed = self._summaries.primary(data_centre, now)
            if now - relayed.received_at > HEARTBEAT_TIMEOUT_S:
                silent_count += relayed.host_count
                continue
            live_count += relayed.summary.live_host_count
            silent_count += relayed.summary.silent_host_count
            demands.append(relayed.demand)
            data_centre_hosts += [
                self._listings.truncate(hosts) for hosts in relayed.data_centre_hosts
            ]
        local_demand = self._sum_local_demand(live)
        demand = rounded(self._fleet_demand.update(demands, local_demand))
        self._takeover.record_summary(now)
        earlier = self._takeover.earlier_record(now)
        if earlier is not None:
            data_centre_hosts += self._takeover.missing_data_centres(earlier)
            earlier_live_count = earlier.summary.live_host_count
            live_count = max(live_count, earlier_live_count - silent_count)
            demand = largest_by_customer(demand, earlier.demand)
        summary = self._build_summary(
            outbox,
            WHOLE_FLEET,
            data_centre_hosts,
            (live_count, silent_count),
            (demand, self._fleet_totals.totals),
            ReportScope.FLEET,
            now,
            {record.member.host: record.sequence for record in live},
        )
        return summary, demand

    def _list_local_hosts(self, now: float) -> DataCentreHosts:
        state = self._get_own_state()
        return self._listings.list_local(
            state.ready,
            state.unreachable_services,
            self._topology.live_local_records(now),
        )

    def _sum_local_demand(self, live: list[MemberRecord]) -> Mapping[str, float]:
        """Return the demand of each customer at the live hosts of this data centre."""
        return self._local_demand.update(
            [self._quotas.demand(), *(record.demand for record in live)]
        )

    def _build_summary(
        self,
        outbox: Outbox,
        scope: str,
        data_centre_hosts: list[DataCentreHosts],
        host_counts: tuple[int, int],
        counts: tuple[Mapping[str, float], Mapping[str, int]],
        report_scope: ReportScope,
        now: float,
        included_heartbeats: Mapping[str, int] = MappingProxyType({}),
    ) -> RelaySummary:
        """Build the next summary of an outbox.

        :param host_counts: numbers of live and of silent hosts.
        :param counts: demand and total of admitted requests, each by customer.
        :param report_scope: the widest scope of the servers' reports that it carries.
        :param included_heartbeats: number of each host's last included heartbeat.
        """
        outbox.sequence += 1
        lists_hosts = (
            outbox.sequence % SUMMARIES_PER_HOST_LIST == 0
            or data_centre_hosts != outbox.last_hosts
        )
        outbox.last_hosts = data_centre_hosts
        demand, is_demand_complete = outbox.demand.select(counts[0], False)
        admitted, is_admitted_complete = outbox.admitted.select(counts[1], False)
        own, state = self._own, self._get_own_state()
        return RelaySummary(
            relay=own.host,
            started_ms=own.started_ms,
            sequence=outbox.sequence,
            peer_host=own.peer_address[0],
            peer_port=own.peer_address[1],
            scope=scope,
            data_centre_hosts=data_centre_hosts if lists_hosts else None,
            live_host_count=host_counts[0],
            silent_host_count=host_counts[1],
            revisions=self._revisions(),
            demand=demand,
            admitted=admitted,
            is_complete=is_demand_complete and is_admitted_complete,
            store_age_s=round(state.store_age_s, 2),
            included_heartbeats=dict(included_heartbeats),
            server_limits=tuple(self._server_limits.reports(report_scope, now)),
            crash_reports=tuple(self._crash_suspects.reports(now)),
            leaving_servers=tuple(self._view.servers.new_leaving_marks(now)),
            server_loads=self._load_reports.take(outbox.loads, report_scope, now),
            has_lost_store=state.has_lost_store,
            is_store_unavailable=state.is_store_unavailable,
        )

    def _revisions(self) -> tuple[int, ...]:
        return tuple(self._view.revisions[topic] for topic in Topic)
