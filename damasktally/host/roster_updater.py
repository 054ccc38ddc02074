"""Write the roster: join, remove who a majority has not heard, drop old history."""

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

DUTY_GAP_S = 0.5
MAX_BACKOFF_S = 5.0


@dataclass(frozen=True, slots=True)
class DutyTick:
    """Ask for the periodic duties."""


@dataclass(frozen=True, slots=True)
class LeaveRoster:
    """Take this host out of the roster.

    :param consented: whether it stopped spending and nothing of it is lent.
    """

    consented: bool


@dataclass
class RemovalVotes:
    """Collect which members agree to a removal, for one generation."""

    generation: int = -1
    voters_by_suspect: dict[str, set[str]] = field(default_factory=dict)

    def start_round(self, generation: int, suspects: Iterable[str]) -> None:
        """Ask about some members; votes of another generation are void."""
        if generation != self.generation:
            self.generation = generation
            self.voters_by_suspect = {}
        self.voters_by_suspect = {
            who: self.voters_by_suspect.get(who, set()) for who in suspects
        }

    def record_agreement(self, voter: str, identities: Iterable[str]) -> None:
        """Count a peer's agreement."""
        for identity in identities:
            if identity in self.voters_by_suspect:
                self.voters_by_suspect[identity].add(voter)

    def select_agreed(self, rosters: Iterable[frozenset[str]]) -> list[str]:
        """Return who a majority of every roster agrees to remove."""
        sets = list(rosters)
        return [
            identity
            for identity, voters in self.voters_by_suspect.items()
            if sets and all(len(voters & who) > len(who) // 2 for who in sets)
        ]


@dataclass
class RosterParts:
    """Name what the roster keeper works with.

    :param on_rejoin: called when this host became a new incarnation.
    """

    fleet: FleetState
    store: ObjectStore
    clock: Clock
    rng: Random
    on_rejoin: Callable[[], None]
    votes: RemovalVotes = field(default_factory=RemovalVotes)


class RosterUpdater(HostActor):
    """Do this host's duties for the roster, one write at a time."""

    def __init__(self, parts: RosterParts) -> None:
        super().__init__()
        self._p = parts
        self._not_before = 0.0
        self._backoff_s = DUTY_GAP_S

    def handle(self, message: object) -> bool:
        """Handle one of this module's messages."""
        if isinstance(message, LeaveRoster):
            return self._leave(message.consented)
        if self._p.clock() >= self._not_before and not self._p.fleet.leaving:
            self._do_duties()
        return True

    def _do_duties(self) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            is_member = fleet.is_member
            was_removed = fleet.was_removed
        if was_removed:
            emit(REJOINING, host=fleet.own_member.host)
            with fleet.lock:
                fleet.rejoin(new_incarnation())
            self._p.on_rejoin()
        if not is_member:
            self._change(
                lambda roster: add_member(roster, fleet.own_member), ROSTER_JOINED
            )
            return
        self._remove_silent()
        self._drop_history()

    def _remove_silent(self) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            now = fleet.clock()
            view = fleet.rate_window.current
            suspects = fleet.voter.find_suspects(view, fleet.identity, now)
            if not self._is_first(set(suspects)):
                suspects = []
            self._p.votes.start_round(fleet.roster.generation, suspects)
            own = [
                identity
                for identity in suspects
                if fleet.voter.agree_to_removal(identity, fleet.roster.generation, now)
            ]
            self._p.votes.record_agreement(fleet.identity, own)
            rosters = [
                frozenset(past.by_identity)
                for past in fleet.rate_window.rosters_in_use(now)
            ]
            agreed = self._p.votes.select_agreed(rosters)
            generation = fleet.roster.generation
        if not agreed:
            return

        def remove(roster: Roster) -> Roster:
            if roster.generation != generation:
                return roster
            return remove_members(roster, agreed, consented=False)

        self._change(remove, ROSTER_REMOVED, members=agreed)

    def _drop_history(self) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            now = fleet.clock()
            roster = fleet.roster
            if not self._is_first(set()) or not (roster.unsettled or roster.departed):
                return
            if not (
                fleet.rate_window.is_settled(now) and fleet.slot_window.is_settled(now)
            ):
                return
        generation = roster.generation

        def drop(roster: Roster) -> Roster:
            if roster.generation != generation:
                return roster
            return prune_history(roster, generation, [])

        self._change(drop, None)

    def _is_first(self, suspects: set[str]) -> bool:
        """Tell whether this host is the first that may act, so that one does."""
        fleet = self._p.fleet
        alive = [
            member.identity
            for member in fleet.roster.members
            if member.identity not in suspects
        ]
        return bool(alive) and alive[0] == fleet.identity

    def _leave(self, consented: bool) -> bool:
        fleet = self._p.fleet
        return self._change(
            lambda roster: remove_members(roster, [fleet.identity], consented), None
        )

    def _change(
        self,
        change: Callable[[Roster], Roster],
        event: object,
        **fields: object,
    ) -> bool:
        """Read the roster, change it and write it back if nobody else did."""
        try:
            stored = self._read()
            before = parse_spec(stored)
            after = change(before)
            if after == before:
                self._learn(after)
                return True
            changes = {
                "spec": after.model_dump(),
                "nonce": token_hex(8),
                "author": f"host:{self._p.fleet.own_member.host}",
            }
            self._p.store.put(stored.model_copy(update=changes), "roster")
        except (StoreError, InvalidObject):
            # A lost answer is resolved by the next duty: it reads the roster again,
            # and a change that took effect changes nothing a second time.
            self._wait_longer()
            return False
        self._backoff_s = DUTY_GAP_S
        self._learn(after)
        if event is not None:
            emit(event, host=self._p.fleet.own_member.host, **fields)
        return True

    def _read(self) -> StoredObject:
        try:
            return self._p.store.get("Roster", ROSTER_NAME, "roster")
        except NotFound:
            return StoredObject(
                kind="Roster", name=ROSTER_NAME, spec=Roster().model_dump()
            )

    def _learn(self, roster: Roster) -> None:
        # The view may lack older changes still, so the roster does not go into it
        # from here: the watch brings it in the order of revisions.
        with self._p.fleet.lock:
            self._p.fleet.apply_roster(roster)

    def _wait_longer(self) -> None:
        self._not_before = self._p.clock() + self._backoff_s * self._p.rng.uniform(
            0.5, 1.5
        )
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
