"""Store what each peer last reported of its demand and spare tokens, by limit."""

from collections.abc import Iterable
from dataclasses import dataclass, field

HINT_TTL_S = 3.0
"""Seconds for which what a peer reported is used."""


@dataclass(frozen=True, slots=True)
class SpareHint:
    """Represent a peer's demand for a limit and what it could lend of it.

    :param limit: name of the limit.
    :param demand: units a second that the peer's callers request.
    :param tokens: units that the peer could lend when it sent the report.
    """

    limit: str
    demand: float
    tokens: float


@dataclass
class HintTable:
    """Store the last hints of each peer until they expire.

    A peer reports no hint for a limit that is idle there. The absence of a hint in a
    peer's report therefore means that it has no demand and all tokens of its share.
    """

    _hints: dict[str, dict[str, SpareHint]] = field(default_factory=dict)
    _received_at: dict[str, float] = field(default_factory=dict)

    def record(self, peer: str, hints: Iterable[SpareHint], now: float) -> None:
        """Replace the hints of a peer.

        :param peer: identity of the peer's incarnation.
        :param hints: all hints of its last report.
        :param now: seconds.
        """
        self._hints[peer] = {hint.limit: hint for hint in hints}
        self._received_at[peer] = now

    def lower_tokens(
        self, peer: str, limit: str, tokens: float, known_tokens: float
    ) -> None:
        """Subtract requested tokens from a hint, so that no other request counts them.

        :param tokens: units that are requested from the peer.
        :param known_tokens: units that the peer was assumed to have before.
        """
        before = self._hints[peer].get(limit)
        demand = before.demand if before is not None else 0.0
        hint = SpareHint(limit, demand, max(0.0, known_tokens - tokens))
        self._hints[peer][limit] = hint

    def remove(self, peer: str) -> None:
        """Remove the hints of a peer that does not answer."""
        self._hints.pop(peer, None)
        self._received_at.pop(peer, None)

    def recent_peers(self, now: float) -> list[str]:
        """Return the identities of the peers whose hints have not expired."""
        return [
            peer
            for peer, received_at in self._received_at.items()
            if now - received_at <= HINT_TTL_S
        ]

    def find(self, peer: str, limit: str) -> SpareHint | None:
        """Return a peer's hint for a limit, or ``None`` if its report held none."""
        return self._hints.get(peer, {}).get(limit)
