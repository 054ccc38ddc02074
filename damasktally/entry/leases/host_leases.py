"""Assemble the parts of a host that grant and acquire leases."""

from collections.abc import Callable
from random import Random

from damasktally.addresses import split_address
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.leases.client import LeaseClient
from damasktally.entry.leases.endpoint import LeaseEndpoint
from damasktally.entry.leases.gate import LeaseGate
from damasktally.entry.leases.manager import LeaseManager
from damasktally.entry.leases.manager_selection import LeaseManagerSelector
from damasktally.entry.leases.messages import LeaseEnd, LeaseRequest
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.view import FleetView


class HostLeases:
    """Leases of one host, as a manager and as a client.

    ``gate`` is for the requests of callers; ``record_report`` takes the load that a
    server reports, and is ``None`` if this host grants no leases.

    :param is_ready: returns whether this host takes requests.
    """

    def __init__(
        self,
        members: MemberTable,
        topology: FleetTopology,
        view: FleetView,
        candidates: ServerCandidates,
        metrics: EntryMetrics,
        is_ready: Callable[[], bool],
    ) -> None:
        own = members.own
        managers = LeaseManagerSelector(members, topology, is_ready)
        self.manager = LeaseManager(
            own, managers, view, candidates.loads.estimate, metrics
        )
        client = LeaseClient(own, managers, self._send, Random())
        self.record_report = self.manager.record_report if client.is_enabled else None
        self.gate = LeaseGate(client, candidates.loads, metrics)
        self._endpoint = LeaseEndpoint(
            own,
            self.manager.handle_request,
            self.manager.handle_end,
            client.handle_reply,
            metrics,
        )

    def _send(self, member: Member, message: LeaseRequest | LeaseEnd) -> None:
        self._endpoint.send_to(member, message)

    async def start(self, address: str) -> None:
        """Listen for lease messages.

        :param address: ``host:port``; if it is empty, this host takes none.
        """
        if address:
            await self._endpoint.start(split_address(address))

    def run_maintenance(self, known_servers: set[str]) -> None:
        """Do the work that can wait for a second.

        :param known_servers: ids of the registered servers.
        """
        self.manager.run_maintenance()
        self.gate.keep_only(known_servers)

    def close(self) -> None:
        """Hand over what waits here, and stop listening."""
        self.manager.close()
        self._endpoint.close()
