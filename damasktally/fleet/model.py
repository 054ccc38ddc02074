"""Describe what a host knows of the fleet: the configuration and the servers.

All of these are immutable; a change replaces the whole object. Times are in seconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RetryPolicy(Enum):
    """Say whether a request may run more than once."""

    ALLOWED = "allowed"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and the part of a route's requests that it gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe where the requests of one path prefix go.

    :param retry_policy: whether a request may run more than once.
    :param timeout_s: the longest time until a final answer, or 0 for no limit.
    :param target_latency_s: how fast answers should be, or 0 when unknown.
    :param priority: 0 is the most urgent.
    :param services: the services that share the requests by weight.
    :param max_attempts: how many servers one request may be sent to.
    :param public: whether requests need no key.
    :param affinity: whether servers answer faster for objects they handled lately.
    :param home_regions: the only regions that may serve it; empty allows all.
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
    """Describe a pool of backend servers.

    :param health_path: path that tells a server's health.
    :param max_connections: connections a server accepts from all hosts together.
    :param warmup_s: how long a server is slow after it started.
    :param warmup_rate: requests a second that a cold server bears from all hosts.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class Customer:
    """Describe a customer and its limits over the whole fleet.

    :param rate: requests a second, or 0 for no limit.
    :param burst: requests beyond the rate that may come at once.
    :param priority: goes before the priority of a route when it is set.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int | None
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """Hold one version of the operators' configuration.

    :param version: grows with each change.
    :param routes: all routes.
    :param services: services by name.
    :param customers: all customers; when there are none, no key is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: tuple[Customer, ...]
    limits: CallerLimits

    @cached_property
    def customer_by_key(self) -> dict[str, Customer]:
        """Map each key to the customer that holds it."""
        return {key: item for item in self.customers for key in item.keys}

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Map each host name to its routes, the longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: -len(item.prefix)))
            for host, routes in found.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that a path starts with.

        :param host: host name without a port.
        :param path: path without a query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Server:
    """Describe one run of a backend server as it registered itself.

    :param id: names this run.
    :param address: host and port.
    :param is_draining: it asked for no more requests.
    :param warmup_left_s: how much longer it is slow, as of when it said so; it changes
        with
        every report, and makes no other server of it.
    :param started_ms: Unix time of its start in milliseconds, or 0 when unknown.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool
    warmup_left_s: float = field(compare=False)
    started_ms: int


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one entry host of the fleet.

    :param started_ms: Unix time of the process's start in milliseconds; tells runs
        of the same host apart.
    :param caller_address: where callers connect, as ``host:port``.
    :param peer_address: where other hosts send heartbeats.
    :param capacity: what it can bear, in cores, its link counted too.
    """

    host: str
    started_ms: int
    region: str
    data_centre: str
    caller_address: str
    peer_address: tuple[str, int]
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the figures that were agreed with the users of the fleet.

    :param stop_timeout_s: from SIGTERM until the process is killed.
    :param max_lookup_ttl_s: the longest time that callers keep a look-up.
    :param retry_ratio: repeats allowed for each request of a service.
    :param retry_window_s: window over which repeats are counted.
    :param retry_slack: repeats allowed on top in each window, all hosts together.
    :param quota_slack: requests by which a customer may exceed its limit in a
        window, all hosts together.
    :param quota_overage: part of the limit by which it may exceed it besides.
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
