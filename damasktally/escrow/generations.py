"""Track which roster generations may be in use, and compute shares that fit all.

While a change of the roster spreads, hosts use different generations. A host uses
the smallest of its shares over every generation that some member may still use.
The oldest generation in use is in the window of every host, so the shares never add
up to more than the limit. See ``docs/internals/escrow.md`` for the proof.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damasktally.escrow.shares import RosterView


@dataclass(frozen=True, slots=True)
class Departure:
    """Represent the removal of an incarnation from the roster without its consent.

    :param identity: identity of the incarnation.
    :param last_generation: the last generation that it was a member of.
    """

    identity: str
    last_generation: int


@dataclass
class GenerationWindow:
    """Track the roster generations that some member may still use.

    A generation may be in use until every member has acknowledged a newer one. A
    departed incarnation cannot acknowledge: the generations that it may use are kept
    until its own share must have expired.

    :param own_identity: identity of this host's incarnation.
    :param hold_s: seconds for which a departed incarnation may still use its
        shares, counted from when this host received the roster without it.
    """

    own_identity: str
    hold_s: float
    _rosters: dict[int, RosterView] = field(default_factory=dict)
    _acknowledged: dict[str, int] = field(default_factory=dict)
    _departed: dict[Departure, float] = field(default_factory=dict)

    @property
    def current(self) -> RosterView | None:
        """Return the newest known roster, or ``None`` before the first one."""
        if not self._rosters:
            return None
        return self._rosters[max(self._rosters)]

    def apply_roster(
        self,
        current: RosterView,
        unsettled: Iterable[RosterView],
        departures: Iterable[Departure],
        now: float,
    ) -> None:
        """Add a roster with the older generations and the departures listed in it.

        A roster that is older than the newest known one adds only the older
        generations in it.

        :param current: the roster.
        :param unsettled: older generations that may be in use.
        :param departures: incarnations that were removed without their consent.
        :param now: seconds; the wait for new departures starts at this time.
        """
        unsettled_by_generation = {roster.generation: roster for roster in unsettled}
        for generation, roster in unsettled_by_generation.items():
            self._rosters.setdefault(generation, roster)
        newest = max(self._rosters, default=-1)
        if current.generation < newest:
            return
        self._rosters[current.generation] = current
        listed_departures = set(departures)
        for departure in listed_departures:
            self._departed.setdefault(departure, now)
        for departure, recorded_at in list(self._departed.items()):
            over = now >= recorded_at + self.hold_s
            if over and departure not in listed_departures:
                del self._departed[departure]

    def record_acknowledgement(self, identity: str, generation: int) -> None:
        """Record that a member no longer uses any older generation.

        :param identity: identity of the member's incarnation.
        :param generation: the generation that it acknowledged.
        """
        previous = self._acknowledged.get(identity, -1)
        self._acknowledged[identity] = max(previous, generation)

    def rosters_in_use(self, now: float) -> list[RosterView]:
        """Return every known roster that a member may still use, oldest first."""
        if not self._rosters:
            return []
        oldest = self._oldest_in_use(now)
        return [self._rosters[g] for g in sorted(self._rosters) if g >= oldest]

    def is_settled(self, now: float) -> bool:
        """Return whether no generation besides the newest can be in use."""
        return len(self.rosters_in_use(now)) <= 1

    def smallest_share(self, share: Callable[[RosterView], float], now: float) -> float:
        """Return this host's smallest share over all rosters in use.

        The share is zero while a generation may be in use that this host has not
        received.

        :param share: computes this host's share in one roster.
        :param now: seconds.
        """
        rosters = self.rosters_in_use(now)
        if not rosters or self._oldest_in_use(now) < rosters[0].generation:
            return 0.0
        return min(share(roster) for roster in rosters)

    def remove_unused(self, now: float) -> None:
        """Remove generations that no member can use, and their acknowledgements."""
        if not self._rosters:
            return
        oldest = self._oldest_in_use(now)
        for generation in [g for g in self._rosters if g < oldest]:
            del self._rosters[generation]
        named = {
            member for roster in self._rosters.values() for member in roster.by_identity
        }
        for identity in [
            member for member in self._acknowledged if member not in named
        ]:
            del self._acknowledged[identity]

    def _oldest_in_use(self, now: float) -> int:
        """Return the oldest generation that some member may still use.

        A member uses none that is older than the one in which it joined.
        """
        current = self.current
        oldest = current.generation
        for member in current.members:
            if member.identity == self.own_identity:
                continue
            joined = self._first_generation(member.identity)
            acknowledged = self._acknowledged.get(member.identity, -1)
            oldest = min(oldest, max(joined, acknowledged))
        for departure, recorded_at in self._departed.items():
            if now < recorded_at + self.hold_s:
                oldest = min(oldest, departure.last_generation)
        return oldest

    def _first_generation(self, identity: str) -> int:
        found = [g for g, r in self._rosters.items() if identity in r.by_identity]
        return min(found)
