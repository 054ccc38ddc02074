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
    _peer_confirmed_at: dict[str, float] = field(default_factory=dict)
    _store_confirmed_at: float = -inf

    def record_roster_read(self, sent_at: float, is_member: bool) -> None:
        """Record a read of the roster.

        :param sent_at: when the question was sent; the answer may be late.
        :param is_member: whether the roster named this incarnation.
        """
        if is_member:
            self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def record_peer_confirmation(self, peer: str, sent_at: float) -> None:
        """Record that a peer's incarnation confirmed this host.

        :param sent_at: when the question was sent.
        """
        self._peer_confirmed_at[peer] = max(
            self._peer_confirmed_at.get(peer, -inf), sent_at
        )

    def confirmed_at(self, rosters: Iterable[RosterView], now: float) -> float:
        """Return since when this host's place is confirmed, or minus infinity.

        :param window: every generation that may be in use.
        :param now: seconds.
        """
        majority_times = [
            self._majority_confirmed_at(roster, now) for roster in rosters
        ]
        peers_confirmed_at = min(majority_times, default=-inf)
        return max(self._store_confirmed_at, peers_confirmed_at)

    def _majority_confirmed_at(self, roster: RosterView, now: float) -> float:
        times = []
        for identity in roster.by_identity:
            if identity == self.identity:
                times.append(now)
            else:
                times.append(self._peer_confirmed_at.get(identity, -inf))
        majority = len(roster.members) // 2 + 1
        if len(times) < majority:
            return -inf
        times.sort(reverse=True)
        return times[majority - 1]


@dataclass
class MembershipVoter:
    """Answer peers who ask for a confirmation, or for a vote against another.

    :param started_at: when this process started; it has forgotten its promises.
    :param hold_s: seconds for which a confirmation is a promise, margin included.
    """

    started_at: float
    hold_s: float
    _confirmed_at: dict[str, float] = field(default_factory=dict)
    _agreed_generations: dict[str, int] = field(default_factory=dict)
    _first_seen_at: dict[str, float] = field(default_factory=dict)

    def confirm(self, identity: str, roster: RosterView | None, now: float) -> bool:
        """Confirm a member, unless this host vouched for its removal.

        A roster of a later generation that still names the member shows that the
        removal this host vouched for can no longer be accepted.
        """
        if roster is None or identity not in roster.by_identity:
            return False
        agreed_generation = self._agreed_generations.get(identity)
        if agreed_generation is not None and roster.generation <= agreed_generation:
            return False
        self._agreed_generations.pop(identity, None)
        self._confirmed_at[identity] = now
        return True

    def agree_to_removal(self, identity: str, generation: int, now: float) -> bool:
        """Tell whether this host agrees that a member is to be removed.

        :param generation: the generation from which it would be removed.
        """
        if now < self.started_at + self.hold_s:
            return False
        if now < self._confirmed_at.get(identity, -inf) + self.hold_s:
            return False
        self._agreed_generations[identity] = generation
        return True

    def find_suspects(
        self, roster: RosterView, own_identity: str, now: float
    ) -> list[str]:
        """Return the members that this host has not heard for the hold time."""
        self._update_first_seen(roster, now)
        if now < self.started_at + self.hold_s:
            return []
        return [
            identity
            for identity in roster.by_identity
            if identity != own_identity
            and now >= self._last_active_at(identity) + self.hold_s
        ]

    def _update_first_seen(self, roster: RosterView, now: float) -> None:
        """Remember since when each member is known: a new one needs time to speak."""
        previous = self._first_seen_at
        self._first_seen_at = {
            identity: previous.get(identity, now) for identity in roster.by_identity
        }

    def _last_active_at(self, identity: str) -> float:
        return max(
            self._confirmed_at.get(identity, -inf), self._first_seen_at[identity]
        )
