"""Confirm this host's own membership, and vote on that of others.

A host uses its shares only for a limited time (the fence time) after its place in
the roster was confirmed: by the store, or by a majority of each roster generation in
use. A host that confirmed a member does not agree to its removal until the fence
time and a margin, together the hold time, have passed. A majority that confirms a
member and a majority that removes it have a host in common, so that a member is
never confirmed and removed at the same time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from damasktally.escrow.shares import RosterView


@dataclass
class MembershipConfirmation:
    """Track up to which time this host's place in the roster is confirmed.

    :param identity: this host's incarnation.
    """

    identity: str
    _peer_confirmed_at: dict[str, float] = field(default_factory=dict)
    _store_confirmed_at: float = -inf

    def record_roster_read(self, sent_at: float, is_member: bool) -> None:
        """Record a read of the roster from the store.

        :param sent_at: when the request was sent, since its answer may be late.
        :param is_member: whether the roster lists this incarnation.
        """
        if is_member:
            self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def record_peer_confirmation(self, peer: str, sent_at: float) -> None:
        """Record that a peer confirmed this host.

        :param peer: the peer's incarnation.
        :param sent_at: when the request was sent, since its answer may be late.
        """
        self._peer_confirmed_at[peer] = max(
            self._peer_confirmed_at.get(peer, -inf), sent_at
        )

    def confirmed_at(self, rosters: Iterable[RosterView], now: float) -> float:
        """Return when this host's place was confirmed last, or minus infinity.

        :param rosters: every roster generation that may be in use.
        :param now: the time, in seconds.
        """
        majority_times = [
            self._majority_confirmed_at(roster, now) for roster in rosters
        ]
        peers_confirmed_at = min(majority_times, default=-inf)
        return max(self._store_confirmed_at, peers_confirmed_at)

    def _majority_confirmed_at(self, roster: RosterView, now: float) -> float:
        """Return since when a majority of a roster, this host included, confirms."""
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
    """Confirm members that ask for it, and vote on the removal of silent ones.

    :param started_at: when this process started, in seconds. For one hold time it
        agrees to no removal, because what an earlier process confirmed is lost.
    :param hold_s: hold time, in seconds: how long a confirmation is binding, the margin
        included.
    """

    started_at: float
    hold_s: float
    _confirmed_at: dict[str, float] = field(default_factory=dict)
    _agreed_generations: dict[str, int] = field(default_factory=dict)
    _first_seen_at: dict[str, float] = field(default_factory=dict)

    def confirm(self, identity: str, roster: RosterView | None, now: float) -> bool:
        """Confirm a member, unless this host agreed to its removal.

        If a roster of a later generation than the agreement still lists the member,
        that removal can no longer be accepted, and the agreement is void.

        :param roster: the newest roster that this host knows.
        :param now: the time, in seconds.
        :returns: whether the member is confirmed.
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
        """Agree to the removal of a member, unless a confirmation is still binding.

        :param generation: the roster generation that it would be removed from.
        :param now: the time, in seconds.
        :returns: whether this host agrees; it then no longer confirms the member.
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
        """Return the members that this host has not confirmed for the hold time.

        A new member has the hold time, from when it is first seen, to ask.
        """
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
        """Record since when each member is known, as a new one needs time to ask."""
        previous = self._first_seen_at
        self._first_seen_at = {
            identity: previous.get(identity, now) for identity in roster.by_identity
        }

    def _last_active_at(self, identity: str) -> float:
        return max(
            self._confirmed_at.get(identity, -inf), self._first_seen_at[identity]
        )
