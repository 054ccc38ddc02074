"""Compute the shares of limits, slots and connections that each member holds.

The shares are pure functions of a roster, so every host computes the same ones.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

SCORE_BYTES = 8
"""Bytes of the hash that ranks the hosts for the slots of a server."""


@dataclass(frozen=True, slots=True)
class RosterHost:
    """Identify one member of a roster generation.

    :param host: name of the host.
    :param incarnation: distinguishes this run of the host from earlier ones.
    :param region: region of the host.
    :param data_centre: data centre of the host, within the region.
    """

    host: str
    incarnation: str
    region: str
    data_centre: str

    @property
    def identity(self) -> str:
        """Return a name that is unique among all incarnations of all hosts."""
        return f"{self.host}/{self.incarnation}"


@dataclass(frozen=True)
class RosterView:
    """Represent one generation of the roster, with the shares that follow from it.

    :param generation: number of the generation, counting up.
    :param members: hosts that hold shares.
    """

    generation: int
    members: tuple[RosterHost, ...]

    @cached_property
    def by_identity(self) -> dict[str, RosterHost]:
        """Map the identities to the members."""
        return {member.identity: member for member in self.members}

    @cached_property
    def _slots_by_owner(self) -> dict[tuple[str, str, str, int], dict[str, int]]:
        return {}

    def rate_share(self, identity: str) -> float:
        """Return the share of a customer's rate and burst that a member holds.

        All shares are equal. With larger shares on few hosts, the failure of one of
        them would make a large part of the limit unusable. Loans move the shares to
        the hosts that have callers.

        :returns: 0 to 1; 0 for a host that is not a member.
        """
        if identity not in self.by_identity:
            return 0.0
        return 1.0 / len(self.members)

    def link_share(self, identity: str, source: str, target: str) -> float:
        """Return the share of a directed link that a member holds.

        The hosts at either end limit the traffic of the link, so they hold equal
        shares; hosts in other regions hold none. If there is no host at either end,
        all members hold equal shares.

        :param source: region at which the link starts.
        :param target: region at which the link ends.
        :returns: 0 to 1; 0 for a host that is not a member.
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
        """Return how many slots of a backend server a member owns.

        Every slot has exactly one owner. The slots are assigned in turn to the hosts
        nearest to the server, ranked by a hash of the server and the host.

        :param server: name of the backend server.
        :param region: region of the server.
        :param data_centre: data centre of the server, within the region.
        :param slots: how many slots the server has.
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
    """Return how many slots of a backend server a member of a roster owns."""
    return roster.slots_owned_by(identity, server, region, data_centre, slots)


def connection_share(roster: RosterView, identity: str, connections: int) -> int:
    """Return how many connections to one backend server a member may hold open."""
    if identity not in roster.by_identity:
        return 0
    return connections // len(roster.members)


def _nearest(
    members: Sequence[RosterHost], region: str, data_centre: str
) -> list[RosterHost]:
    """Return the members of the data centre, else of the region, else all."""
    same_centre = [m for m in members if m.data_centre == data_centre]
    if same_centre:
        return same_centre
    same_region = [m for m in members if m.region == region]
    return same_region or list(members)


def _score(server: str, host: str) -> bytes:
    digest = blake2b(f"{server}|{host}".encode(), digest_size=SCORE_BYTES)
    return digest.digest()
