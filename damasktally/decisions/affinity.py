"""Rank servers for an object, so that an object's requests meet warm servers.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
hit rates", 1998): each server scores each object, and the best score wins. When a
server joins or leaves, only the objects that it wins or had won move.

Each region keeps a copy of its own of an object warm where its servers can hold the
demand. A region with less than an equal part of the slots serves only that part of
the objects at home; the others go to the regions that have slots to spare.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from math import log

from damasktally.fleet.model import Server

SCORE_BYTES = 8
SCORE_SPAN = 1 << (8 * SCORE_BYTES)
MAX_CACHED_OBJECTS = 20_000
SERVERS_A_REGION = 3
LEAST_SPARE_PART = 0.02
"""Weight of a region without spare slots, as a part of all slots."""


def score(name: str, key: bytes) -> int:
    """Return how strongly a server, host or region is preferred for a key."""
    digest = blake2b(key, digest_size=SCORE_BYTES, person=name.encode()[-16:])
    return int.from_bytes(digest.digest(), "big")


def unit(name: str, key: bytes) -> float:
    """Return a number between 0 and 1 that depends on a name and a key alone."""
    return (score(name, key) + 1) / (SCORE_SPAN + 1)


def rank_servers(
    key: bytes,
    home: str,
    regions: Mapping[str, Sequence[Server]],
    region_count: int,
) -> tuple[str, ...]:
    """Return the servers that an object prefers, the best first.

    :param key: names the object.
    :param home: the region that asks.
    :param regions: the servers of each region.
    :param region_count: how many regions send requests.
    """
    slots = {name: sum(s.slots for s in group) for name, group in regions.items()}
    equal = sum(slots.values()) / max(1, region_count)
    ranked = {name: _ranked(group, key) for name, group in regions.items()}
    away = sorted(
        (name for name in regions if name != home),
        key=lambda name: _distance(name, key, slots[name] - equal, equal),
    )
    at_home = slots.get(home, 0) > 0 and unit(home, key) * equal <= slots[home]
    places = [home, *away] if at_home else [*away[:1], home, *away[1:]]
    return tuple(
        ranked[name][depth]
        for depth in range(SERVERS_A_REGION)
        for name in places
        if depth < len(ranked.get(name, ()))
    )


def _ranked(servers: Sequence[Server], key: bytes) -> list[str]:
    ids = [server.id for server in servers]
    ids.sort(key=lambda name: score(name, key), reverse=True)
    return ids[:SERVERS_A_REGION]


def _distance(name: str, key: bytes, spare: float, equal: float) -> float:
    """Return a weighted rendezvous score; the smallest wins."""
    weight = max(spare, LEAST_SPARE_PART * equal, 1e-9)
    return -log(unit(name, key)) / weight


class AffinityRanking:
    """Remember the order of servers for each object while the servers stay.

    :param home: the region that asks.
    :param region_of: the region of each data centre.
    """

    def __init__(self, home: str, region_of: Mapping[str, str]) -> None:
        self._home = home
        self._region_of = region_of
        self._region_count = len(set(region_of.values()))
        self._groups: dict[str, tuple[Sequence[Server], dict[str, list[Server]]]] = {}
        self._orders: OrderedDict[tuple[str, bytes], tuple[str, ...]] = OrderedDict()

    def rank(
        self, group: str, servers: Sequence[Server], key: bytes
    ) -> tuple[str, ...]:
        """Return the ids of the servers that an object prefers, the best first.

        :param group: names the set of servers, such as a service and its regions.
        :param servers: the set; the same list object as long as it is unchanged.
        """
        held = self._groups.get(group)
        if held is None or held[0] is not servers:
            held = (servers, self._by_region(servers))
            self._groups[group] = held
            self._forget(group)
        order = self._orders.get((group, key))
        if order is None:
            order = rank_servers(key, self._home, held[1], self._region_count)
            self._orders[group, key] = order
            if len(self._orders) > MAX_CACHED_OBJECTS:
                self._orders.popitem(last=False)
        return order

    def _by_region(self, servers: Sequence[Server]) -> dict[str, list[Server]]:
        found: dict[str, list[Server]] = {}
        for server in servers:
            region = self._region_of.get(server.data_centre, "")
            found.setdefault(region, []).append(server)
        return found

    def _forget(self, group: str) -> None:
        for entry in [entry for entry in self._orders if entry[0] == group]:
            del self._orders[entry]
