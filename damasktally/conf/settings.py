"""Define the settings of a host with defaults, units and limits."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from damasktally.resources.kinds import Address, Name

Seconds = Annotated[float, Field(gt=0, le=3600)]


class Section(BaseModel):
    """One section of the settings file; unknown options are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class HostSection(Section):
    """Name and location of this host."""

    name: Name
    region: Name
    data_centre: Name


class CallerSection(Section):
    """Port for callers."""

    address: Address
    threads: Annotated[int, Field(ge=4, le=1024)] = 48


class PeerSection(Section):
    """Port for other hosts of the fleet.

    ``seeds`` are addresses of peers, separated by commas, which the host queries when
    the platform is down at start.
    """

    address: Address
    credential: Annotated[str, Field(min_length=16)]
    seeds: list[Address] = Field(default_factory=list)

    @field_validator("seeds", mode="before")
    @classmethod
    def _split_addresses(cls, value: object) -> object:
        if isinstance(value, str):
            return [part.strip() for part in value.split(",") if part.strip()]
        return value


class AdminSection(Section):
    """Port for operators; a token is required unless the address is on loopback."""

    address: Address
    token: str = ""


class PlatformSection(Section):
    """Address of the platform, and the timeouts and rate limit of calls to it."""

    url: Annotated[str, Field(pattern=r"^https?://")]
    region: Name
    timeout_s: Seconds = 5.0
    probe_timeout_s: Seconds = 0.6
    watch_wait_s: Seconds = 0.5
    calls_per_s: Annotated[float, Field(gt=0, le=1000)] = 20.0


class IsolationSection(Section):
    """Handling of keyed requests while withdrawals of keys may be missed."""

    keyed: Literal["refuse", "serve"] = "refuse"
    bound_s: Seconds = 3.0


class MembershipSection(Section):
    """Timing of the failure detector."""

    heartbeat_s: Seconds = 1.0
    fence_s: Seconds = 3.0
    margin_s: Seconds = 0.5


class ForwardingSection(Section):
    """Options that apply to all routes."""

    longest_request_s: Seconds = 30.0
    probe_interval_s: Seconds = 2.0
    stop_wait_s: Seconds = 40.0


class LoggingSection(Section):
    """Destination of log events: a file, or ``-`` for standard error."""

    destination: str = "-"


class Settings(Section):
    """All settings of one host."""

    host: HostSection
    caller: CallerSection
    peer: PeerSection
    admin: AdminSection
    platform: PlatformSection
    isolation: IsolationSection = IsolationSection()
    membership: MembershipSection = MembershipSection()
    forwarding: ForwardingSection = ForwardingSection()
    logging: LoggingSection = LoggingSection()
