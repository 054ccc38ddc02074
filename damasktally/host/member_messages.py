"""Messages to the member actor."""

from dataclasses import dataclass

from damasktally.peers.peer_pb2 import HeartbeatAnswer


@dataclass(frozen=True, slots=True)
class MemberTick:
    """Timer message that triggers the periodic work."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view changed, and its roster may have changed too."""


@dataclass(frozen=True, slots=True)
class LoanNeeded:
    """Requests wait for tokens of a limit, so a loan from peers is needed.

    :param limit: name of the limit.
    :param amount: tokens that are missing.
    """

    limit: str
    amount: float


@dataclass(frozen=True, slots=True)
class HeartbeatCompleted:
    """A heartbeat to a peer was answered, or failed.

    :param address: address that the heartbeat was sent to.
    :param identity: identity of the peer, empty for a seed whose identity is unknown.
    :param sequence: sequence number of the heartbeat.
    :param sent_at: when the heartbeat was sent, in seconds.
    :param answer: the peer's answer, or ``None`` when none arrived.
    """

    address: str
    identity: str
    sequence: int
    sent_at: float
    answer: HeartbeatAnswer | None
