"""Derive the topology of the fleet: its size, its relays and the hosts that are ready.

In a small fleet, every host exchanges heartbeats with every other (a full mesh). In a
large one, a few relays of each data centre exchange summaries instead. Each host
derives the topology for itself from the heartbeats and summaries that it receives.
"""

from dataclasses import dataclass
from itertools import chain
from math import inf

from damasktally.decisions.recent_maximum import RecentMaximum
from damasktally.decisions.relays import (
    RelayCandidate,
    choose_relays,
    is_full_mesh,
)
from damasktally.fleet.members import (
    HEARTBEAT_TIMEOUT_S,
    LISTED_HOST_LIFETIME_S,
    MemberRecord,
    MemberTable,
)
from damasktally.fleet.model import Member, ReadyHost
from damasktally.fleet.summaries import (
    SummaryRecord,
    SummaryTable,
    listed_ready_hosts,
)

FLEET_SIZE_MEMORY_S = 8.0
"""The fleet counts as large as it was in this time: a new relay knows few hosts yet,
and a fleet that counts as small changes its messages and who follows the store."""
CACHE_LIFETIME_S = 0.2
"""The topology is computed again once the cached one is this old."""

Address = tuple[str, int]
"""Host name or IP address, and port."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Hold the topology as computed at one moment.

    :param computed_at: time of the event loop in seconds.
    :param fleet_size: number of hosts, as peers report it if no summary is known yet.
    :param known_fleet_size: number of hosts by this host's own records and summaries.
    :param relays: relays of this data centre, the primary first.
    :param remote_relays: relays of each other data centre, if this host is a relay.
    """

    computed_at: float
    fleet_size: int
    known_fleet_size: int
    relays: tuple[Member, ...]
    remote_relays: tuple[tuple[Member, ...], ...]


