"""Compute changes of the roster: pure functions from one generation to the next."""

from collections.abc import Iterable, Sequence

from damasktally.escrow.generations import Departure
from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.resources.kinds import DepartedMember, Member, PastRoster, Roster


def add_member(roster: Roster, member: Member) -> Roster:
    """Return the next generation with a member added.

    An older incarnation of the same host is removed without its consent, because
    its process may be paused instead of dead.

    :returns: the roster itself if it already lists this incarnation.
    """
    if any(existing.identity == member.identity for existing in roster.members):
        return roster
    remaining = [
        existing for existing in roster.members if existing.host != member.host
    ]
    replaced = [existing for existing in roster.members if existing.host == member.host]
    return _next_generation(roster, [*remaining, member], replaced)


def remove_members(
    roster: Roster, identities: Iterable[str], consented: bool
) -> Roster:
    """Return the next generation with some incarnations removed.

    :param consented: whether they stopped using their shares and finished their
        work first.
    :returns: the roster itself if it lists none of them.
    """
    names = set(identities)
    remaining = [
        existing for existing in roster.members if existing.identity not in names
    ]
    removed = [existing for existing in roster.members if existing.identity in names]
    if not removed:
        return roster
    return _next_generation(roster, remaining, [] if consented else removed)


def prune_history(roster: Roster, oldest: int, departed: Sequence[str]) -> Roster:
    """Return the same generation without the history that no host can still use.

    :param oldest: the oldest generation that may be in use.
    :param departed: removed incarnations whose hold time has not passed.
    """
    unsettled = [past for past in roster.unsettled if past.generation >= oldest]
    holding = [
        departure
        for departure in roster.departed
        if departure.identity in set(departed)
    ]
    return roster.model_copy(update={"unsettled": unsettled, "departed": holding})


def roster_view(generation: int, members: Iterable[Member]) -> RosterView:
    """Return what the share functions need of a roster generation."""
    return RosterView(
        generation,
        tuple(
            RosterHost(m.host, m.incarnation, m.region, m.data_centre) for m in members
        ),
    )


def unsettled_views(roster: Roster) -> list[RosterView]:
    """Return the older generations in a roster that may still be in use."""
    return [roster_view(past.generation, past.members) for past in roster.unsettled]


def departures(roster: Roster) -> list[Departure]:
    """Return the incarnations that were removed without their consent."""
    return [
        Departure(departure.identity, departure.last_generation)
        for departure in roster.departed
    ]


def _next_generation(
    roster: Roster, members: Sequence[Member], removed: Sequence[Member]
) -> Roster:
    past = PastRoster(generation=roster.generation, members=list(roster.members))
    departed = [
        DepartedMember(identity=member.identity, last_generation=roster.generation)
        for member in removed
    ]
    return Roster(
        generation=roster.generation + 1,
        members=sorted(members, key=lambda member: member.host),
        unsettled=[*roster.unsettled, past],
        departed=[*roster.departed, *departed],
    )
