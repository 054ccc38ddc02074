"""Judge backend servers by what this host sees of them, hints second."""

from dataclasses import dataclass, field
from math import exp
from random import Random

from damasktally.clock import Clock

CONSECUTIVE_FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LOAD_DECAY_S = 5.0
"""Seconds after which a reported load counts for about a third."""
DEFAULT_LOAD = 0.5


@dataclass(slots=True)
class ServerHealth:
    """Remember one server's failures, load reports and warm-up.

    :param warm_from: when its warm-up started, in seconds.
    """

    warmup_started_at: float = float("-inf")
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = float("-inf")
    reported_load: float = DEFAULT_LOAD
    load_reported_at: float = float("-inf")


@dataclass
class HealthTable:
    """Hold the health of all servers. The caller holds the dispatcher's lock.

    :param rng: source of the backoff's jitter.
    """

    clock: Clock
    rng: Random
    servers: dict[str, ServerHealth] = field(default_factory=dict)

    def get_or_add(self, server: str) -> ServerHealth:
        """Return a server's health, made anew for one not seen before."""
        return self.servers.setdefault(server, ServerHealth())

    def record_success(self, server: str) -> None:
        """Record that a server answered."""
        health = self.get_or_add(server)
        health.consecutive_failures = 0
        if self.clock() >= health.ejected_until:
            health.consecutive_ejections = 0

    def record_failure(self, server: str, may_eject: bool) -> bool:
        """Record that a server failed on a new connection.

        :param ejectable: whether the pool can spare it.
        :returns: whether it is ejected by this failure.
        """
        health = self.get_or_add(server)
        health.consecutive_failures += 1
        if health.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT or not may_eject:
            return False
        now = self.clock()
        ejection_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2**health.consecutive_ejections
        )
        health.ejected_until = now + ejection_s * self.rng.uniform(0.75, 1.25)
        health.warmup_started_at = health.ejected_until
        health.consecutive_ejections += 1
        health.consecutive_failures = 0
        return True

    def record_load(self, server: str, load: float) -> None:
        """Record a load that the server reported, from 0 to 1."""
        health = self.get_or_add(server)
        health.reported_load = min(1.0, max(0.0, load))
        health.load_reported_at = self.clock()

    def start_warmup(self, server: str) -> None:
        """Ramp a server up from now on, because its caches are cold."""
        self.get_or_add(server).warmup_started_at = self.clock()

    def is_ejected(self, server: str, now: float) -> bool:
        """Tell whether a server gets no work at present."""
        health = self.servers.get(server)
        return health is not None and now < health.ejected_until

    def load_estimate(self, server: str, now: float) -> float:
        """Return the reported load, faded to neutral with its age."""
        health = self.servers.get(server)
        if health is None:
            return DEFAULT_LOAD
        weight = exp(-(now - health.load_reported_at) / LOAD_DECAY_S)
        return DEFAULT_LOAD + weight * (health.reported_load - DEFAULT_LOAD)


def slots_during_warmup(
    slots: int, warmup_started_at: float, warmup_s: float, now: float
) -> int:
    """Return how many slots of a warming server may be filled.

    :param slots: how many it has.
    :param warm_from: when its warm-up started, in seconds.
    :param warmup_s: how long the warm-up takes, in seconds.
    :returns: at least one, and all of them once it is warm.
    """
    if warmup_s <= 0 or now >= warmup_started_at + warmup_s:
        return slots
    elapsed_fraction = max(0.0, now - warmup_started_at) / warmup_s
    return max(1, int(slots * elapsed_fraction))
