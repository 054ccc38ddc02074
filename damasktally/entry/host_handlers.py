"""Handle the requests that a host answers itself: look-ups, readiness, metrics."""

from asyncio import get_running_loop
from collections.abc import Callable
from random import Random

from prometheus_client import generate_latest

from damasktally.decisions.directory import DirectoryEntry, select_addresses
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.refusals import text_response
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.model import Member, ReadyHost
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request, Response
from damasktally.platform.calls import (
    encode_lookup_response,
    is_readiness_request,
    parse_lookup_request,
)

DEFAULT_LOOKUP_TTL_S = 2.0
"""Lifetime of a look-up response, unless the agreed bound is lower."""


class HostHandlers:
    """Handlers of the ports for readiness probes, host look-ups and metrics.

    :param own: this host.
    :param topology: lists the other hosts that callers may use.
    :param is_ready: returns whether callers may be directed to this host.
    :param reachability: tells which services this host reaches.
    :param max_ttl_s: upper bound of the lifetime of a look-up response in seconds.
    """

    def __init__(
        self,
        view: FleetView,
        own: Member,
        topology: FleetTopology,
        is_ready: Callable[[], bool],
        reachability: ReachabilityMonitor,
        metrics: EntryMetrics,
        max_ttl_s: float,
        rng: Random,
    ) -> None:
        self._view = view
        self._own = own
        self._topology = topology
        self._is_ready = is_ready
        self._reachability = reachability
        self._metrics = metrics
        self._ttl_s = min(DEFAULT_LOOKUP_TTL_S, max_ttl_s)
        self._rng = rng

    async def handle_readiness(self, req: Request) -> Response:
        """Respond with 200 if callers may be directed to this host, else 503."""
        if not is_readiness_request(req):
            return text_response(404, "unknown-path")
        return (
            text_response(200, "ready")
            if self._is_ready()
            else text_response(503, "not-ready")
        )

    async def handle_lookup(self, req: Request) -> Response:
        """Respond with the addresses of the hosts that a caller may use."""
        lookup = parse_lookup_request(req)
        if lookup is None:
            return text_response(404, "unknown-path")
        if self._view.configuration is None:
            return text_response(503, "no-configuration")
        self._metrics.lookups.inc()
        home_regions = self._home_regions(lookup.host_name)
        addresses = select_addresses(
            self._usable_hosts(), lookup.region, home_regions, self._rng
        )
        if not addresses:
            return text_response(503, "no-host-ready")
        return encode_lookup_response(addresses, self._ttl_s)

    async def handle_metrics(self, req: Request) -> Response:
        """Respond with all metrics in the Prometheus text format."""
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return Response(200, headers, generate_latest(self._metrics.registry))

    def _usable_hosts(self) -> list[DirectoryEntry]:
        """Return the hosts that are ready, this one included."""
        hosts = self._topology.ready_hosts(get_running_loop().time())
        if self._is_ready():
            unreachable = self._reachability.unreachable_services()
            hosts.append(ReadyHost(self._own, unreachable))
        services = self._view.servers.services()
        return [
            DirectoryEntry(
                item.member.caller_address,
                item.member.region,
                item.member.data_centre,
                reaches_servers=not services.issubset(item.unreachable_services),
                capacity=item.member.capacity,
            )
            for item in hosts
        ]

    def _home_regions(self, host_name: str) -> frozenset[str]:
        """Return the home regions of all routes of a host name; empty allows all."""
        cfg = self._view.configuration
        routes = cfg.routes_by_host.get(host_name.lower(), ())
        home_regions = [route.home_regions for route in routes if route.home_regions]
        return frozenset().union(*home_regions)
