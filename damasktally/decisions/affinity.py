"""Rank servers for an object, so that an object's requests meet warm servers.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
hit rates", 1998): each server scores each object, and the best score wins. When a
server joins or leaves, only the objects that it wins or had won move.
"""

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

SCORE_BYTES = 8
MAX_CACHED_OBJECTS = 20_000


def score(server: str, key: bytes) -> int:
    """Return how strongly a server is preferred for an object."""
    digest = blake2b(key, digest_size=SCORE_BYTES, person=server.encode()[-16:])
    return int.from_bytes(digest.digest(), "big")


class AffinityRanking:
    """Remember the order of servers for each object while the servers stay.

    :param depth: how many servers of the order are kept.
    """

    def __init__(self, depth: int) -> None:
        self._depth = depth
        self._servers: dict[str, tuple[str, ...]] = {}
        self._orders: OrderedDict[tuple[str, bytes], tuple[str, ...]] = OrderedDict()

    def rank(self, group: str, servers: Sequence[str], key: bytes) -> tuple[str, ...]:
        """Return the servers that an object prefers, the best first.

        :param group: names the set of servers, such as a service and its regions.
        :param servers: ids of the set, in any stable order.
        """
        servers = tuple(servers)
        if self._servers.get(group) != servers:
            self._servers[group] = servers
            self._forget(group)
        order = self._orders.get((group, key))
        if order is None:
            ranked = sorted(servers, key=lambda item: score(item, key), reverse=True)
            order = tuple(ranked[: self._depth])
            self._orders[group, key] = order
            if len(self._orders) > MAX_CACHED_OBJECTS:
                self._orders.popitem(last=False)
        return order

    def _forget(self, group: str) -> None:
        for entry in [entry for entry in self._orders if entry[0] == group]:
            del self._orders[entry]
