"""Record typed events of a run, from callers, backend servers and operators."""

from dataclasses import dataclass, field
from threading import Lock


@dataclass(frozen=True, slots=True)
class Ran:
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
    key_seen: bool
    complete: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """Record what a caller got.

    :param customer: whose key the caller sent; empty without one.
    :param key: the name of that key.
    :param outcome: ``not-run`` or ``unknown`` when it was refused.
    :param whole: whether the answer was the whole answer to this request.
    :param cut: whether the connection broke.
    """

    request_id: str
    customer: str
    key: str
    host: str
    status: int
    outcome: str
    reason: str
    sent_at: float
    ended_at: float
    whole: bool
    connection_failed: bool


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Record when the platform accepted that a key is withdrawn."""

    key: str
    customer: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class Drained:
    """Record when the platform accepted that a server is drained."""

    server: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class InForce:
    """Record a sample of the revision that a host has in force."""

    host: str
    revision: int
    sampled_at: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """Record that the platform accepted a change of configuration."""

    revision: int
    accepted_at: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """Record that a host was asked for a planned stop."""

    host: str
    asked_at: float
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
class Limits:
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
    within_s: float = 3.0
    config_within_s: float = 6.0
    queue_s: float = 0.5
    link_lag_s: float = 0.1


@dataclass
class History:
    """Collect events from many threads."""

    limits: Limits = field(default_factory=Limits)
    runs: list[Ran] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    withdrawn: list[Withdrawn] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    accepted: list[Accepted] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    _lock: Lock = field(default_factory=Lock)

    def add(self, event: object) -> None:
        """Record an event."""
        lists = {
            Ran: self.runs,
            Answered: self.answered,
            Withdrawn: self.withdrawn,
            Drained: self.drained,
            InForce: self.in_force,
            Accepted: self.accepted,
            Stopped: self.stopped,
        }
        with self._lock:
            lists[type(event)].append(event)
