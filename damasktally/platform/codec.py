"""Codec between the objects in the platform's store and the types of the fleet model.

The classes whose names start with ``Wire`` spell their fields as the store does. They
are not used outside this module.
"""

from collections.abc import Mapping
from math import inf
from typing import Annotated, Any

import msgspec

from damasktally.errors import DamasktallyError
from damasktally.fleet.model import (
    CallerLimits,
    Configuration,
    Customer,
    Member,
    RetryPolicy,
    Route,
    Server,
    Service,
    WeightedService,
)

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
IDEMPOTENT_KIND = "idempotent"
SERVER_STATES = frozenset({"ready", "draining"})
DRAINING_STATE = "draining"
VERSION_PREFIX = "r"
MAX_PORT = 65535
MAX_INTEGER = 2**53
"""Largest whole number in a field: JSON numbers are exact up to there."""
MAX_SLOTS = 1_000_000
MAX_RATE = 1e12
"""Largest rate, burst, weight or capacity."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


class MalformedObject(DamasktallyError):
    """An object in the store, or the table of agreed figures, cannot be decoded."""


class WireWeightedService(msgspec.Struct):
    """Service of a route, with its weight among the services of the route."""

    Service: str
    Weight: Rate


class WirePath(msgspec.Struct):
    """Route. ``Kind`` shows whether a request may be run more than once."""

    Name: str
    PathPrefix: str
    Kind: str
    MaxAttempts: Integer
    Timeout: str | None = None
    TargetLatency: str | None = None
    Prio: Integer = 0
    Service: str | None = None
    Split: list[WireWeightedService] | None = None
    Public: bool = False
    Sticky: bool = False
    HomeRegions: list[str] | None = None


class WireHost(msgspec.Struct):
    """Routes of one host name."""

    Host: str
    Paths: list[WirePath]


class WireService(msgspec.Struct):
    """Pool of servers. ``Cold`` is the warm-up time, ``ColdPerS`` its request rate."""

    Name: str
    HealthPath: str = "/"
    MaxConns: Count = 0
    Cold: str | None = None
    ColdPerS: Rate = 0.0


class WireCustomer(msgspec.Struct):
    """Customer. A limit that is missing means that there is none."""

    Name: str
    ApiKeys: list[str] | None = None
    Prio: Integer | None = None
    RatePerS: Rate | None = None
    Burst: Rate | None = None
    HomeRegions: list[str] | None = None


class WireLimits(msgspec.Struct):
    """Limits on callers' requests."""

    MaxHeaderBytes: Count = 16_384
    MaxBodyBytes: Count = 67_108_864
    HeaderTimeout: str = "3s"
    IdleTimeout: str = "15s"


class WireConfiguration(msgspec.Struct):
    """One version of the configuration."""

    Version: str
    Vhosts: list[WireHost]
    Services: list[WireService]
    Tenants: list[WireCustomer] | None = None
    Limits: WireLimits | None = None


class WireServerInfo(msgspec.Struct):
    """Properties of a server that do not change while it runs."""

    Service: str
    Zone: str
    Slots: Slots


class WireServerStatus(msgspec.Struct):
    """State that a server reports; ``ColdLeft`` is the rest of its warm-up time."""

    State: str
    ColdLeft: str | None = None


class WireServer(msgspec.Struct):
    """Registration of a server. ``born`` is its start, a Unix time in milliseconds."""

    Addr: str
    Info: WireServerInfo
    Status: WireServerStatus
    born: Count = 0


class WireMember(msgspec.Struct):
    """Registration of an entry host; this project chose the names of its fields."""

    host: str
    started_ms: Count
    region: str
    data_centre: str
    caller_address: str
    peer_host: str
    peer_port: Port
    capacity: Rate = 1.0


def parse_duration(text: str | None) -> float:
    """Parse a time with its unit, such as ``1500ms``.

    :returns: seconds; 0 if the text is empty or None.
    :raises ValueError: if the number or the unit is malformed, or the number is
        negative or not finite.
    """
    if not text:
        return 0.0
    for unit in ("ms", "s"):
        if text.endswith(unit):
            duration_s = float(text[: -len(unit)]) * SECONDS_PER_UNIT[unit]
            if not 0.0 <= duration_s < inf:
                raise ValueError(f"{text!r} is no duration")
            return duration_s
    raise ValueError(f"{text!r} has no known unit")


