"""Decide which roster generations may still be in use, and share accordingly.

While a change of roster spreads, hosts are at different generations. A host uses
the smallest of its shares over every generation that some member may still use.
The oldest generation in use is in every host's window, so the parts never add up
to more than the limit. See ``docs/internals/escrow.md`` for the argument.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damasktally.escrow.shares import RosterView


@dataclass(frozen=True, slots=True)
class Departure:
    """Tell that an incarnation was taken out of the roster without its consent.

    :param identity: the incarnation.
    :param last_generation: the last generation that still named it.
    """

    identity: str
    last_generation: int


@dataclass
class GenerationWindow:
    """Track which generations the members have acknowledged.

    :param own: identity of this host's incarnation.
    :param hold_s: seconds for which a departed incarnation may still spend, counted
        from when this host learned of its removal.
    """

    own: str
    hold_s: float
    _known: dict[int, RosterView] = field(default_factory=dict)
    _acknowledged: dict[str, int] = field(default_factory=dict)
    _departed: dict[Departure, float] = field(default_factory=dict)

    @property
    def current(self) -> RosterView | None:
        """Return the newest generation known."""
        if not self._known:
            return None
        return self._known[max(self._known)]

    def apply_roster(
        self,
        current: RosterView,
        unsettled: Iterable[RosterView],
        departures: Iterable[Departure],
        now: float,
    ) -> None:
        """Take over a roster, the older generations it carries, and who was removed.

        :param now: seconds; the wait for departed incarnations starts here.
        """
        carried = {roster.generation: roster for roster in unsettled}
        for generation, roster in carried.items():
            self._known.setdefault(generation, roster)
        newest = max(self._known, default=-1)
        if current.generation < newest:
            return
        self._known[current.generation] = current
        carried_departures = set(departures)
        for departure in carried_departures:
            self._departed.setdefault(departure, now)
        for departure, learned in list(self._departed.items()):
            over = now >= learned + self.hold_s
            if over and departure not in carried_departures:
                del self._departed[departure]

    def record_acknowledgement(self, identity: str, generation: int) -> None:
        """Record that a member stopped using every older generation."""
        held = self._acknowledged.get(identity, -1)
        self._acknowledged[identity] = max(held, generation)

    def rosters_in_use(self, now: float) -> list[RosterView]:
        """Return every generation that a member may still use, oldest first."""
        if not self._known:
            return []
        lowest = self._lowest(now)
        return [self._known[g] for g in sorted(self._known) if g >= lowest]

    def is_settled(self, now: float) -> bool:
        """Tell whether the newest generation is the only one in use."""
        return len(self.rosters_in_use(now)) <= 1

    def smallest_share(self, share: Callable[[RosterView], float], now: float) -> float:
        """Return the smallest share over the window.

        The share is nothing while a generation may be in use that this host has
        not seen.

        :param share: computes this host's share of one generation.
        """
        window = self.rosters_in_use(now)
        if not window or self._lowest(now) < window[0].generation:
            return 0.0
        return min(share(roster) for roster in window)

    def remove_unused(self, now: float) -> None:
        """Drop generations that nobody can use any more."""
        if not self._known:
            return
        lowest = self._lowest(now)
        for generation in [g for g in self._known if g < lowest]:
            del self._known[generation]
        named = {who for roster in self._known.values() for who in roster.by_identity}
        for identity in [who for who in self._acknowledged if who not in named]:
            del self._acknowledged[identity]

    def _lowest(self, now: float) -> int:
        current = self.current
        lowest = current.generation
        for member in current.members:
            if member.identity == self.own:
                continue
            joined = self._first_generation(member.identity)
            acknowledged = self._acknowledged.get(member.identity, -1)
            lowest = min(lowest, max(joined, acknowledged))
        for departure, learned in self._departed.items():
            if now < learned + self.hold_s:
                lowest = min(lowest, departure.last_generation)
        return lowest

    def _first_generation(self, identity: str) -> int:
        found = [g for g, r in self._known.items() if identity in r.by_identity]
        return min(found)
