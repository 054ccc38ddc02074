"""Record typed events of a run, from callers, backend servers and operators."""

from dataclasses import dataclass, field
from threading import Lock


@dataclass(frozen=True, slots=True)
class RequestRun:
    """Record that a backend server worked on a request. Times are in seconds.

    :param customer: whom the host named.
    :param key_seen: whether any header or the target held a secret.
    :param host: the entry host that sent it.
    :param complete: whether the whole request arrived.
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
    """Record what a caller got.

    :param customer: whose key the caller sent; empty without one.
    :param key: the name of that key.
    :param outcome: ``not-run`` or ``unknown`` when it was refused.
    :param whole: whether the answer was the whole answer to this request.
    :param cut: whether the connection broke.
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
    """Record when the platform accepted that a key is withdrawn."""

    key_name: str
    customer: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class ServerDrain:
    """Record when the platform accepted that a server is drained."""

    server: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class RevisionSample:
    """Record a sample of the revision that a host has in force."""

    host: str
    revision: int
    sampled_at: float


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Record that the platform accepted a change of configuration."""

    revision: int
    accepted_at: float


@dataclass(frozen=True, slots=True)
class HostShutdown:
    """Record that a host was asked for a planned stop."""

    host: str
    requested_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Hold a customer's limit, in requests a second and requests."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class LinkLimit:
    """Hold a directed link's limit, in bytes a second and bytes."""

    rate: float
    burst: float


@dataclass
class RunLimits:
    """Hold what a run must stay within.

    :param slots: by server.
    :param links: by source and target region.
    :param region_of: region by host and by server.
    :param within_s: seconds for withdrawals and drains to be in force.
    :param config_within_s: seconds for a configuration to be in force everywhere.
    :param queue_s: seconds that an admitted request may wait before it starts.
    :param link_lag_s: seconds by which bytes cross after they were taken.
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
    """Collect events from many threads."""

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
