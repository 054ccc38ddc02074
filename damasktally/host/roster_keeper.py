"""Roster keeper actor: joins, removes failed members and prunes old generations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from secrets import token_hex

from damasktally.clock import Clock
from damasktally.events import emit
from damasktally.events.catalogue import REJOINING, ROSTER_JOINED, ROSTER_REMOVED
from damasktally.host.actor import HostActor
from damasktally.host.fleet import FleetState, new_incarnation
from damasktally.membership.roster import add_member, prune_history, remove_members
from damasktally.objects import NotFound, ObjectStore, StoredObject, StoreError
from damasktally.resources.exceptions import InvalidObject
from damasktally.resources.kinds import ROSTER_NAME, Roster, parse_spec

INITIAL_BACKOFF_S = 0.5
"""Seconds before the first retry of a failed write; doubled after each failure."""
MAX_BACKOFF_S = 5.0
"""Upper bound of the seconds before the next retry, before jitter."""


@dataclass(frozen=True, slots=True)
class RosterTick:
    """Timer message that triggers the periodic maintenance of the roster."""


@dataclass(frozen=True, slots=True)
class LeaveRoster:
    """Request to remove this host from the roster.

    :param consented: whether the host no longer uses its shares and has nothing lent.
    """

    consented: bool


@dataclass
class RemovalVotes:
    """Votes of members on the removal of others, within one roster generation.

    :param generation: generation that the votes apply to, or -1 before the first round.
    :param voters_by_suspect: identities that agreed, by the identity to be removed.
    """

    generation: int = -1
    voters_by_suspect: dict[str, set[str]] = field(default_factory=dict)

    def start_round(self, generation: int, suspects: Iterable[str]) -> None:
        """Set the members to vote on and discard votes of another generation.

        :param generation: the newest roster generation.
        :param suspects: identities of the members that this host proposes to remove.
        """
        if generation != self.generation:
            self.generation = generation
            self.voters_by_suspect = {}
        self.voters_by_suspect = {
            identity: self.voters_by_suspect.get(identity, set())
            for identity in suspects
        }

    def record_agreement(self, voter: str, identities: Iterable[str]) -> None:
        """Record that a member agreed to some removals.

        :param voter: identity of the member that agreed.
        :param identities: members to be removed; those not voted on are ignored.
        """
        for identity in identities:
            if identity in self.voters_by_suspect:
                self.voters_by_suspect[identity].add(voter)

    def select_agreed(self, rosters: Iterable[frozenset[str]]) -> list[str]:
        """Return the members that a majority of every roster agrees to remove.

        :param rosters: the identities of each roster in use.
        """
        member_sets = list(rosters)
        return [
            identity
            for identity, voters in self.voters_by_suspect.items()
            if member_sets
            and all(
                len(voters & members) > len(members) // 2 for members in member_sets
            )
        ]


@dataclass
class RosterDependencies:
    """Components of the host that the roster keeper uses.

    :param clock: monotonic time in seconds.
    :param on_rejoin: called after this host started a new incarnation.
    """

    fleet: FleetState
    store: ObjectStore
    clock: Clock
    rng: Random
    on_rejoin: Callable[[], None]
    votes: RemovalVotes = field(default_factory=RemovalVotes)


class RosterKeeper(HostActor):
    """Actor that writes this host's changes to the roster, one at a time."""

    def __init__(self, dependencies: RosterDependencies) -> None:
        super().__init__()
        self._deps = dependencies
        self._next_attempt_at = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    def handle(self, message: object) -> bool:
        """Leave the roster, or maintain it unless a retry must still wait.

        :returns: whether the roster was left, for :class:`LeaveRoster`; else true.
        """
        if isinstance(message, LeaveRoster):
            return self._leave(message.consented)
        if self._deps.clock() >= self._next_attempt_at and not self._deps.fleet.leaving:
            self._maintain_roster()
        return True

    def _maintain_roster(self) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            is_member = fleet.is_member
            was_removed = fleet.was_removed
        if was_removed:
            emit(REJOINING, host=fleet.own_member.host)
            with fleet.lock:
                fleet.rejoin(new_incarnation())
            self._deps.on_rejoin()
        if not is_member:
            self._write_change(
                lambda roster: add_member(roster, fleet.own_member), ROSTER_JOINED
            )
            return
        self._remove_silent_members()
        self._prune_history()

    def _remove_silent_members(self) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            now = fleet.clock()
            view = fleet.rate_window.current
            suspects = fleet.voter.find_suspects(view, fleet.identity, now)
            if not self._is_first_live_member(set(suspects)):
                suspects = []
            self._deps.votes.start_round(fleet.roster.generation, suspects)
            own_votes = [
                identity
                for identity in suspects
                if fleet.voter.agree_to_removal(identity, fleet.roster.generation, now)
            ]
            self._deps.votes.record_agreement(fleet.identity, own_votes)
            rosters = [
                frozenset(roster.by_identity)
                for roster in fleet.rate_window.rosters_in_use(now)
            ]
            agreed = self._deps.votes.select_agreed(rosters)
            generation = fleet.roster.generation
        if not agreed:
            return

        def remove(roster: Roster) -> Roster:
            if roster.generation != generation:
                return roster
            return remove_members(roster, agreed, consented=False)

        self._write_change(remove, ROSTER_REMOVED, members=agreed)

    def _prune_history(self) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            now = fleet.clock()
            roster = fleet.roster
            if not self._is_first_live_member(set()) or not (
                roster.unsettled or roster.departed
            ):
                return
            if not (
                fleet.rate_window.is_settled(now) and fleet.slot_window.is_settled(now)
            ):
                return
        generation = roster.generation

        def prune(roster: Roster) -> Roster:
            if roster.generation != generation:
                return roster
            return prune_history(roster, generation, [])

        self._write_change(prune, None)

    def _is_first_live_member(self, suspects: set[str]) -> bool:
        """Return whether this host is the first member that is not suspected.

        Only that member writes, so that members do not compete for the same change.
        """
        fleet = self._deps.fleet
        live_members = [
            member.identity
            for member in fleet.roster.members
            if member.identity not in suspects
        ]
        return bool(live_members) and live_members[0] == fleet.identity

    def _leave(self, consented: bool) -> bool:
        fleet = self._deps.fleet
        return self._write_change(
            lambda roster: remove_members(roster, [fleet.identity], consented), None
        )

    def _write_change(
        self,
        change: Callable[[Roster], Roster],
        event: object,
        **fields: object,
    ) -> bool:
        """Read the roster, change it, and write it unless it changed in the meantime.

        :param change: returns the changed roster, or the same one to write nothing.
        :param event: logged after the write with ``fields``, unless it is ``None``.
        :returns: whether the stored roster holds the change now.
        """
        try:
            stored = self._read_roster()
            before = parse_spec(stored)
            after = change(before)
            if after == before:
                self._apply_roster(after)
                return True
            changes = {
                "spec": after.model_dump(),
                "nonce": token_hex(8),
                "author": f"host:{self._deps.fleet.own_member.host}",
            }
            self._deps.store.put(stored.model_copy(update=changes), "roster")
        except (StoreError, InvalidObject):
            # The next attempt resolves a lost response: it reads the roster again, and
            # a change that took effect has no effect a second time.
            self._back_off()
            return False
        self._backoff_s = INITIAL_BACKOFF_S
        self._apply_roster(after)
        if event is not None:
            emit(event, host=self._deps.fleet.own_member.host, **fields)
        return True

    def _read_roster(self) -> StoredObject:
        try:
            return self._deps.store.get("Roster", ROSTER_NAME, "roster")
        except NotFound:
            return StoredObject(
                kind="Roster", name=ROSTER_NAME, spec=Roster().model_dump()
            )

    def _apply_roster(self, roster: Roster) -> None:
        # The roster is not added to the view here, as the view may still lack older
        # changes. The watch delivers it in the order of revisions.
        with self._deps.fleet.lock:
            self._deps.fleet.apply_roster(roster)

    def _back_off(self) -> None:
        self._next_attempt_at = (
            self._deps.clock() + self._backoff_s * self._deps.rng.uniform(0.5, 1.5)
        )
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
