"""Judge backend servers by what this host sees of them, hints second."""

from dataclasses import dataclass, field
from math import exp
from random import Random

from damasktally.clock import Clock

FAILURES_TO_EJECT = 3
FIRST_BACKOFF_S = 1.0
LONGEST_BACKOFF_S = 30.0
LOAD_HALF_FADE_S = 5.0
"""Seconds after which a reported load counts for about a third."""
NEUTRAL_LOAD = 0.5


@dataclass(slots=True)
class ServerHealth:
    """Remember one server's failures, load reports and warm-up.

    :param warm_from: when its warm-up started, in seconds.
    """

    warm_from: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    load: float = NEUTRAL_LOAD
    load_at: float = float("-inf")


@dataclass
class HealthTable:
    """Hold the health of all servers. The caller holds the dispatcher's lock.

    :param rng: source of the backoff's jitter.
    """

    clock: Clock
    rng: Random
    servers: dict[str, ServerHealth] = field(default_factory=dict)

    def of(self, server: str) -> ServerHealth:
        """Return a server's health, made anew for one not seen before."""
        return self.servers.setdefault(server, ServerHealth())

    def record_success(self, server: str) -> None:
        """Record that a server answered."""
        health = self.of(server)
        health.failures = 0
        if self.clock() >= health.ejected_until:
            health.ejections = 0

    def record_failure(self, server: str, ejectable: bool) -> bool:
        """Record that a server failed on a new connection.

        :param ejectable: whether the pool can spare it.
        :returns: whether it is ejected by this failure.
        """
        health = self.of(server)
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT or not ejectable:
            return False
        now = self.clock()
        backoff = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**health.ejections)
        health.ejected_until = now + backoff * self.rng.uniform(0.75, 1.25)
        health.warm_from = health.ejected_until
        health.ejections += 1
        health.failures = 0
        return True

    def record_load(self, server: str, load: float) -> None:
        """Record a load that the server reported, from 0 to 1."""
        health = self.of(server)
        health.load = min(1.0, max(0.0, load))
        health.load_at = self.clock()

    def start_warm_up(self, server: str) -> None:
        """Ramp a server up from now on, because its caches are cold."""
        self.of(server).warm_from = self.clock()

    def ejected(self, server: str, now: float) -> bool:
        """Tell whether a server gets no work at present."""
        health = self.servers.get(server)
        return health is not None and now < health.ejected_until

    def load_hint(self, server: str, now: float) -> float:
        """Return the reported load, faded to neutral with its age."""
        health = self.servers.get(server)
        if health is None:
            return NEUTRAL_LOAD
        trust = exp(-(now - health.load_at) / LOAD_HALF_FADE_S)
        return NEUTRAL_LOAD + trust * (health.load - NEUTRAL_LOAD)


def usable_slots(slots: int, warm_from: float, warmup_s: float, now: float) -> int:
    """Return how many slots of a warming server may be filled.

    :param slots: how many it has.
    :param warm_from: when its warm-up started, in seconds.
    :param warmup_s: how long the warm-up takes, in seconds.
    :returns: at least one, and all of them once it is warm.
    """
    if warmup_s <= 0 or now >= warm_from + warmup_s:
        return slots
    part = max(0.0, now - warm_from) / warmup_s
    return max(1, int(slots * part))