class FleetTopology:
    """Combine direct heartbeats with the summaries of relays into one topology.

    Times called ``now`` are times of the event loop in seconds.

    :param members: hosts that send heartbeats to this one, or that the store lists.
    :param summaries: the last summary of each relay.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._own = members.own
        self._cached: _Snapshot | None = None
        self._recent_fleet_size = RecentMaximum(FLEET_SIZE_MEMORY_S)
        self._recent_known_size = RecentMaximum(FLEET_SIZE_MEMORY_S)
        self._relays: tuple[Member, ...] = ()
        self._relays_changed_at = -inf
        self._remote_basis: tuple[list, list] | None = None
        self._chosen_remote_relays: list[tuple[Member, ...]] = []

    def _get_snapshot(self, now: float) -> _Snapshot:
        cached = self._cached
        if cached is None or not 0 <= now - cached.computed_at < CACHE_LIFETIME_S:
            cached = self._cached = self._compute(now)
            if cached.relays != self._relays:
                self._relays = cached.relays
                self._relays_changed_at = now
        return cached

    def _compute(self, now: float) -> _Snapshot:
        members = self._live_local_members(now)
        candidates = [RelayCandidate(m.host, m.capacity) for m in members.values()]
        relays = tuple(
            members[host] for host in choose_relays(self._own.data_centre, candidates)
        )
        records = self._members.records()
        relayed = self._relayed_records(relays, now)
        reported_size = sum(record.host_count for record in relayed)
        if self._own in relays:
            reported_size += 1 + len(self.local_records())
        fleet_size = known_fleet_size = max(reported_size, 1 + len(records))
        if not relayed:
            # No summary has arrived yet, so rely on the fleet size that peers report.
            fleet_size = max(
                [known_fleet_size, *(record.fleet_size for record in records)]
            )
        remote_relays = (
            tuple(self._find_remote_relays(now)) if self._own in relays else ()
        )
        return _Snapshot(
            now,
            self._recent_fleet_size.record(fleet_size, now),
            self._recent_known_size.record(known_fleet_size, now),
            relays,
            remote_relays,
        )

    def _live_local_members(self, now: float) -> dict[str, Member]:
        """Return the hosts of this data centre that are assumed alive, by name.

        A host that a relay lists counts as alive unless this host sent it messages
        and got no reply.
        """
        records = {record.member.host: record for record in self.local_records()}
        alive = {
            host: record.member
            for host, record in records.items()
            if record.is_assumed_alive(now)
        }
        listed = self._summaries.recently_listed_hosts(self._own.data_centre, now)
        for member in listed:
            if self._members.has_stopped(member):
                continue
            record = records.get(member.host)
            if record is None or not record.is_unresponsive(now):
                alive.setdefault(member.host, member)
        return {**alive, self._own.host: self._own}

    def invalidate(self) -> None:
        """Discard the cached topology, so that the next call computes it again."""
        self._cached = None

    def fleet_size(self, now: float) -> int:
        """Return the number of hosts in the fleet, including silent ones."""
        return self._get_snapshot(now).fleet_size

    def known_fleet_size(self, now: float) -> int:
        """Return the number of known hosts, without the fleet sizes that peers report.

        This is the number that the heartbeats of this host carry.
        """
        return self._get_snapshot(now).known_fleet_size

    def is_full_mesh(self, now: float) -> bool:
        """Return whether every host exchanges heartbeats with every other."""
        return is_full_mesh(self.fleet_size(now))

    def local_records(self) -> list[MemberRecord]:
        """Return the records of all other known hosts of this data centre."""
        own = self._own.data_centre
        records = self._members.records()
        return [record for record in records if record.member.data_centre == own]

    def live_local_records(self, now: float) -> list[MemberRecord]:
        """Return the records of the other live hosts of this data centre."""
        known = self.local_records()
        return [
            record
            for record in known
            if record.has_been_seen and now - record.last_seen_at <= HEARTBEAT_TIMEOUT_S
        ]

    def local_record(self, host: str) -> MemberRecord | None:
        """Return the record of another host of this data centre.

        :param host: name of the host.
        :returns: ``None`` if it is unknown or in another data centre.
        """
        record = self._members.get(host)
        own = self._own.data_centre
        if record is None or record.member.data_centre != own:
            return None
        return record

    def relays(self, now: float) -> tuple[Member, ...]:
        """Return the relays of this data centre, the primary first."""
        return self._get_snapshot(now).relays

    def relays_age_s(self, now: float) -> float:
        """Return for how many seconds the relays of this data centre are the same."""
        self._get_snapshot(now)
        return now - self._relays_changed_at

    def is_relay(self, now: float) -> bool:
        """Return whether this host is a relay of its data centre."""
        return self._own in self.relays(now)

    def local_relay_records(self, now: float) -> list[MemberRecord]:
        """Return the records of the other relays here that have ever been seen."""
        relays = {member.host for member in self.relays(now)}
        known = self.local_records()
        return [
            record
            for record in known
            if record.has_been_seen and record.member.host in relays
        ]

    def ready_hosts(self, now: float) -> list[ReadyHost]:
        """Return the other hosts that callers may be sent to."""
        live = [
            ReadyHost(record.member, record.unreachable_services)
            for record in self._members.live_records(now)
            if record.ready
        ]
        if self.is_full_mesh(now):
            return live
        hosts = []
        if self.is_relay(now):
            own = self._own.data_centre
            hosts = [item for item in live if item.member.data_centre == own]
        for relayed in self._relayed_records(self.relays(now), now):
            if now - relayed.received_at <= HEARTBEAT_TIMEOUT_S:
                hosts += listed_ready_hosts(relayed.data_centre_hosts)
        return [item for item in hosts if item.member.host != self._own.host]

    def warmup_senders(self, data_centre: str, now: float) -> list[str]:
        """Return the hosts among which the requests to a server in warm-up are divided.

        All of them have to agree on this list. In a large fleet, only the hosts of the
        server's own data centre know each other, so only these take part.

        :param data_centre: data centre of the server.
        :returns: names of hosts, this one included; empty if it does not take part.
        """
        if self.is_full_mesh(now):
            return self._members.names()
        if data_centre != self._own.data_centre:
            return []
        return sorted(self._live_local_members(now))

    def known_ratio(self, now: float) -> float:
        """Return the ratio of the hosts that this one knows, in a full mesh.

        A host that started while the store was away knows few of the others. What it
        divides among those that it knows is only their part.
        """
        if not self.is_full_mesh(now):
            return 1.0
        return len(self._members.names()) / self.fleet_size(now)

    def limit_senders(self, data_centre: str, region: str, now: float) -> list[str]:
        """Return the hosts among which the rate limit of a server may be divided.

        In a full mesh, they are the hosts of the server's region, which prefer it, or
        all hosts if there are none. In a large fleet, they are those of its data
        centre, as for a server in warm-up.

        :param data_centre: data centre of the server.
        :param region: region of the server.
        :returns: names of hosts; empty if this host does not take part.
        """
        if not self.is_full_mesh(now):
            return self.warmup_senders(data_centre, now)
        members = [self._own, *(record.member for record in self._members.records())]
        near = [member.host for member in members if member.region == region]
        return near or [member.host for member in members]

    def remote_relays(self, now: float) -> tuple[tuple[Member, ...], ...]:
        """Return the relays of each other data centre, if this host is a relay.

        :returns: a tuple for each data centre, the primary relay first.
        """
        return self._get_snapshot(now).remote_relays

    def remote_relay_addresses(self, now: float) -> list[tuple[Address, ...]]:
        """Return where a relay reaches the relays of each other data centre.

        :returns: peer addresses, a tuple for each data centre, the primary relay first.
        """
        return [
            tuple(member.peer_address for member in members)
            for members in self.remote_relays(now)
        ]

    def _find_remote_relays(self, now: float) -> list[tuple[Member, ...]]:
        """Return the relays of each other data centre, the primary relay first."""
        members = [
            record.member
            for record in self._members.records()
            if now - record.last_seen_at <= LISTED_HOST_LIFETIME_S
        ]
        records = self._summaries.live_records(now)
        basis = (members, [record.data_centre_hosts for record in records])
        if basis != self._remote_basis:
            listed = [self._summaries.all_members_of(record) for record in records]
            self._chosen_remote_relays = self._choose_remote_relays(members, listed)
            self._remote_basis = basis
        return self._chosen_remote_relays

    def _choose_remote_relays(
        self, members: list[Member], listed: list[list[Member]]
    ) -> list[tuple[Member, ...]]:
        by_data_centre: dict[str, dict[str, Member]] = {}
        for member in chain(members, *listed):
            by_data_centre.setdefault(member.data_centre, {})[member.host] = member
        by_data_centre.pop(self._own.data_centre, None)
        return [
            tuple(
                hosts[host]
                for host in choose_relays(
                    data_centre,
                    [RelayCandidate(m.host, m.capacity) for m in hosts.values()],
                )
            )
            for data_centre, hosts in by_data_centre.items()
        ]

    def relayed_records(self, now: float) -> list[SummaryRecord]:
        """Return the summaries of the hosts that send this one no heartbeats."""
        return self._relayed_records(self.relays(now), now)

    def _relayed_records(
        self, relays: tuple[Member, ...], now: float
    ) -> list[SummaryRecord]:
        """Return the summaries of the hosts that send this one no heartbeats.

        A relay receives one from each other data centre. Any other host receives one
        of the whole fleet from its own relay.

        :param relays: relays of this data centre.
        """
        if self._own not in relays:
            fleet = self._summaries.whole_fleet(now)
            return [fleet] if fleet is not None else []
        own = self._own.data_centre
        data_centres = [
            data_centre
            for data_centre in self._summaries.data_centres()
            if data_centre != own
        ]
        return [
            self._summaries.primary(data_centre, now) for data_centre in data_centres
        ]
