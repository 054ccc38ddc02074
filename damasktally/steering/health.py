"""Track the health of backend servers.

Ejection follows this host's own connections alone. The load that a server reports
has less weight: it only shifts the choice among servers that are not ejected.
"""

from dataclasses import dataclass, field
from math import exp
from random import Random

from damasktally.clock import Clock

CONSECUTIVE_FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LOAD_DECAY_S = 5.0
"""Seconds after which a reported load has about a third (1/e) of its weight."""
DEFAULT_LOAD = 0.5
"""Load assumed for a server without a recent report."""


@dataclass(slots=True)
class ServerHealth:
    """Hold one server's failures, load report and warm-up.

    :param warmup_started_at: when its warm-up started, in seconds.
    :param consecutive_failures: failures since the last success or ejection.
    :param consecutive_ejections: ejections without a success after any of them.
    :param ejected_until: when its ejection ends, in seconds.
    :param reported_load: the load that it reported last, from 0 to 1.
    :param load_reported_at: when it did, in seconds.
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

    :param rng: source of the jitter of ejection times.
    """

    clock: Clock
    rng: Random
    servers: dict[str, ServerHealth] = field(default_factory=dict)

    def get_or_add(self, server: str) -> ServerHealth:
        """Return a server's health; a server that is not known yet is added."""
        return self.servers.setdefault(server, ServerHealth())

    def record_success(self, server: str) -> None:
        """Record that a server answered."""
        health = self.get_or_add(server)
        health.consecutive_failures = 0
        if self.clock() >= health.ejected_until:
            health.consecutive_ejections = 0

    def record_failure(self, server: str, may_eject: bool) -> bool:
        """Record that a server failed on a new connection.

        Each ejection in a row lasts twice as long as the one before, up to a bound.
        The server warms up again when the ejection ends.

        :param may_eject: whether the pool's limit allows one more ejection.
        :returns: whether this failure ejects the server.
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
        """Record a load that a server reported, clamped to 0 to 1."""
        health = self.get_or_add(server)
        health.reported_load = min(1.0, max(0.0, load))
        health.load_reported_at = self.clock()

    def start_warmup(self, server: str) -> None:
        """Start a server's warm-up now, because its caches are cold."""
        self.get_or_add(server).warmup_started_at = self.clock()

    def is_ejected(self, server: str, now: float) -> bool:
        """Return whether a server is ejected and gets no requests."""
        health = self.servers.get(server)
        return health is not None and now < health.ejected_until

    def estimate_load(self, server: str, now: float) -> float:
        """Return the reported load, which decays to the default with its age."""
        health = self.servers.get(server)
        if health is None:
            return DEFAULT_LOAD
        weight = exp(-(now - health.load_reported_at) / LOAD_DECAY_S)
        return DEFAULT_LOAD + weight * (health.reported_load - DEFAULT_LOAD)


def slots_during_warmup(
    slots: int, warmup_started_at: float, warmup_s: float, now: float
) -> int:
    """Return how many slots of a server may be filled during its warm-up.

    The number grows linearly with time, so that a server with cold caches is not
    overloaded.

    :param slots: how many slots it has.
    :param warmup_started_at: when its warm-up started, in seconds.
    :param warmup_s: how long the warm-up takes, in seconds.
    :returns: at least one, and all of them after the warm-up.
    """
    if warmup_s <= 0 or now >= warmup_started_at + warmup_s:
        return slots
    elapsed_fraction = max(0.0, now - warmup_started_at) / warmup_s
    return max(1, int(slots * elapsed_fraction))
