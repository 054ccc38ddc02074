"""Record typed events of a run by callers, backend servers and operators.

All moments are in seconds of the clock that counts from the machine's boot.
"""

from dataclasses import dataclass, field
from threading import Lock


@dataclass(frozen=True, slots=True)
class RequestRun:
    """Run of a request on a backend server.

    :param customer: the customer that the host named in the request.
    :param has_secret: whether a header or the target contained a secret.
    :param host: the entry host that sent the request.
    :param is_complete: whether the whole request was received.
    """

    request_id: str
    customer: str
    server: str
    host: str
    method: str
    idempotency_key: str
    started_at: float
    ended_at: float
    bytes_in: int
    bytes_out: int
    has_secret: bool
    is_complete: bool


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request as its caller saw it.

    :param customer: the customer whose key the caller sent; empty without a key.
    :param key_name: the name of that key.
    :param outcome: ``not-run`` or ``unknown`` when it was refused.
    :param is_complete: whether the response was the complete one to this request.
    :param connection_failed: whether the connection could not be opened or broke.
    """

    request_id: str
    customer: str
    key_name: str
    host: str
    status: int
    outcome: str
    reason: str
    sent_at: float
    ended_at: float
    is_complete: bool
    connection_failed: bool


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """Withdrawal of a key, at the moment when the platform accepted it."""

    key_name: str
    customer: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class ServerDrain:
    """Drain of a backend server, at the moment when the platform accepted it."""

    server: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class RevisionSample:
    """Sample of the revision that a host has in force."""

    host: str
    revision: int
    sampled_at: float


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Change of configuration, at the moment when the platform accepted it."""

    revision: int
    accepted_at: float


@dataclass(frozen=True, slots=True)
class HostShutdown:
    """Planned stop of a host, from the request until the process has ended."""

    host: str
    requested_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a customer: requests per second, and a burst in requests."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class LinkLimit:
    """Limit of a directed link: bytes per second, and a burst in bytes."""

    rate: float
    burst: float


@dataclass
class RunLimits:
    """Limits that a run must keep.

    :param customers: rate limit by customer.
    :param slots: slots by server.
    :param links: limit by source and target region.
    :param region_of: region by host and by server.
    :param max_enforcement_delay_s: seconds until a withdrawal or a drain must be in
        force.
    :param max_config_delay_s: seconds until a configuration must be in force
        everywhere.
    :param max_queue_wait_s: seconds that an admitted request may wait before it
        starts.
    :param max_link_lag_s: seconds by which bytes may cross a link after their
        tokens were taken.
    """

    customers: dict[str, RateLimit] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    links: dict[tuple[str, str], LinkLimit] = field(default_factory=dict)
    region_of: dict[str, str] = field(default_factory=dict)
    max_enforcement_delay_s: float = 3.0
    max_config_delay_s: float = 6.0
    max_queue_wait_s: float = 0.5
    max_link_lag_s: float = 0.1


@dataclass
class History:
    """Events of a run, recorded from several threads."""

    limits: RunLimits = field(default_factory=RunLimits)
    runs: list[RequestRun] = field(default_factory=list)
    results: list[RequestResult] = field(default_factory=list)
    withdrawals: list[KeyWithdrawal] = field(default_factory=list)
    drains: list[ServerDrain] = field(default_factory=list)
    revision_samples: list[RevisionSample] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    shutdowns: list[HostShutdown] = field(default_factory=list)
    _lock: Lock = field(default_factory=Lock)

    def add(self, event: object) -> None:
        """Record an event."""
        lists_by_type = {
            RequestRun: self.runs,
            RequestResult: self.results,
            KeyWithdrawal: self.withdrawals,
            ServerDrain: self.drains,
            RevisionSample: self.revision_samples,
            ConfigurationChange: self.changes,
            HostShutdown: self.shutdowns,
        }
        with self._lock:
            lists_by_type[type(event)].append(event)
