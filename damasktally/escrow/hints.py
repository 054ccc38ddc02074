"""Remember how the peers stand with each limit."""

from collections.abc import Iterable
from dataclasses import dataclass, field

HINT_TTL_S = 3.0


@dataclass(frozen=True, slots=True)
class SpareHint:
    """Tell how a peer stood with a limit when it last answered.

    :param demand: units a second that its callers ask for.
    :param tokens: units that it could lend.
    """

    limit: str
    demand: float
    tokens: float


@dataclass
class HintTable:
    """Remember what each peer said, until it is too old.

    A peer that says nothing of a limit has no callers for it, and all its tokens.
    """

    _hints: dict[str, dict[str, SpareHint]] = field(default_factory=dict)
    _received_at: dict[str, float] = field(default_factory=dict)

    def record(self, peer: str, hints: Iterable[SpareHint], now: float) -> None:
        """Replace what is known of a peer."""
        self._hints[peer] = {hint.limit: hint for hint in hints}
        self._received_at[peer] = now

    def lower_tokens(
        self, peer: str, limit: str, tokens: float, known_tokens: float
    ) -> None:
        """Lower a hint by what was asked for, so that it is not asked twice.

        :param known_tokens: tokens that the peer was believed to have.
        """
        before = self._hints[peer].get(limit)
        demand = before.demand if before is not None else 0.0
        hint = SpareHint(limit, demand, max(0.0, known_tokens - tokens))
        self._hints[peer][limit] = hint

    def remove(self, peer: str) -> None:
        """Drop what is known of a peer that no longer answers."""
        self._hints.pop(peer, None)
        self._received_at.pop(peer, None)

    def recent_peers(self, now: float) -> list[str]:
        """Return the peers that answered lately."""
        return [
            peer
            for peer, received_at in self._received_at.items()
            if now - received_at <= HINT_TTL_S
        ]

    def find(self, peer: str, limit: str) -> SpareHint | None:
        """Return what a peer said of a limit, or nothing."""
        return self._hints.get(peer, {}).get(limit)
