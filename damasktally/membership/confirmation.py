"""Confirm this host's own membership, and answer for that of others.

A host spends only while its place in the roster was confirmed less than a hold
time ago: by the store, or by a majority of each roster generation in use. Whoever
confirms a member will not vouch for its removal until the hold time and a margin
have passed. A majority that confirms and one that removes share a host, so a
member is never both.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from damasktally.escrow.shares import RosterView


@dataclass
class MembershipConfirmation:
    """Track until when this host's place in the roster is confirmed.

    :param identity: this host's incarnation.
    """

    identity: str
    _by_peer: dict[str, float] = field(default_factory=dict)
    _by_store: float = -inf

    def record_roster_read(self, sent_at: float, is_member: bool) -> None:
        """Record a read of the roster.

        :param sent_at: when the question was sent; the answer may be late.
        :param is_member: whether the roster named this incarnation.
        """
        if is_member:
            self._by_store = max(self._by_store, sent_at)

    def record_peer_confirmation(self, peer: str, sent_at: float) -> None:
        """Record that a peer's incarnation confirmed this host.

        :param sent_at: when the question was sent.
        """
        self._by_peer[peer] = max(self._by_peer.get(peer, -inf), sent_at)

    def confirmed_at(self, window: Iterable[RosterView], now: float) -> float:
        """Return since when this host's place is confirmed, or minus infinity.

        :param window: every generation that may be in use.
        :param now: seconds.
        """
        majorities = [self._majority_at(roster, now) for roster in window]
        by_peers = min(majorities, default=-inf)
        return max(self._by_store, by_peers)

    def _majority_at(self, roster: RosterView, now: float) -> float:
        times = []
        for identity in roster.by_identity:
            if identity == self.identity:
                times.append(now)
            else:
                times.append(self._by_peer.get(identity, -inf))
        needed = len(roster.members) // 2 + 1
        if len(times) < needed:
            return -inf
        times.sort(reverse=True)
        return times[needed - 1]


@dataclass
class MembershipVoter:
    """Answer peers who ask for a confirmation, or for a vote against another.

    :param started_at: when this process started; it has forgotten its promises.
    :param hold_s: seconds for which a confirmation is a promise, margin included.
    """

    started_at: float
    hold_s: float
    _confirmed: dict[str, float] = field(default_factory=dict)
    _against: dict[str, int] = field(default_factory=dict)
    _first_seen: dict[str, float] = field(default_factory=dict)

    def confirm(self, identity: str, roster: RosterView | None, now: float) -> bool:
        """Confirm a member, unless this host vouched for its removal.

        A roster of a later generation that still names the member shows that the
        removal this host vouched for can no longer be accepted.
        """
        if roster is None or identity not in roster.by_identity:
            return False
        vouched = self._against.get(identity)
        if vouched is not None and roster.generation <= vouched:
            return False
        self._against.pop(identity, None)
        self._confirmed[identity] = now
        return True

    def agree_to_removal(self, identity: str, generation: int, now: float) -> bool:
        """Tell whether this host agrees that a member is to be removed.

        :param generation: the generation from which it would be removed.
        """
        if now < self.started_at + self.hold_s:
            return False
        if now < self._confirmed.get(identity, -inf) + self.hold_s:
            return False
        self._against[identity] = generation
        return True

    def find_suspects(self, roster: RosterView, own: str, now: float) -> list[str]:
        """Return the members that this host has not heard for the hold time."""
        self._note_members(roster, now)
        if now < self.started_at + self.hold_s:
            return []
        return [
            identity
            for identity in roster.by_identity
            if identity != own and now >= self._last_sign(identity) + self.hold_s
        ]

    def _note_members(self, roster: RosterView, now: float) -> None:
        """Remember since when each member is known: a new one needs time to speak."""
        known = self._first_seen
        self._first_seen = {who: known.get(who, now) for who in roster.by_identity}

    def _last_sign(self, identity: str) -> float:
        return max(self._confirmed.get(identity, -inf), self._first_seen[identity])
