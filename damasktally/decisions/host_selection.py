"""Choose the host to which a request is forwarded if this one reaches no server."""

from collections.abc import Callable, Iterable
from random import Random

from damasktally.fleet.model import ReadyHost

MAX_HOSTS_TRIED = 2
"""Hosts to which one request is forwarded, one after the other."""
MAX_IN_FLIGHT_PER_CORE = 32
"""Requests that this host has under way at another one, for each core of that one."""


def choose_host(
    hosts: Iterable[ReadyHost],
    service: str,
    home_regions: frozenset[str],
    own_region: str,
    in_flight: Callable[[str], int],
    rng: Random,
) -> str | None:
    """Return the host that takes a request, or None if none can.

    Hosts of the own region are preferred as long as they have room, and are as many as
    those that are cut off there. Of two hosts that are drawn at random, the one with
    less under way is taken, so that the load of a host that is cut off is spread.

    :param hosts: the other hosts that are ready and were not tried yet.
    :param service: the service whose servers are not reached here.
    :param home_regions: the only regions that may serve; empty allows all.
    :param in_flight: returns how many requests this host has under way at another.
    :returns: name of the host.
    """
    known = list(hosts)
    usable = [
        host.member
        for host in known
        if host.member.forwarding_port
        and service not in host.unreachable_services
        and (not home_regions or host.member.region in home_regions)
        and in_flight(host.member.host) < _max_in_flight(host.member.capacity)
    ]
    near = [member for member in usable if member.region == own_region]
    cut_count = 1 + sum(
        host.member.region == own_region and service in host.unreachable_services
        for host in known
    )
    candidates = near if len(near) >= cut_count else usable
    if not candidates:
        return None
    drawn = rng.choices(candidates, [max(0.1, m.capacity) for m in candidates], k=2)
    return min(drawn, key=lambda m: in_flight(m.host) / max(0.1, m.capacity)).host


def _max_in_flight(capacity: float) -> float:
    return max(4.0, MAX_IN_FLIGHT_PER_CORE * capacity)
