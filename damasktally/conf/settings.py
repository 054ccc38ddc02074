"""Define every setting with its default, unit and limits."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from damasktally.resources.kinds import Address, Name

Seconds = Annotated[float, Field(gt=0, le=3600)]


class Section(BaseModel):
    """Stand for one section of the file; unknown options are refused."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class HostSection(Section):
    """Say which host this is and where."""

    name: Name
    region: Name
    data_centre: Name


class CallerSection(Section):
    """Set the port for callers."""

    address: Address
    threads: Annotated[int, Field(ge=4, le=1024)] = 48


class PeerSection(Section):
    """Set the port for other hosts of the fleet.

    ``seeds`` are peers to ask when the platform is down at start, separated by
    commas.
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
    """Set the port for operators; a token is needed unless it is on loopback."""

    address: Address
    token: str = ""


class PlatformSection(Section):
    """Say where the platform is and how much of it this host may use."""

    url: Annotated[str, Field(pattern=r"^https?://")]
    region: Name
    timeout_s: Seconds = 5.0
    probe_timeout_s: Seconds = 0.6
    watch_wait_s: Seconds = 0.5
    calls_per_s: Annotated[float, Field(gt=0, le=1000)] = 20.0


class IsolationSection(Section):
    """Say what to do with keys when withdrawals may be missed."""

    keyed: Literal["refuse", "serve"] = "refuse"
    bound_s: Seconds = 3.0


class MembershipSection(Section):
    """Set the times of the failure detector."""

    heartbeat_s: Seconds = 1.0
    fence_s: Seconds = 3.0
    margin_s: Seconds = 0.5


class ForwardingSection(Section):
    """Set what holds for all routes."""

    longest_request_s: Seconds = 30.0
    probe_interval_s: Seconds = 2.0
    stop_wait_s: Seconds = 40.0


class LoggingSection(Section):
    """Say where events go: ``-`` is standard error."""

    destination: str = "-"


class Settings(Section):
    """Hold all settings of one host."""

    host: HostSection
    caller: CallerSection
    peer: PeerSection
    admin: AdminSection
    platform: PlatformSection
    isolation: IsolationSection = IsolationSection()
    membership: MembershipSection = MembershipSection()
    forwarding: ForwardingSection = ForwardingSection()
    logging: LoggingSection = LoggingSection()
