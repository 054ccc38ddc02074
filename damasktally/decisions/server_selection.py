"""Choose the backend server for a request, or refuse the request.

How long a request takes depends on whether its server is warm for the object, so a
request goes to one of the few servers that its object prefers. If overload allowed any
server to be chosen, no server would become warm and the overload would last. Only a
bounded number of servers is therefore considered, and the request is refused when all
of them are full (compare Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
bounded loads", 2018). While all servers are overloaded, a request waits at the first
one only. If it also waited at the second one, each server of a small service would get
requests for all of its objects, could not keep them warm, and the overload would last.
"""

from collections.abc import Callable, Sequence
from math import inf
from random import Random

from damasktally.fleet.model import Server

QUEUED_PER_SLOT = {0: 1.0, 1: 0.75}
"""Queued requests allowed for each slot, by priority; 0 is the most urgent."""
MIN_QUEUED_PER_SLOT = 0.25
"""Queued requests allowed for each slot at all other priorities."""
MAX_CANDIDATE_SERVERS = 2
"""Servers of an object's ranking that are considered. Each of them has to warm up for
the object."""
RANDOM_CANDIDATE_SERVERS = 4
"""Servers that are compared for a request that concerns no object."""
RANK_PENALTY = 1.0
"""Queue length, as a ratio of a server's slots, by which the next server in the ranking
has to be shorter to be chosen."""


def max_outstanding(slots: int, priority: int) -> float:
    """Return the bound on a server's outstanding requests for a priority."""
    return slots * (1.0 + QUEUED_PER_SLOT.get(priority, MIN_QUEUED_PER_SLOT))


def rank_by_load(
    servers: Sequence[Server],
    outstanding: Callable[[Server], float],
    is_near: Callable[[Server], bool],
    rng: Random,
) -> list[Server]:
    """Rank some random servers for a request that concerns no object.

    Most loads are unknown or equal. Hosts that all took the first of the least loaded
    servers would overload it, so only a few random servers are compared (compare
    Mitzenmacher, "The power of two choices in randomized load balancing", 2001).

    :param servers: servers that may be used.
    :param outstanding: returns the number of outstanding requests at a server.
    :param is_near: returns whether a server is in the region of this host; of two
        servers with the same load, a near one goes first.
    """
    sample = rng.sample(servers, min(RANDOM_CANDIDATE_SERVERS, len(servers)))
    sample.sort(
        key=lambda server: (outstanding(server) / server.slots, not is_near(server))
    )
    return sample


def relative_run_time(load: float, slots: int, slowdown: float) -> float:
    """Return the time of a request at a server, relative to its shortest run.

    :param load: number of outstanding requests at the server.
    :param slowdown: time that work takes on the server, relative to the usual time.
    """
    queued = max(0.0, load + 1 - slots)
    return slowdown * (1 + queued / slots)


def choose_server(
    ranked: Sequence[Server],
    outstanding: Callable[[Server], float],
    priority: int,
    max_candidates: int = MAX_CANDIDATE_SERVERS,
    slowdown: Callable[[Server], float] = lambda server: 1.0,
    max_relative_time: float = inf,
    is_service_full: bool = False,
) -> Server | None:
    """Return the server for a request, or ``None`` when all candidates are full.

    :param ranked: servers that may be used, the preferred first.
    :param outstanding: returns the number of outstanding requests at a server.
    :param priority: 0 is the most urgent.
    :param max_candidates: how many servers of the ranking are considered.
    :param slowdown: returns the time that work takes on a server, relative to the
        usual time.
    :param max_relative_time: time that is left for the request, relative to its
        shortest run. A server at which the request could not end in time is left out: a
        run that is cut off occupies a slot and serves nobody.
    :param is_service_full: whether the servers have as many requests as slots on
        average. A request then does not wait at any server but the first.
    """
    best: Server | None = None
    best_cost = inf
    for rank, server in enumerate(ranked[:max_candidates]):
        load = outstanding(server)
        needs_free_slot = is_service_full and rank > 0
        limit = (
            server.slots if needs_free_slot else max_outstanding(server.slots, priority)
        )
        if load + 1 > limit:
            continue
        relative_time = relative_run_time(load, server.slots, slowdown(server))
        if relative_time > max_relative_time:
            continue
        cost = relative_time + RANK_PENALTY * rank
        if cost < best_cost:
            best, best_cost = server, cost
    return best
