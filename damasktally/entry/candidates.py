"""Rank the servers that may receive a request."""

from asyncio import get_running_loop
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from damasktally.decisions.affinity import (
    MAX_EXTENDED_SERVERS_PER_REGION,
    MAX_SERVERS_PER_REGION,
    AffinityRanking,
)
from damasktally.decisions.diversion import Diversions
from damasktally.decisions.load import ServerLoads
from damasktally.decisions.load_reports import LoadReports
from damasktally.decisions.outlier_detection import OutlierDetector
from damasktally.decisions.server_limits import ServerLimits
from damasktally.decisions.server_pauses import ServerPauses
from damasktally.decisions.server_selection import (
    MAX_CANDIDATE_SERVERS,
    rank_by_load,
)
from damasktally.decisions.warmup_limiter import WarmupLimiter, warmup_tokens
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.model import Member, Server
from damasktally.fleet.view import FleetView


@dataclass(frozen=True, slots=True)
class _ServerGroup:
    """The eligible servers of a service, cached for one generation of the view.

    :param servers: the same list object as long as the servers do not change, so that
        results that depend on it can be cached by its identity.
    """

    generation: int
    servers: list[Server]
    by_id: dict[str, Server]


class ServerCandidates:
    """Rank servers by registration, evacuations and this host's own measurements.

    The measurements are the load of each server, the failures of requests, and the
    requests that were sent to servers which are warming up or name a rate limit.

    :param view: registrations and evacuations.
    :param own: this host.
    :param topology: the hosts among which the requests to a server that is warming up
        are divided.
    :param region_of: the region of each data centre.
    :param rng: selects servers for requests that concern no object.
    """

    def __init__(
        self,
        view: FleetView,
        own: Member,
        topology: FleetTopology,
        region_of: Mapping[str, str],
        rng: Random,
    ) -> None:
        self._view = view
        self._own = own
        self._topology = topology
        self._region_of = region_of
        self._rng = rng
        self._loop = get_running_loop()
        self._affinity_ranking = AffinityRanking(own.region, region_of)
        self._server_groups: dict[tuple[str, frozenset[str]], _ServerGroup] = {}
        self.diversions = Diversions()
        self._server_counts: tuple[int, Counter[str]] = (-1, Counter())
        self.loads = ServerLoads()
        self.load_reports = LoadReports()
        self.limits = ServerLimits(own.host)
        self.pauses = ServerPauses()
        self.outlier_detector = OutlierDetector()
        self.warmup_limiter = WarmupLimiter()

    def eligible_servers(
        self, service: str, home_regions: frozenset[str]
    ) -> list[Server]:
        """Return the servers of a service that may receive requests.

        Failures, load and warm-up are not considered here.

        :param home_regions: regions that may serve; empty allows all.
        """
        return self._server_group(service, home_regions).servers

    def _server_group(self, service: str, home_regions: frozenset[str]) -> _ServerGroup:
        """Return the eligible servers, recomputed once for each view generation."""
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
        """Return the usable servers for a request, the preferred one first.

        Without an affinity key, some random servers are ranked by their estimated load.
        If too few of the servers that an object prefers take requests, the next ones
        follow.

        :param home_regions: regions that may serve; empty allows all.
        :param affinity_key: names the object of the request, or ``None``.
        :param tried: ids of servers to which the request was sent already.
        :param now: time of the event loop's clock in seconds.
        """
        group = self._server_group(service, home_regions)
        by_id = group.by_id
        if affinity_key is None:
            return self._rank_by_load(group.servers, tried, now)
        group_key = f"{service}|{','.join(sorted(home_regions))}"
        rank = partial(
            self._affinity_ranking.rank, group_key, group.servers, affinity_key
        )
        order = self.diversions.reorder(service, rank(), affinity_key)
        usable = [name for name in order if self._is_usable(by_id[name], now)]
        if len(usable) < MAX_CANDIDATE_SERVERS and len(order) < len(by_id):
            order = rank(MAX_EXTENDED_SERVERS_PER_REGION)
            usable = [name for name in order if self._is_usable(by_id[name], now)]
            usable = usable[:MAX_SERVERS_PER_REGION]
        return [by_id[name] for name in usable if name not in tried]

    def _rank_by_load(
        self, servers: Sequence[Server], tried: Sequence[str], now: float
    ) -> list[Server]:
        """Return some usable servers for a request that concerns no object."""
        usable = [
            server
            for server in servers
            if server.id not in tried and self._is_usable(server, now)
        ]
        region_of, own_region = self._region_of, self._own.region
        return rank_by_load(
            usable,
            lambda server: self.loads.estimate(server.id, now),
            lambda server: region_of.get(server.data_centre) == own_region,
            self._rng,
        )

    def update_diversions(self, now: float) -> None:
        """Adjust which objects are diverted from overloaded servers.

        :param now: time of the event loop's clock in seconds.
        """
        loads: dict[str, dict[str, float]] = {}
        for name, load in self.loads.estimates(now).items():
            record = self._view.servers.get(name)
            if record is not None:
                server = record.server
                loads.setdefault(server.service, {})[name] = load / server.slots
        for service, count in self._count_servers().items():
            self.diversions.update(service, loads.get(service, {}), count, now)

    def _count_servers(self) -> Counter[str]:
        """Return the number of usable servers of each service, by its name."""
        if self._server_counts[0] != self._view.generation:
            counts = Counter(item.service for item in self._view.servers.usable())
            self._server_counts = (self._view.generation, counts)
        return self._server_counts[1]

    def pause_end_s(
        self, service: str, home_regions: frozenset[str], now: float
    ) -> float | None:
        """Return how long it takes until a server of a service wants work again.

        :param home_regions: regions that may serve; empty allows all.
        :returns: seconds, or None unless all servers asked for a pause.
        """
        servers = self.eligible_servers(service, home_regions)
        return self.pauses.earliest_end_s(servers, now)

    def wants_requests(self, server: Server) -> bool:
        """Return whether a server that was chosen still takes requests of this host.

        Meanwhile it may have paused, left, started again or been evacuated.
        """
        if self.pauses.is_paused(server, self._loop.time()):
            return False
        if server.data_centre in self._view.evacuated:
            return False
        return self._view.servers.is_usable(server)

    def accepts(self, server: Server, home_regions: frozenset[str], now: float) -> bool:
        """Return whether a server that was chosen earlier may still be used.

        Meanwhile it may have started again, or drain, pause, leave or be evacuated.

        :param home_regions: regions that may serve; empty allows all.
        :param now: time of the event loop's clock in seconds.
        """
        current = self._server_group(server.service, home_regions).by_id.get(server.id)
        if current is None or current.started_ms != server.started_ms:
            return False
        return self._is_usable(current, now)

    def has_unreachable_server(
        self, service: str, home_regions: frozenset[str]
    ) -> bool:
        """Return whether a connection to some server of a service failed last.

        :param home_regions: regions that may serve; empty allows all.
        """
        servers = self.eligible_servers(service, home_regions)
        return any(self.outlier_detector.is_unreachable(item.id) for item in servers)

    def _is_usable(self, server: Server, now: float) -> bool:
        """Return whether its failures, its own reports and its warm-up allow it."""
        if not self.outlier_detector.is_usable(server.id, now):
            return False
        if self.pauses.is_paused(server, now):
            return False
        if not self._is_within_limit(server, now):
            return False
        if not self._view.servers.is_warming_up(server.id, now):
            return True
        return self.warmup_limiter.is_allowed(
            server.id, self._warmup_tokens(server, now), now
        )

    def _is_within_limit(self, server: Server, now: float) -> bool:
        """Return whether the rate limit that a server names allows a request."""
        if not self.limits.is_limited(server):
            return True
        region = self._region_of.get(server.data_centre, "")
        hosts = self._topology.limit_senders(server.data_centre, region, now)
        return self.limits.is_allowed(server, hosts, now)

    def _warmup_tokens(self, server: Server, now: float) -> int:
        """Return how many requests a second this host may send during warm-up."""
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        if service is None or service.warmup_rate <= 0:
            return 1
        host_names = self._topology.warmup_senders(server.data_centre, now)
        if self._own.host not in host_names:
            return 0
        known_rate = service.warmup_rate * self._topology.known_ratio(now)
        return warmup_tokens(self._own.host, host_names, server.id, known_rate)

    def record_send(self, server: str, now: float) -> None:
        """Count a request that is sent to a server.

        :param server: id of the server.
        """
        self.loads.begin(server)
        self.limits.record_send(server, now)
        if self._view.servers.is_warming_up(server, now):
            self.warmup_limiter.record(server, now)

    def keep_only(self, servers: set[str]) -> None:
        """Remove the measurements of all but the given servers."""
        self.loads.keep_only(servers)
        self.outlier_detector.keep_only(servers)
        self.warmup_limiter.keep_only(servers)
