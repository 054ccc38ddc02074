"""Models of the spec of every kind of object, with units and bounds."""

from ipaddress import ip_network
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from damasktally.objects import StoredObject
from damasktally.resources.exceptions import InvalidObject, UnknownKind

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.\-]{0,61}[a-z0-9])?$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]

MAX_TIMEOUT_MS = 60_000
"""Upper bound of a route's timeout, in milliseconds."""


class Spec(BaseModel):
    """Base class of the specs; unknown fields are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Region(Spec):
    """Region, with the one-way latency to other regions in milliseconds."""

    latency_ms: dict[Name, Annotated[float, Field(ge=0, le=10_000)]] = Field(
        default_factory=dict
    )


class DataCentre(Spec):
    """Data centre of a region, with the client address blocks (CIDR) closest to it."""

    region: Name
    client_blocks: list[str] = Field(default_factory=list)

    @field_validator("client_blocks")
    @classmethod
    def _validate_blocks(cls, blocks: list[str]) -> list[str]:
        for block in blocks:
            ip_network(block)
        return blocks


class Link(Spec):
    """Bandwidth limit from one region to another, in one direction.

    ``cap_mbit`` is in Mbit a second. ``reserved`` is the fraction of it that is left
    to traffic of other systems.
    """

    source: Name
    target: Name
    cap_mbit: Annotated[float, Field(gt=0, le=10_000_000)]
    reserved: Annotated[float, Field(ge=0, lt=1)] = 0.1


class Pool(Spec):
    """Group of backend servers that serve the same routes.

    ``warmup_s`` is the warm-up time of a server in seconds. ``eject_fraction`` is the
    largest fraction of the servers that may be ejected at once, and ``max_queue`` the
    number of requests that may wait for the pool at one host. ``shed_is_not_run``
    states that a 503 response of these servers means that the request was shed before
    it ran.
    """

    probe_path: str = "/healthz"
    warmup_s: Annotated[float, Field(ge=0, le=3600)] = 10.0
    eject_fraction: Annotated[float, Field(ge=0, le=1)] = 0.5
    max_queue: Annotated[int, Field(ge=0, le=10_000)] = 64
    shed_is_not_run: bool = False


class BackendServer(Spec):
    """Backend server, with the requests (slots) and connections it accepts at once."""

    pool: Name
    address: Address
    region: Name
    data_centre: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 3
    connections: Annotated[int, Field(ge=1, le=100_000)] = 400


class SteeringPolicy(Spec):
    """Weights of the choice of a server, and parameters of waiting and of look-ups.

    ``lookup_lifetime_s`` (seconds) and ``lookup_hosts`` are the lifetime of a look-up
    response and the number of hosts in it. ``max_wait_ms`` is how long a request may
    wait for a slot, in milliseconds.
    """

    latency_weight: Annotated[float, Field(ge=0, le=100)] = 1.0
    headroom_weight: Annotated[float, Field(ge=0, le=100)] = 1.0
    lookup_lifetime_s: Annotated[int, Field(ge=1, le=300)] = 5
    lookup_hosts: Annotated[int, Field(ge=1, le=64)] = 4
    max_wait_ms: Annotated[int, Field(ge=0, le=30_000)] = 500


class Route(Spec):
    """Mapping of the paths with a prefix to a pool.

    An ``open`` route needs no key. With ``safe_methods_only``, PUT and DELETE requests
    are sent to a server at most once; requests with other unsafe methods always are.
    """

    prefix: Annotated[str, Field(pattern=r"^/")]
    pool: Name
    policy: Name = "default"
    open: bool = False
    timeout_ms: Annotated[int, Field(ge=1, le=MAX_TIMEOUT_MS)] = 10_000
    safe_methods_only: bool = True
    claims: bool = True
    expected_request_bytes: Annotated[int, Field(ge=0)] = 1_000
    expected_answer_bytes: Annotated[int, Field(ge=0)] = 16_000


class Customer(Spec):
    """Customer, with its rate (requests a second), burst and weight in contention."""

    rate: Annotated[float, Field(gt=0, le=10_000_000)]
    burst: Annotated[float, Field(ge=1, le=10_000_000)]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class Key(Spec):
    """API key of a customer; only the digest of its secret is stored."""

    customer: Name
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    withdrawn: bool = False


class Drain(Spec):
    """Drain of a server, a data centre's servers or an entry host.

    No new requests are sent to drained servers, and look-ups do not return a drained
    host.
    """

    server: Name | None = None
    data_centre: Name | None = None
    host: Name | None = None
    reason: str = ""


class Member(Spec):
    """Incarnation of an entry host, with its location and addresses."""

    host: Name
    incarnation: str
    region: Name
    data_centre: Name
    peer: Address
    caller: Address
    leaving: bool = False

    @property
    def identity(self) -> str:
        """Return the identity of this incarnation, which no other has."""
        return f"{self.host}/{self.incarnation}"


class PastRoster(Spec):
    """Older generation of the roster that some member may still use."""

    generation: int
    members: list[Member]


class DepartedMember(Spec):
    """Incarnation removed without its consent, which may still use its shares."""

    identity: str
    last_generation: int


class Roster(Spec):
    """Members of the fleet; their shares are computed from this object alone."""

    generation: int = 0
    members: list[Member] = Field(default_factory=list)
    unsettled: list[PastRoster] = Field(default_factory=list)
    departed: list[DepartedMember] = Field(default_factory=list)


class Claim(Spec):
    """Reservation of an idempotency key for one attempt."""

    customer: Name
    expires_unix_s: float


class AuditRecord(Spec):
    """Record of one change: author, object, action, revisions and time."""

    author: str
    kind: str
    object: str
    action: str
    from_revision: int
    to_revision: int
    unix_s: float
    recorded_by: str = ""


class HostStatus(Spec):
    """Status of an entry host: what it has in force and the problems of its view."""

    host: str
    incarnation: str
    region: str
    revision: int
    since_unix_s: float
    isolation: str
    generation: int
    problems: list[str] = Field(default_factory=list)


KINDS: dict[str, type[Spec]] = {
    model.__name__: model
    for model in (
        Region,
        DataCentre,
        Link,
        Pool,
        BackendServer,
        SteeringPolicy,
        Route,
        Customer,
        Key,
        Drain,
        Roster,
        Claim,
        AuditRecord,
        HostStatus,
    )
}
SYSTEM_KINDS = ("Roster", "Claim", "AuditRecord", "HostStatus")
OPERATOR_KINDS = tuple(kind for kind in KINDS if kind not in SYSTEM_KINDS)
VIEW_KINDS = (*OPERATOR_KINDS, "Roster")
ROSTER_NAME = "fleet"


def parse_spec(obj: StoredObject) -> Spec:
    """Validate the spec of an object.

    :returns: the spec as an instance of the model of its kind.
    :raises UnknownKind: when the kind does not exist.
    :raises InvalidObject: when the spec does not validate; the message lists every
        invalid field.
    """
    model = KINDS.get(obj.kind)
    if model is None:
        raise UnknownKind(
            f"Kind {obj.kind} does not exist.", f"Use one of {', '.join(KINDS)}."
        )
    try:
        return model.model_validate(obj.spec)
    except ValidationError as exc:
        errors = [
            f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
            for error in exc.errors()
        ]
        raise InvalidObject(
            f"{obj.kind} {obj.name} is not valid: {'; '.join(errors)}.",
            "Correct these fields and apply the object again.",
        ) from exc
