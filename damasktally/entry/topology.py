"""Work out the fleet's shape: how many hosts, which are relays, who is ready."""

from dataclasses import dataclass

from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import RELAYED_LAG_S, REPORT_LAG_S, QuotaReport
from damasktally.decisions.relays import (
    RelayCandidate,
    RelayState,
    choose_relays,
    has_live_relay,
    is_full_mesh,
)
from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, MemberRecord, MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    SummaryRecord,
    SummaryTable,
    listed_members,
    members_in_data_centre,
)

LISTED_FOR_S = 1.0
"""A host from the store's list counts as alive for so long without a heartbeat."""
KEPT_FOR_S = 0.2
"""The shape is worked out anew after this long."""

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Topology:
    at: float
    size: int
    evidence: int
    relays: tuple[Member, ...]


class FleetTopology:
    """Combine the hosts that are heard with what relays tell of the others.

    :param members: hosts that send heartbeats to this one, or that the store lists.
    :param parts: what relays told.
    :param counts: what this host told of itself.
    """

    def __init__(
        self, members: MemberTable, summaries: SummaryTable, counts: HeartbeatHistory
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._counts = counts
        self._own = members.own
        self._held: _Topology | None = None

    def _current(self, now: float) -> _Topology:
        held = self._held
        if held is None or not 0 <= now - held.at < KEPT_FOR_S:
            held = self._held = self._work_out(now)
        return held

    def _work_out(self, now: float) -> _Topology:
        cell = self._cell(now)
        found = [RelayCandidate(m.host, m.capacity) for m in cell.values()]
        relays = tuple(
            cell[host] for host in choose_relays(self._own.data_centre, found)
        )
        records = self._members.records()
        parts = self._parts_for(relays, now)
        told = sum(
            part.summary.live_host_count + part.summary.silent_host_count
            for part in parts
        )
        if self._own in relays:
            told += 1 + len(self.local_records())
        size = evidence = max(told, 1 + len(records))
        if not parts:
            # No relay told of the other data centres yet: take the word of peers.
            size = max([evidence, *(record.fleet_size for record in records)])
        return _Topology(now, size, evidence, relays)

    def _cell(self, now: float) -> dict[str, Member]:
        """Return the hosts of this data centre that are believed alive.

        Hosts that a relay named count until they are asked and stay silent.
        """
        records = {record.member.host: record for record in self.local_records()}
        alive = {
            host: record.member
            for host, record in records.items()
            if _alive(record, now)
        }
        told = self._summaries.whole_fleet(now)
        named = (
            members_in_data_centre(told, self._own.data_centre)
            if told is not None
            else []
        )
        for member in named:
            record = records.get(member.host)
            if record is None or not record.is_unresponsive(now):
                alive.setdefault(member.host, member)
        return {**alive, self._own.host: self._own}

    def invalidate(self) -> None:
        """Work the shape out anew at the next question."""
        self._held = None

    def fleet_size(self, now: float) -> int:
        """Return how many hosts there are, silent ones too."""
        return self._current(now).size

    def known_fleet_size(self, now: float) -> int:
        """Return how many hosts this one knows of, whatever its peers say."""
        return self._current(now).evidence

    def is_full_mesh(self, now: float) -> bool:
        """Tell whether every host hears every other."""
        return is_full_mesh(self.fleet_size(now))

    def local_records(self) -> list[MemberRecord]:
        """Return the other hosts of this data centre that are heard or listed."""
        own = self._own.data_centre
        records = self._members.records()
        return [record for record in records if record.member.data_centre == own]

    def live_local_records(self, now: float) -> list[MemberRecord]:
        """Return the other hosts of this data centre that are heard."""
        near = self.local_records()
        return [
            item
            for item in near
            if item.has_been_seen and now - item.last_seen_at <= HEARTBEAT_TIMEOUT_S
        ]

    def local_record(self, host: str) -> MemberRecord | None:
        """Return what is known of another host of this data centre."""
        record = self._members.get(host)
        near = self._own.data_centre
        if record is None or record.member.data_centre != near:
            return None
        return record

    def relays(self, now: float) -> tuple[Member, ...]:
        """Return the hosts that speak for this data centre, the first one first."""
        return self._current(now).relays

    def is_relay(self, now: float) -> bool:
        """Tell whether this host speaks for its data centre."""
        return self._own in self.relays(now)

    def local_relay_records(self, now: float) -> list[MemberRecord]:
        """Return the other relays of this data centre, as far as they were heard."""
        relays = {member.host for member in self.relays(now)}
        near = self.local_records()
        return [r for r in near if r.has_been_seen and r.member.host in relays]

    def should_follow_store(self, now: float) -> bool:
        """Tell whether this host is to follow the store itself."""
        return self.is_full_mesh(now) or self.is_relay(now)

    def has_store_following_relay(self, now: float) -> bool:
        """Tell whether some relay of this data centre follows the store."""
        return has_live_relay(
            RelayState(now - record.last_seen_at, record.store_age_s)
            for record in self.local_relay_records(now)
        )

    def ready_hosts(self, now: float) -> list[Member]:
        """Return the other hosts that callers may use."""
        heard = [item for item in self._members.live_records(now) if item.ready]
        if self.is_full_mesh(now):
            return [record.member for record in heard]
        found = []
        if self.is_relay(now):
            own = self._own.data_centre
            found = [item.member for item in heard if item.member.data_centre == own]
        for part in self._parts_for(self.relays(now), now):
            if now - part.received_at <= HEARTBEAT_TIMEOUT_S:
                found += listed_members(part.data_centre_hosts)
        return [member for member in found if member.host != self._own.host]

    def quota_reports(self, now: float) -> tuple[list[QuotaReport], int, float]:
        """Return what others admitted.

        :returns: the reports, how many hosts are not heard, and the counts' age in
            seconds.
        """
        if self.is_full_mesh(now):
            heard = self._members.live_records(now)
            unheard = len(self._members.records()) - len(heard)
            return [_direct_report(record) for record in heard], unheard, REPORT_LAG_S
        heard = self.live_local_records(now) if self.is_relay(now) else []
        reports = [_direct_report(record) for record in heard]
        for part in self._parts_for(self.relays(now), now):
            if now - part.received_at <= HEARTBEAT_TIMEOUT_S:
                reports += self._relayed_reports(part)
        heard_hosts = 1 + sum(
            report.host_count for report in reports if report.is_primary
        )
        return reports, max(0, self.fleet_size(now) - heard_hosts), RELAYED_LAG_S

    def _relayed_reports(self, part: SummaryRecord) -> list[QuotaReport]:
        """Return a part's counts, and those of its other relay to switch to."""
        standby = self._summaries.standbys(part.summary.scope)
        found = [self._relayed_report(part, True)]
        found += [self._relayed_report(other, False) for other in standby]
        return [report for report in found if report is not None]

    def _relayed_report(self, part: SummaryRecord, counted: bool) -> QuotaReport | None:
        summary = part.summary
        if summary.scope != WHOLE_FLEET:
            run = (f"{summary.scope}|{summary.relay}", summary.started_ms)
            return QuotaReport(
                run, part.admitted, part.demand, summary.live_host_count, counted
            )
        included = summary.included_heartbeats.get(self._own.host)
        others = self._counts.subtract_own(included, part.demand, part.admitted)
        if others is None:
            return None
        # Sums with and without this host's part are no continuation of each other.
        run = (f"{summary.relay}|{included is not None}", summary.started_ms)
        demand, admitted = others
        hosts = max(0, summary.live_host_count - 1)
        return QuotaReport(run, admitted, demand, hosts, counted)

    def warmup_senders(self, data_centre: str, now: float) -> list[str]:
        """Return the hosts among which a cold server's requests are divided.

        All of them must agree on it, so that in a large fleet only the hosts of the
        server's own data centre take part, who know each other.
        """
        if self.is_full_mesh(now):
            return self._members.names()
        if data_centre != self._own.data_centre:
            return []
        return sorted(self._cell(now))

    def remote_relay_addresses(self, now: float) -> list[tuple[Address, ...]]:
        """Return where the relays of each other data centre listen."""
        cells: dict[str, dict[str, Member]] = {}
        for record in self._members.records():
            if now - record.last_seen_at <= LISTED_FOR_S:
                found = cells.setdefault(record.member.data_centre, {})
                found[record.member.host] = record.member
        for record in self._summaries.live_records(now):
            for member in listed_members(record.data_centre_hosts, ready_only=False):
                cells.setdefault(member.data_centre, {})[member.host] = member
        cells.pop(self._own.data_centre, None)
        return [
            tuple(
                members[host].peer_address
                for host in choose_relays(
                    data_centre,
                    [RelayCandidate(m.host, m.capacity) for m in members.values()],
                )
            )
            for data_centre, members in cells.items()
        ]

    def _parts_for(self, relays: tuple[Member, ...], now: float) -> list[SummaryRecord]:
        """Return what tells of the hosts that this one does not hear itself.

        A relay hears of each other data centre; other hosts hear from their relay.
        """
        if self._own not in relays:
            told = self._summaries.whole_fleet(now)
            return [told] if told is not None else []
        own = self._own.data_centre
        parts = [part for part in self._summaries.data_centres() if part != own]
        return [self._summaries.primary(part, now) for part in parts]


def _alive(record: MemberRecord, now: float) -> bool:
    if record.is_unresponsive(now):
        return False
    limit = HEARTBEAT_TIMEOUT_S if record.has_been_seen else LISTED_FOR_S
    return now - record.last_seen_at <= limit


def _direct_report(record: MemberRecord) -> QuotaReport:
    return QuotaReport(record.identity, record.admitted, record.demand)
