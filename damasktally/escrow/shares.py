"""Compute shares: pure functions of a roster and a limit."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

SCORE_BYTES = 8


@dataclass(frozen=True, slots=True)
class RosterHost:
    """Identify one member of a roster generation.

    :param host: its name.
    :param incarnation: which run of that host.
    :param region: where it is.
    :param data_centre: where it is, within the region.
    """

    host: str
    incarnation: str
    region: str
    data_centre: str

    @property
    def identity(self) -> str:
        """Return what tells this incarnation from all others."""
        return f"{self.host}/{self.incarnation}"


@dataclass(frozen=True)
class RosterView:
    """Hold one generation of the roster as the share functions need it."""

    generation: int
    members: tuple[RosterHost, ...]

    @cached_property
    def by_identity(self) -> dict[str, RosterHost]:
        """Map identities to members."""
        return {member.identity: member for member in self.members}

    @cached_property
    def _slots_by_owner(self) -> dict[tuple[str, str, str, int], dict[str, int]]:
        return {}

    def rate_share(self, identity: str) -> float:
        """Return the part of a customer's rate and burst that a member holds.

        Equal parts: a part that sat on few hosts would be stranded whole when one
        of them dies. Loans move the parts to where the callers are.
        """
        if identity not in self.by_identity:
            return 0.0
        return 1.0 / len(self.members)

    def link_share(self, identity: str, source: str, target: str) -> float:
        """Return the part of a directed link that a member holds.

        Hosts at either end pace what crosses the link; hosts elsewhere hold none,
        unless there is no host at either end.
        """
        member = self.by_identity.get(identity)
        if member is None:
            return 0.0
        end_members = [m for m in self.members if m.region in (source, target)]
        if not end_members:
            return 1.0 / len(self.members)
        if member.region not in (source, target):
            return 0.0
        return 1.0 / len(end_members)

    def slots_owned_by(
        self, identity: str, server: str, region: str, data_centre: str, slots: int
    ) -> int:
        """Return how many slots of a server a member owns.

        :param server: the server's name.
        :param region: where the server is.
        :param data_centre: where the server is, within the region.
        :param slots: how many the server has.
        """
        key = (server, region, data_centre, slots)
        owners = self._slots_by_owner.get(key)
        if owners is None:
            owners = self._count_slots_by_owner(server, region, data_centre, slots)
            self._slots_by_owner[key] = owners
        return owners.get(identity, 0)

    def _count_slots_by_owner(
        self, server: str, region: str, data_centre: str, slots: int
    ) -> dict[str, int]:
        near = _nearest(self.members, region, data_centre)
        counts: dict[str, int] = {}
        if not near:
            return counts
        ranked = sorted(near, key=lambda m: _score(server, m.host), reverse=True)
        for index in range(slots):
            owner = ranked[index % len(ranked)]
            counts[owner.identity] = counts.get(owner.identity, 0) + 1
        return counts


def slot_count(
    roster: RosterView,
    identity: str,
    server: str,
    region: str,
    data_centre: str,
    slots: int,
) -> int:
    """Return how many slots of a server a member of a roster owns."""
    return roster.slots_owned_by(identity, server, region, data_centre, slots)


def connection_share(roster: RosterView, identity: str, connections: int) -> int:
    """Return how many connections to one server a member may hold open."""
    if identity not in roster.by_identity:
        return 0
    return connections // len(roster.members)


def _nearest(
    members: Sequence[RosterHost], region: str, data_centre: str
) -> list[RosterHost]:
    same_centre = [m for m in members if m.data_centre == data_centre]
    if same_centre:
        return same_centre
    same_region = [m for m in members if m.region == region]
    return same_region or list(members)


def _score(server: str, host: str) -> bytes:
    digest = blake2b(f"{server}|{host}".encode(), digest_size=SCORE_BYTES)
    return digest.digest()
