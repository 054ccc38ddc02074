"""Find the servers that a request may go to, in the order of preference."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from damasktally.decisions.affinity import AffinityRanking
from damasktally.decisions.load import ServerLoads
from damasktally.decisions.outlier_detection import OutlierDetector
from damasktally.decisions.warmup_limiter import WarmupLimiter, warmup_tokens
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.model import Member, Server
from damasktally.fleet.view import FleetView


@dataclass(frozen=True, slots=True)
class _Group:
    """Hold the servers of a service, as of a generation of the view.

    :param servers: the same list object as long as the servers stay.
    """

    generation: int
    servers: list[Server]
    by_id: dict[str, Server]


class ServerCandidates:
    """Hold what this host knows of servers beside their registration.

    :param view: registrations and evacuations.
    :param own: this host.
    :param shape: the hosts among which a cold server's requests are divided.
    :param region_of: the region of each data centre.
    """

    def __init__(
        self,
        view: FleetView,
        own: Member,
        topology: FleetTopology,
        region_of: Mapping[str, str],
    ) -> None:
        self._view = view
        self._own = own
        self._topology = topology
        self._region_of = region_of
        self._ranking = AffinityRanking(own.region, region_of)
        self._groups: dict[tuple[str, frozenset[str]], _Group] = {}
        self.loads = ServerLoads()
        self.suspicions = OutlierDetector()
        self.cold_sends = WarmupLimiter()

    def group(self, service: str, homes: frozenset[str]) -> list[Server]:
        """Return the servers of a service that may get requests.

        :param homes: regions that may serve; empty allows all.
        """
        return self._group(service, homes).servers

    def _group(self, service: str, homes: frozenset[str]) -> _Group:
        generation = self._view.generation
        cached = self._groups.get((service, homes))
        if cached is not None and cached.generation == generation:
            return cached
        servers = [
            server
            for server in self._view.servers.usable()
            if server.service == service
            and server.data_centre not in self._view.evacuated
            and (not homes or self._region_of.get(server.data_centre) in homes)
        ]
        servers.sort(key=lambda server: server.id)
        if cached is not None and cached.servers == servers:
            servers = cached.servers
        by_id = {server.id: server for server in servers}
        group = self._groups[service, homes] = _Group(generation, servers, by_id)
        return group

    def ranked(
        self,
        service: str,
        homes: frozenset[str],
        key: bytes | None,
        tried: Sequence[str],
        now: float,
    ) -> list[Server]:
        """Return the servers for a request, the preferred first.

        :param key: names the request's object, or nothing.
        :param tried: servers that the request was sent to already.
        """
        found = self._group(service, homes)
        by_id = found.by_id
        if key is None:
            order = sorted(by_id, key=lambda name: self.loads.estimate(name, now))
        else:
            group = f"{service}|{','.join(sorted(homes))}"
            order = self._ranking.rank(group, found.servers, key)
        return [
            by_id[name]
            for name in order
            if name not in tried and self._usable(by_id[name], now)
        ]

    def _usable(self, server: Server, now: float) -> bool:
        if not self.suspicions.is_usable(server.id, now):
            return False
        if not self._view.servers.is_warming_up(server.id, now):
            return True
        return self.cold_sends.is_allowed(
            server.id, self._cold_tokens(server, now), now
        )

    def _cold_tokens(self, server: Server, now: float) -> int:
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        if service is None or service.warmup_rate <= 0:
            return 1
        names = self._topology.warmup_senders(server.data_centre, now)
        if self._own.host not in names:
            return 0
        return warmup_tokens(self._own.host, names, server.id, service.warmup_rate)

    def sent(self, server: str, now: float) -> None:
        """Note that a request goes to a server."""
        self.loads.begin(server)
        if self._view.servers.is_warming_up(server, now):
            self.cold_sends.record(server, now)

    def keep_only(self, servers: set[str]) -> None:
        """Forget servers that are gone."""
        self.loads.keep_only(servers)
        self.suspicions.keep_only(servers)
        self.cold_sends.keep_only(servers)
