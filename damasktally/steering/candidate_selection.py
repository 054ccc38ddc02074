"""Choose a backend server: a pure function of the candidates and a policy."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from damasktally.resources.kinds import BackendServer, SteeringPolicy
from damasktally.resources.view import View

LATENCY_SCALE_MS = 10.0
SAME_CENTRE_MS = 0.1
SAME_REGION_MS = 1.0
UNKNOWN_REGION_MS = 1000.0
LOAD_HINT_PART = 0.3
"""How much of the utilisation is what the server says, not what this host counts."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server that may be chosen.

    :param region: where it is.
    :param latency_ms: one way, from this host.
    :param free: slots that this host can fill.
    :param in_use: slots that this host has filled.
    :param load_hint: what it reported, faded with age, from 0 to 1.
    """

    server: str
    region: str
    latency_ms: float
    free: int
    in_use: int
    load_hint: float


def latency_ms(view: View, region: str, data_centre: str, to: BackendServer) -> float:
    """Return the one-way latency from a host to a server, in milliseconds."""
    if to.region == region:
        if to.data_centre == data_centre:
            return SAME_CENTRE_MS
        return SAME_REGION_MS
    known = view.regions.get(region)
    if known is None:
        return UNKNOWN_REGION_MS
    return known.latency_ms.get(to.region, UNKNOWN_REGION_MS)


def score(candidate: Candidate, policy: SteeringPolicy) -> float:
    """Return how bad a choice is: weighted latency plus weighted utilisation."""
    total = candidate.free + candidate.in_use
    counted = (candidate.in_use + 1) / total if total else 1.0
    busy = (1 - LOAD_HINT_PART) * counted + LOAD_HINT_PART * candidate.load_hint
    latency = candidate.latency_ms / LATENCY_SCALE_MS
    return policy.latency_weight * latency + policy.headroom_weight * busy


def select_candidate(
    candidates: Sequence[Candidate],
    region: str,
    policy: SteeringPolicy,
    rng: Random,
) -> Candidate | None:
    """Return the better of two random candidates, this host's region first.

    Two random choices keep hosts that see the same picture from choosing the same
    server. Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing",
    IEEE TPDS 2001.

    :param region: this host's region.
    :returns: nothing when no candidate has a free slot.
    """
    free = [item for item in candidates if item.free > 0]
    if not free:
        return None
    same = [item for item in free if item.region == region]
    if not same:
        nearest = min(item.latency_ms for item in free)
        same = [item for item in free if item.latency_ms == nearest]
    # The sample is in random order, so that equal scores do not favour one server.
    pair = rng.sample(same, min(2, len(same)))
    return min(pair, key=lambda item: score(item, policy))
