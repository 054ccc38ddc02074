"""What hosts ask of the lease manager of a backend server, and what it decides."""

from dataclasses import dataclass
from enum import Enum

LeaseKey = tuple[str, int, int]
"""Host, start of its process in Unix milliseconds, and number of the request."""


class LeaseOutcome(Enum):
    """What the manager decides about a request. The value is on the wire."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    NOT_MANAGER = 3


class DropCause(Enum):
    """Why a message is not taken into account. The value is a label of a metric."""

    OLD_START = "old-start"
    """It is from an earlier process of its sender than one that is known."""
    REPLAYED = "replayed"
    """It asks for a lease that has ended already."""


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """What a host asks for. Times are in seconds.

    :param key: identifies the request.
    :param server: id of the server.
    :param server_started_ms: start of its process in Unix milliseconds.
    :param slots: requests that it processes at once.
    :param priority: 0 is the most urgent.
    :param customer: name, or an empty string if there is none.
    :param wait_s: how long the request may wait.
    :param run_s: how long it is expected to run.
    """

    key: LeaseKey
    server: str
    server_started_ms: int
    slots: int
    priority: int
    customer: str
    wait_s: float
    run_s: float


@dataclass(frozen=True, slots=True)
class LeaseDecision:
    """Decision that is sent to the host that asked.

    :param wait_s: expected time until the server has room for the request; if it was
        granted, for how long it waited.
    :param ahead: how many requests waited ahead of it when it arrived.
    """

    key: LeaseKey
    outcome: LeaseOutcome
    wait_s: float = 0.0
    ahead: int = 0