def decode_configuration(spec: Any) -> Configuration:
    """Decode the configuration.

    :param spec: the stored object.
    :raises MalformedObject: if a field is missing, malformed or of another type.
    """
    try:
        wire = msgspec.convert(spec, WireConfiguration)
        limits = wire.Limits or WireLimits()
        return Configuration(
            version=_decode_version(wire.Version),
            routes=tuple(
                _decode_route(host.Host, path)
                for host in wire.Vhosts
                for path in host.Paths
            ),
            services={item.Name: _decode_service(item) for item in wire.Services},
            customers=tuple(_decode_customer(item) for item in wire.Tenants or ()),
            limits=CallerLimits(
                head_bytes=limits.MaxHeaderBytes,
                body_bytes=limits.MaxBodyBytes,
                head_timeout_s=parse_duration(limits.HeaderTimeout),
                idle_timeout_s=parse_duration(limits.IdleTimeout),
            ),
        )
    except (msgspec.ValidationError, ValueError) as exc:
        raise MalformedObject(
            f"The configuration cannot be read: {exc}.",
            "Correct the configuration and write it again.",
        ) from exc


def decode_server(name: str, spec: Any) -> Server:
    """Decode a server's registration.

    :param name: name of the stored object, which is the server's id.
    :param spec: the stored object.
    :raises MalformedObject: if a field is missing or malformed, if the address has no
        host, or if the server has no slots.
    """
    try:
        wire = msgspec.convert(spec, WireServer)
        host, _, port = wire.Addr.rpartition(":")
        if wire.Status.State not in SERVER_STATES:
            raise ValueError("its state is invalid")
        if not host or not 0 < int(port) <= MAX_PORT:
            raise ValueError("its address is invalid")
        return Server(
            id=name,
            service=wire.Info.Service,
            address=(host, int(port)),
            data_centre=wire.Info.Zone,
            slots=wire.Info.Slots,
            is_draining=wire.Status.State == DRAINING_STATE,
            warmup_left_s=parse_duration(wire.Status.ColdLeft),
            started_ms=wire.born,
        )
    except (msgspec.ValidationError, ValueError) as exc:
        raise MalformedObject(
            f"The registration of server {name} cannot be read: {exc}.",
            "Remove the registration, or correct the program that writes it.",
        ) from exc


def decode_member(spec: Any) -> Member:
    """Decode the registration of an entry host.

    :param spec: the stored object.
    :raises MalformedObject: if a field is missing or of another type.
    """
    try:
        wire = msgspec.convert(spec, WireMember)
    except msgspec.ValidationError as exc:
        raise MalformedObject(
            f"The registration of a host cannot be read: {exc}.",
            "Remove the registration.",
        ) from exc
    return Member(
        host=wire.host,
        started_ms=wire.started_ms,
        region=wire.region,
        data_centre=wire.data_centre,
        caller_address=wire.caller_address,
        peer_address=(wire.peer_host, wire.peer_port),
        capacity=wire.capacity,
    )


def encode_member(member: Member) -> Mapping[str, Any]:
    """Encode the registration of an entry host."""
    host, port = member.peer_address
    wire = WireMember(
        host=member.host,
        started_ms=member.started_ms,
        region=member.region,
        data_centre=member.data_centre,
        caller_address=member.caller_address,
        peer_host=host,
        peer_port=port,
        capacity=member.capacity,
    )
    return msgspec.to_builtins(wire)


def _decode_version(text: str) -> int:
    version = int(text.removeprefix(VERSION_PREFIX))
    if not 0 <= version <= MAX_INTEGER:
        raise ValueError("its version is out of range")
    return version


def _decode_route(host: str, wire: WirePath) -> Route:
    parts = wire.Split or [WireWeightedService(wire.Service or "", 1.0)]
    return Route(
        name=wire.Name,
        host=host,
        prefix=wire.PathPrefix,
        retry_policy=RetryPolicy.ALLOWED
        if wire.Kind == IDEMPOTENT_KIND
        else RetryPolicy.NEVER,
        timeout_s=parse_duration(wire.Timeout),
        target_latency_s=parse_duration(wire.TargetLatency),
        priority=wire.Prio,
        services=tuple(WeightedService(part.Service, part.Weight) for part in parts),
        max_attempts=max(1, wire.MaxAttempts),
        public=wire.Public,
        affinity=wire.Sticky,
        home_regions=frozenset(wire.HomeRegions or ()),
    )


def _decode_service(wire: WireService) -> Service:
    return Service(
        name=wire.Name,
        health_path=wire.HealthPath,
        max_connections=wire.MaxConns,
        warmup_s=parse_duration(wire.Cold),
        warmup_rate=wire.ColdPerS,
    )


def _decode_customer(wire: WireCustomer) -> Customer:
    return Customer(
        name=wire.Name,
        keys=frozenset(wire.ApiKeys or ()),
        rate=wire.RatePerS or 0.0,
        burst=wire.Burst or 0.0,
        priority=wire.Prio,
        home_regions=frozenset(wire.HomeRegions or ()),
    )
