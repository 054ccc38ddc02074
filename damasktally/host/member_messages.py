"""Describe what the member actor is told."""

from dataclasses import dataclass

from damasktally.peers.peer_pb2 import HeartbeatAnswer


@dataclass(frozen=True, slots=True)
class MemberTick:
    """Ask for the periodic work."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """Tell that the view changed, its roster perhaps too."""


@dataclass(frozen=True, slots=True)
class LoanNeeded:
    """Tell that callers wait for units of a limit."""

    limit: str
    amount: float


@dataclass(frozen=True, slots=True)
class HeartbeatCompleted:
    """Bring a peer's answer.

    :param sent_at: when the heartbeat was sent, in seconds.
    """

    address: str
    identity: str
    sequence: int
    sent_at: float
    answer: HeartbeatAnswer | None
