"""Data model of the fleet: configuration, backend servers and entry hosts.

All of these are immutable; a change replaces the whole object. Times are in seconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RetryPolicy(Enum):
    """Whether a request may be sent again after a server may have run it."""

    ALLOWED = "allowed"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a route, with its weight among the services of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route: rules for the requests to one host name with one path prefix.

    :param host: host name of the requests.
    :param prefix: path prefix of the requests.
    :param retry_policy: whether a request may be run more than once.
    :param timeout_s: the longest time until the final response, or 0 for no limit.
    :param target_latency_s: the response time that is aimed at, or 0 if none is set.
    :param priority: 0 is the most urgent.
    :param services: the services that share the requests by weight.
    :param max_attempts: the number of servers to which one request may be sent.
    :param public: whether requests need no API key.
    :param affinity: whether servers respond faster for objects that they handled
        recently.
    :param home_regions: the only regions that may serve the requests; empty allows all.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool
    affinity: bool
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Service:
    """Service: a pool of interchangeable backend servers.

    :param health_path: path at which a server reports its health.
    :param max_connections: connections that a server accepts from all hosts together.
    :param warmup_s: how long a server is slow after its start.
    :param warmup_rate: requests a second that a server can take from all hosts together
        during its warm-up.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer with its limits, which hold for the whole fleet.

    :param keys: the customer's API keys.
    :param rate: admitted requests a second, or 0 for no limit.
    :param burst: size of the token bucket: requests beyond the rate that may arrive at
        once.
    :param priority: replaces the priority of the route, unless it is None.
    :param home_regions: the only regions that may serve its requests; empty allows all.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int | None
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time they may take to send.

    :param head_bytes: the largest request line and headers together.
    :param body_bytes: the largest body.
    :param head_timeout_s: the longest time until the head is complete.
    :param idle_timeout_s: how long a connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, as written by the operators.

    :param version: number that grows with each change.
    :param routes: all routes.
    :param services: services by name.
    :param customers: all customers; if there are none, requests need no API key.
    :param limits: limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: tuple[Customer, ...]
    limits: CallerLimits

    @cached_property
    def customer_by_key(self) -> dict[str, Customer]:
        """Return the customer of each API key."""
        return {key: item for item in self.customers for key in item.keys}

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes of each host name, sorted by descending prefix length."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: -len(item.prefix)))
            for host, routes in found.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches, or None.

        :param host: host name without a port.
        :param path: path without a query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Server:
    """One process of a backend server, as it registered itself.

    :param id: identifies this process.
    :param address: host and port.
    :param slots: requests that it processes at once.
    :param is_draining: whether it asked for no more requests.
    :param warmup_left_s: remaining time of its warm-up when it reported it. The value
        changes with every report, so that it does not count when servers are compared.
    :param started_ms: Unix time of its start in milliseconds, or 0 if unknown.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool
    warmup_left_s: float = field(compare=False)
    started_ms: int


MAX_LOAD_FIGURE = 1_000_000
"""A load report with a larger figure is malformed."""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server reports of itself with a response.

    :param running: requests that it processes, or None if it does not say.
    :param waiting: requests in its queue, or None if it does not say.
    :param rate_limit: requests a second that it takes from all hosts together, or None
        if it names no limit, or one that cannot be decoded.
    :param is_limit_unreadable: whether it names a limit that cannot be decoded.
    :param is_leaving: whether it is about to end and wants no more requests.
    :param pause_s: seconds for which it wants no requests of this host, or None.
    :param unreadable: names of the headers that could not be decoded.
    :param slots: requests that it processes at once, or None if it does not say.
    :param slowdown: time that work currently takes on it, relative to the usual time
        (1.0 = as usual), or None if it does not say.
    """

    running: int | None
    waiting: int | None
    rate_limit: float | None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    unreadable: tuple[str, ...] = ()
    slots: int | None = None
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class Member:
    """One process of an entry host.

    :param host: name of the host.
    :param started_ms: Unix time of the start of the process in milliseconds, which
        distinguishes processes of the same host.
    :param caller_address: where callers connect, as ``host:port``.
    :param peer_address: host and port to which other hosts send heartbeats.
    :param capacity: capacity in cores, bounded by the network link.
    :param forwarding_port: port, at the address of ``peer_address``, where it takes
        callers' requests from other hosts; 0 if it takes none or is not known.
    :param lease_port: UDP port at the same address for messages about leases; 0 if it
        neither grants nor requests leases, or is not known.
    """

    host: str
    started_ms: int
    region: str
    data_centre: str
    caller_address: str
    peer_address: tuple[str, int]
    capacity: float = 1.0
    forwarding_port: int = field(default=0, compare=False)
    lease_port: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class ReadyHost:
    """Another host that takes requests, and what it reported of its servers.

    :param unreachable_services: services of which it reaches no server.
    """

    member: Member
    unreachable_services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Service-level figures agreed with the users of the fleet.

    :param stop_timeout_s: time from SIGTERM until the process is killed.
    :param max_lookup_ttl_s: the longest time that callers may cache a look-up.
    :param retry_ratio: retries allowed for each request of a service.
    :param retry_window_s: window over which retries are counted.
    :param retry_slack: retries allowed in addition in each window, for all hosts
        together.
    :param quota_slack: number of requests by which a customer may exceed its limit in
        a window, for all hosts together.
    :param quota_overage: fraction of the limit by which a customer may exceed it in
        addition.
    :param quota_window_s: window over which customers' requests are counted.
    """

    stop_timeout_s: float
    max_lookup_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_slack: float
    quota_overage: float
    quota_window_s: float


ERA_OFFSET_BITS = 40
"""Revisions of one era of the store are below two to this power."""


def compose_revision(era: int, revision: int) -> int:
    """Return a revision that is ordered over all eras of the store.

    The store gives out its revisions again after it came back from an older copy, in a
    new era. Any revision of a later era is the newer one.

    :param era: how often the store came back, as the store counts it; 0 if it does
        not say.
    :param revision: the store's revision in that era.
    """
    return (era << ERA_OFFSET_BITS) | revision


def era_of(revision: int) -> int:
    """Return the store's era of a composed revision."""
    return revision >> ERA_OFFSET_BITS


def revision_in_era(revision: int) -> int:
    """Return the store's own revision, without the era, of a composed one."""
    return revision & ((1 << ERA_OFFSET_BITS) - 1)
