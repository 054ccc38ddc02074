"""Rank the backend servers for an object, so that its requests reach warm servers.

A server responds faster for an object whose requests it processed recently. The
ranking uses rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998): each server gets a score for each object, and the highest
score wins. When a server joins or leaves, only the objects that this server wins or won
move.

Each region keeps its own warm copy of an object where its servers can handle the
demand. A region that has less than an equal share of all slots serves only a
proportional share of the objects at home; the other objects go to the regions that
have spare slots.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from math import log

from damasktally.fleet.model import Server

SCORE_BYTES = 8
SCORE_RANGE = 1 << (8 * SCORE_BYTES)
MAX_CACHED_OBJECTS = 20_000
MAX_SERVERS_PER_REGION = 3
MAX_EXTENDED_SERVERS_PER_REGION = 16
"""Servers that are ranked for objects whose preferred servers take no requests."""
MIN_SPARE_RATIO = 0.02
"""Lower bound on the spare slots of a region in its weight, as a ratio of an equal
share of all slots."""


def rendezvous_score(name: str, key: bytes) -> int:
    """Return the preference of a key for a server, host or region; the highest wins."""
    digest = blake2b(key, digest_size=SCORE_BYTES, person=name.encode()[-16:])
    return int.from_bytes(digest.digest(), "big")


def uniform_score(name: str, key: bytes) -> float:
    """Return the rendezvous score of a name and a key, scaled to between 0 and 1."""
    return (rendezvous_score(name, key) + 1) / (SCORE_RANGE + 1)


def rank_servers(
    key: bytes,
    home_region: str,
    servers_by_region: Mapping[str, Sequence[Server]],
    region_count: int,
    max_per_region: int = MAX_SERVERS_PER_REGION,
) -> tuple[str, ...]:
    """Return the ids of the servers that an object prefers, the best first.

    :param key: identifies the object.
    :param home_region: the region of the host that asks.
    :param servers_by_region: the servers of each region.
    :param region_count: how many regions send requests.
    :param max_per_region: how many servers of each region are ranked.
    """
    slots = {
        name: sum(s.slots for s in group) for name, group in servers_by_region.items()
    }
    equal_share = sum(slots.values()) / max(1, region_count)
    ranked = {
        name: _rank_in_region(group, key)[:max_per_region]
        for name, group in servers_by_region.items()
    }
    other_regions = sorted(
        (name for name in servers_by_region if name != home_region),
        key=lambda name: _weighted_cost(
            name, key, slots[name] - equal_share, equal_share
        ),
    )
    is_served_at_home = (
        slots.get(home_region, 0) > 0
        and uniform_score(home_region, key) * equal_share <= slots[home_region]
    )
    region_order = (
        [home_region, *other_regions]
        if is_served_at_home
        else [*other_regions[:1], home_region, *other_regions[1:]]
    )
    return tuple(
        ranked[name][rank]
        for rank in range(max_per_region)
        for name in region_order
        if rank < len(ranked.get(name, ()))
    )


def _rank_in_region(servers: Sequence[Server], key: bytes) -> list[str]:
    ids = [server.id for server in servers]
    ids.sort(key=lambda name: rendezvous_score(name, key), reverse=True)
    return ids


def _weighted_cost(
    name: str, key: bytes, spare_slots: float, equal_share: float
) -> float:
    """Return the weighted rendezvous cost of a region; the lowest wins."""
    weight = max(spare_slots, MIN_SPARE_RATIO * equal_share, 1e-9)
    return -log(uniform_score(name, key)) / weight


class AffinityRanking:
    """Cache the server ranking of each object while the set of servers is unchanged.

    :param home_region: the region of this host.
    :param region_of: the region of each data centre.
    """

    def __init__(self, home_region: str, region_of: Mapping[str, str]) -> None:
        self._home_region = home_region
        self._region_of = region_of
        self._region_count = len(set(region_of.values()))
        self._groups: dict[str, tuple[Sequence[Server], dict[str, list[Server]]]] = {}
        self._rankings: OrderedDict[tuple[str, bytes, int], tuple[str, ...]] = (
            OrderedDict()
        )

    def rank(
        self,
        group: str,
        servers: Sequence[Server],
        key: bytes,
        max_per_region: int = MAX_SERVERS_PER_REGION,
    ) -> tuple[str, ...]:
        """Return the ids of the servers that an object prefers, the best first.

        :param group: identifies the set of servers, such as a service and its regions.
        :param servers: the set; it has to be the same list object as long as it is
            unchanged, and another object once it has changed.
        :param key: identifies the object.
        :param max_per_region: how many servers of each region are ranked.
        """
        cached = self._groups.get(group)
        if cached is None or cached[0] is not servers:
            cached = (servers, self._group_by_region(servers))
            self._groups[group] = cached
            self._drop_rankings(group)
        ranking = self._rankings.get((group, key, max_per_region))
        if ranking is None:
            ranking = rank_servers(
                key, self._home_region, cached[1], self._region_count, max_per_region
            )
            self._rankings[group, key, max_per_region] = ranking
            if len(self._rankings) > MAX_CACHED_OBJECTS:
                self._rankings.popitem(last=False)
        return ranking

    def _group_by_region(self, servers: Sequence[Server]) -> dict[str, list[Server]]:
        servers_by_region: dict[str, list[Server]] = {}
        for server in servers:
            region = self._region_of.get(server.data_centre, "")
            servers_by_region.setdefault(region, []).append(server)
        return servers_by_region

    def _drop_rankings(self, group: str) -> None:
        for entry in [entry for entry in self._rankings if entry[0] == group]:
            del self._rankings[entry]
