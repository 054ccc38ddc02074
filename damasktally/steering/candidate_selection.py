"""Select a backend server: a pure function of the candidates and a policy."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from damasktally.resources.kinds import BackendServer, SteeringPolicy
from damasktally.resources.view import View

LATENCY_MS_PER_COST_UNIT = 10.0
"""Latency that costs as much as full utilisation when both weights are equal."""
SAME_DATA_CENTRE_LATENCY_MS = 0.1
"""Assumed one-way latency to a server of the same data centre."""
SAME_REGION_LATENCY_MS = 1.0
"""Assumed one-way latency to another data centre of the same region."""
UNKNOWN_REGION_LATENCY_MS = 1000.0
"""One-way latency assumed for a pair of regions whose latency is not configured."""
REPORTED_LOAD_WEIGHT = 0.3
"""Weight of the reported load in the utilisation; the rest is this host's count."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server that a request can be sent to.

    :param region: the server's region.
    :param latency_ms: one-way latency from this host, in milliseconds.
    :param free_slots: slots that this host can fill.
    :param slots_in_use: slots that this host has filled.
    :param load_estimate: load that the server reported, decayed with age, 0 to 1.
    """

    server: str
    region: str
    latency_ms: float
    free_slots: int
    slots_in_use: int
    load_estimate: float


def estimate_latency_ms(
    view: View, region: str, data_centre: str, server: BackendServer
) -> float:
    """Return the one-way latency from a host to a server, in milliseconds.

    :param region: the host's region.
    :param data_centre: the host's data centre.
    """
    if server.region == region:
        if server.data_centre == data_centre:
            return SAME_DATA_CENTRE_LATENCY_MS
        return SAME_REGION_LATENCY_MS
    own_region = view.regions.get(region)
    if own_region is None:
        return UNKNOWN_REGION_LATENCY_MS
    return own_region.latency_ms.get(server.region, UNKNOWN_REGION_LATENCY_MS)


def selection_cost(candidate: Candidate, policy: SteeringPolicy) -> float:
    """Return the weighted latency plus the weighted utilisation; lower is better.

    The utilisation counts the request that is to be placed. A server without any
    slot counts as full.
    """
    total_slots = candidate.free_slots + candidate.slots_in_use
    own_utilisation = (candidate.slots_in_use + 1) / total_slots if total_slots else 1.0
    utilisation = (
        1 - REPORTED_LOAD_WEIGHT
    ) * own_utilisation + REPORTED_LOAD_WEIGHT * candidate.load_estimate
    latency_cost = candidate.latency_ms / LATENCY_MS_PER_COST_UNIT
    return policy.latency_weight * latency_cost + policy.headroom_weight * utilisation


def select_candidate(
    candidates: Sequence[Candidate],
    region: str,
    policy: SteeringPolicy,
    rng: Random,
) -> Candidate | None:
    """Return the better of two random candidates, this host's region first.

    If no candidate is in this host's region, the two are drawn from those with the
    lowest latency. Two random choices keep hosts that work from the same data from
    all selecting the same server. Mitzenmacher: "The Power of Two Choices in
    Randomized Load Balancing", IEEE TPDS 2001.

    :param region: this host's region.
    :returns: ``None`` when no candidate has a free slot.
    """
    available = [item for item in candidates if item.free_slots > 0]
    if not available:
        return None
    preferred = [item for item in available if item.region == region]
    if not preferred:
        lowest_latency_ms = min(item.latency_ms for item in available)
        preferred = [item for item in available if item.latency_ms == lowest_latency_ms]
    # The sample is in random order, so that equal costs do not favour one server.
    sampled = rng.sample(preferred, min(2, len(preferred)))
    return min(sampled, key=lambda item: selection_cost(item, policy))
