"""Choose a server for a request, or refuse it.

Warm servers decide how long work takes, so a request goes to one of the few servers
that its object prefers. Free choice among all servers under overload would warm
nothing and keep the overload going; bounded spill refuses instead (compare
Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
"""

from collections.abc import Callable, Sequence
from math import inf

from damasktally.fleet.model import Server

QUEUED_PER_SLOT = {0: 1.0, 1: 0.75}
"""Waiting requests allowed for each slot, by priority; 0 is the most urgent."""
MIN_QUEUED_PER_SLOT = 0.25
MAX_CANDIDATE_SERVERS = 2
"""How many servers of an object's order are tried; each has to warm up for it."""
RANK_PENALTY = 1.0
"""Queue, in parts of a server's slots, that the next server in the order must save."""


def max_outstanding(slots: int, priority: int) -> float:
    """Return how many requests a server may hold before one of a priority."""
    return slots * (1.0 + QUEUED_PER_SLOT.get(priority, MIN_QUEUED_PER_SLOT))


def choose_server(
    ranked: Sequence[Server],
    outstanding: Callable[[Server], float],
    priority: int,
    max_candidates: int = MAX_CANDIDATE_SERVERS,
) -> Server | None:
    """Return the server for a request, or nothing when all are full.

    :param ranked: servers that may be used, the preferred first.
    :param held: returns how many requests a server holds.
    :param priority: 0 is the most urgent.
    :param depth: how many servers of the order are tried.
    """
    best: Server | None = None
    best_cost = inf
    for rank, server in enumerate(ranked[:max_candidates]):
        load = outstanding(server)
        if load + 1 > max_outstanding(server.slots, priority):
            continue
        queued = max(0.0, load + 1 - server.slots)
        cost = queued / server.slots + RANK_PENALTY * rank
        if cost < best_cost:
            best, best_cost = server, cost
    return best
