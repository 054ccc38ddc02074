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
class _ServerGroup:
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
        self._affinity_ranking = AffinityRanking(own.region, region_of)
        self._server_groups: dict[tuple[str, frozenset[str]], _ServerGroup] = {}
        self.loads = ServerLoads()
        self.outlier_detector = OutlierDetector()
        self.warmup_limiter = WarmupLimiter()

    def eligible_servers(
        self, service: str, home_regions: frozenset[str]
    ) -> list[Server]:
        """Return the servers of a service that may get requests.

        :param homes: regions that may serve; empty allows all.
        """
        return self._server_group(service, home_regions).servers

    def _server_group(self, service: str, home_regions: frozenset[str]) -> _ServerGroup:
        generation = self._view.generation
        cached = self._server_groups.get((service, home_regions))
        if cached is not None and cached.generation == generation:
            return cached
        servers = [
            server
            for server in self._view.servers.usable()
            if server.service == service
            and server.data_centre not in self._view.evacuated
            and (
                not home_regions
                or self._region_of.get(server.data_centre) in home_regions
            )
        ]
        servers.sort(key=lambda server: server.id)
        if cached is not None and cached.servers == servers:
            servers = cached.servers
        by_id = {server.id: server for server in servers}
        group = self._server_groups[service, home_regions] = _ServerGroup(
            generation, servers, by_id
        )
        return group

    def rank_servers(
        self,
        service: str,
        home_regions: frozenset[str],
        affinity_key: bytes | None,
        tried: Sequence[str],
        now: float,
    ) -> list[Server]:
        """Return the servers for a request, the preferred first.

        :param key: names the request's object, or nothing.
        :param tried: servers that the request was sent to already.
        """
        group = self._server_group(service, home_regions)
        by_id = group.by_id
        if affinity_key is None:
            order = sorted(by_id, key=lambda name: self.loads.estimate(name, now))
        else:
            group_key = f"{service}|{','.join(sorted(home_regions))}"
            order = self._affinity_ranking.rank(group_key, group.servers, affinity_key)
        return [
            by_id[name]
            for name in order
            if name not in tried and self._is_usable(by_id[name], now)
        ]

    def _is_usable(self, server: Server, now: float) -> bool:
        if not self.outlier_detector.is_usable(server.id, now):
            return False
        if not self._view.servers.is_warming_up(server.id, now):
            return True
        return self.warmup_limiter.is_allowed(
            server.id, self._warmup_tokens(server, now), now
        )

    def _warmup_tokens(self, server: Server, now: float) -> int:
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        if service is None or service.warmup_rate <= 0:
            return 1
        host_names = self._topology.warmup_senders(server.data_centre, now)
        if self._own.host not in host_names:
            return 0
        return warmup_tokens(self._own.host, host_names, server.id, service.warmup_rate)

    def record_send(self, server: str, now: float) -> None:
        """Note that a request goes to a server."""
        self.loads.begin(server)
        if self._view.servers.is_warming_up(server, now):
            self.warmup_limiter.record(server, now)

    def keep_only(self, servers: set[str]) -> None:
        """Forget servers that are gone."""
        self.loads.keep_only(servers)
        self.outlier_detector.keep_only(servers)
        self.warmup_limiter.keep_only(servers)
