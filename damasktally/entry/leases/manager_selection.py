"""Find the host that manages the leases of a backend server.

It is chosen among the hosts of the server's data centre. Every host computes the same
choice from what it knows of the fleet. For a moment after a change, hosts may disagree;
a host that does not take itself for the manager says so.
"""

from collections.abc import Callable

from damasktally.decisions.affinity import rendezvous_score
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import DataCentreHosts

MAX_MANAGER_HOSTS = 8
"""Hosts of a data centre, the most capable first, among which managers are chosen.
Summaries list no more hosts of a data centre to other regions."""
CACHE_LIFETIME_S = 0.2
"""The hosts of a data centre are looked up again once the cached ones are this old."""


class LeaseManagerSelector:
    """Choose the lease manager of each server.

    Times called ``now`` are in seconds on the event loop's clock.

    :param is_ready: returns whether this host takes requests.
    """

    def __init__(
        self,
        members: MemberTable,
        topology: FleetTopology,
        is_ready: Callable[[], bool],
    ) -> None:
        self._own = members.own
        self._members = members
        self._topology = topology
        self._is_ready = is_ready
        self._hosts: dict[str, tuple[float, list[Member]]] = {}
        self._chosen: dict[tuple[str, str], Member | None] = {}

    def find(self, server: str, data_centre: str, now: float) -> Member | None:
        """Return the manager of a server, or ``None`` if its data centre has none.

        :param server: its id.
        :param data_centre: its data centre.
        """
        self._refresh(data_centre, now)
        key = (server, data_centre)
        if key not in self._chosen:
            hosts = self._hosts[data_centre][1]
            self._chosen[key] = max(
                hosts,
                key=lambda member: rendezvous_score(member.host, server.encode()),
                default=None,
            )
        return self._chosen[key]

    def is_own(self, server: str, data_centre: str, now: float) -> bool:
        """Return whether this host is the manager of a server."""
        member = self.find(server, data_centre, now)
        return member is not None and member.host == self._own.host

    def _refresh(self, data_centre: str, now: float) -> None:
        """Look up the hosts of a data centre, unless that was done lately."""
        known = self._hosts.get(data_centre)
        if known is not None and 0 <= now - known[0] < CACHE_LIFETIME_S:
            return
        hosts = self._candidates(data_centre, now)
        if known is None or hosts != known[1] or _ports(hosts) != _ports(known[1]):
            self._chosen.clear()
        self._hosts[data_centre] = (now, hosts)

    def _candidates(self, data_centre: str, now: float) -> list[Member]:
        """Return the hosts that may be managers.

        The first hosts are taken before those that are not ready are left out, as
        hosts of other regions know no more than these.
        """
        hosts = self._live_hosts(data_centre, now)
        if data_centre == self._own.data_centre:
            hosts[self._own.host] = (self._own, self._is_ready())
        ranked = sorted(
            hosts.values(), key=lambda item: (-item[0].capacity, item[0].host)
        )
        return [
            member
            for member, is_ready in ranked[:MAX_MANAGER_HOSTS]
            if is_ready and member.lease_port
        ]

    def _live_hosts(
        self, data_centre: str, now: float
    ) -> dict[str, tuple[Member, bool]]:
        """Return the live hosts of a data centre, and whether each one is ready."""
        topology = self._topology
        is_own = data_centre == self._own.data_centre
        if topology.is_full_mesh(now) or (is_own and topology.is_relay(now)):
            return {
                record.member.host: (record.member, record.ready)
                for record in self._members.live_records(now)
                if record.member.data_centre == data_centre
            }
        found: dict[str, tuple[Member, bool]] = {}
        for relayed in topology.relayed_records(now):
            if now - relayed.received_at <= HEARTBEAT_TIMEOUT_S:
                for listing in relayed.data_centre_hosts:
                    if listing.data_centre == data_centre:
                        found.update(_listed_hosts(listing))
        return found


def _listed_hosts(listing: DataCentreHosts) -> dict[str, tuple[Member, bool]]:
    return {
        summary.host: (summary.member_in(listing), summary.ready)
        for summary in listing.hosts
    }


def _ports(hosts: list[Member]) -> list[int]:
    # The ports do not count when members are compared.
    return [member.lease_port for member in hosts]
