"""Model the spec of every kind of object, with units and limits."""

from ipaddress import ip_network
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from damasktally.objects import StoredObject
from damasktally.resources.exceptions import InvalidObject, UnknownKind

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.\-]{0,61}[a-z0-9])?$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]

MAX_TIMEOUT_MS = 60_000


class Spec(BaseModel):
    """Stand for the spec of any kind; unknown fields are refused."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Region(Spec):
    """Name a region and its one-way latency in milliseconds to the others."""

    latency_ms: dict[Name, Annotated[float, Field(ge=0, le=10_000)]] = Field(
        default_factory=dict
    )


class DataCentre(Spec):
    """Place a data centre in a region and list the client blocks next to it."""

    region: Name
    client_blocks: list[str] = Field(default_factory=list)

    @field_validator("client_blocks")
    @classmethod
    def _validate_blocks(cls, blocks: list[str]) -> list[str]:
        for block in blocks:
            ip_network(block)
        return blocks


class Link(Spec):
    """Cap what crosses from one region to another, in one direction.

    ``reserved`` is the fraction of the cap left to traffic that is not ours.
    """

    source: Name
    target: Name
    cap_mbit: Annotated[float, Field(gt=0, le=10_000_000)]
    reserved: Annotated[float, Field(ge=0, lt=1)] = 0.1


class Pool(Spec):
    """Group backend servers that answer the same routes.

    ``shed_is_not_run`` tells that a 503 from these servers means that the request was
    shed before it ran.
    """

    probe_path: str = "/healthz"
    warmup_s: Annotated[float, Field(ge=0, le=3600)] = 10.0
    eject_fraction: Annotated[float, Field(ge=0, le=1)] = 0.5
    max_queue: Annotated[int, Field(ge=0, le=10_000)] = 64
    shed_is_not_run: bool = False


class BackendServer(Spec):
    """Describe one backend server and what it can hold at once."""

    pool: Name
    address: Address
    region: Name
    data_centre: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 3
    connections: Annotated[int, Field(ge=1, le=100_000)] = 400


class SteeringPolicy(Spec):
    """Weigh what a choice of server looks at, and set the life of look-up answers."""

    latency_weight: Annotated[float, Field(ge=0, le=100)] = 1.0
    headroom_weight: Annotated[float, Field(ge=0, le=100)] = 1.0
    lookup_lifetime_s: Annotated[int, Field(ge=1, le=300)] = 5
    lookup_hosts: Annotated[int, Field(ge=1, le=64)] = 4
    max_wait_ms: Annotated[int, Field(ge=0, le=30_000)] = 500


class Route(Spec):
    """Send paths under a prefix to a pool.

    An ``open`` route needs no key. ``safe_methods_only`` tells that even PUT and
    DELETE are sent at most once; other methods always are.
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
    """Set a customer's rate (requests a second), burst and weight in contention."""

    rate: Annotated[float, Field(gt=0, le=10_000_000)]
    burst: Annotated[float, Field(ge=1, le=10_000_000)]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class Key(Spec):
    """Let whoever knows a secret act for a customer; only the digest is kept."""

    customer: Name
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    withdrawn: bool = False


class Drain(Spec):
    """Send no new work to a server, a data centre's servers or an entry host."""

    server: Name | None = None
    data_centre: Name | None = None
    host: Name | None = None
    reason: str = ""


class Member(Spec):
    """Name an incarnation of an entry host and where it listens."""

    host: Name
    incarnation: str
    region: Name
    data_centre: Name
    peer: Address
    caller: Address
    leaving: bool = False

    @property
    def identity(self) -> str:
        """Return what tells this incarnation from all others."""
        return f"{self.host}/{self.incarnation}"


class PastRoster(Spec):
    """Keep an older generation that some member may still use."""

    generation: int
    members: list[Member]


class DepartedMember(Spec):
    """Record an incarnation that was removed without its consent."""

    identity: str
    last_generation: int


class Roster(Spec):
    """List the members, whose shares follow from this object alone."""

    generation: int = 0
    members: list[Member] = Field(default_factory=list)
    unsettled: list[PastRoster] = Field(default_factory=list)
    departed: list[DepartedMember] = Field(default_factory=list)


class Claim(Spec):
    """Reserve an idempotency key for one attempt."""

    customer: Name
    expires_unix_s: float


class AuditRecord(Spec):
    """Record one change: who, what, from and to which revision, and when."""

    author: str
    kind: str
    object: str
    action: str
    from_revision: int
    to_revision: int
    unix_s: float
    recorded_by: str = ""


class HostStatus(Spec):
    """Report what one entry host has in force."""

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
    """Validate an object's spec.

    :returns: the model of its kind.
    :raises UnknownKind: when the kind does not exist.
    :raises InvalidObject: when the spec does not validate; the message lists each
        field.
    """
    model = KINDS.get(obj.kind)
    if model is None:
        raise UnknownKind(
            f"There is no kind {obj.kind}.", f"Use one of {', '.join(KINDS)}."
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
            "Correct these fields and apply it again.",
        ) from exc
