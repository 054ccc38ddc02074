"""Choose the hosts that speak for their data centre.

In a small fleet every host hears every other. In a large one that would cost each
host more the larger the fleet is, so the hosts of a data centre hear each other, and a
few of them, the relays, exchange summaries with the relays of the other data centres
and follow the store for all. The choice is a pure function of the hosts that are
heard, so that it needs no agreement; two hosts that disagree for a moment only send
more than is needed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.decisions.affinity import rendezvous_score

MAX_FULL_MESH_HOSTS = 24
"""Hosts up to which every host hears every other."""
RELAYS_PER_DATA_CENTRE = 2
"""Relays in a data centre; the second makes the loss of one harmless."""
LINK_MBPS_PER_CORE = 50.0
"""A relay's link is worth one core for each so many Mbit/s."""
MAX_RELAY_STORE_AGE_S = 2.6
"""A relay that reached the store within this long follows it; probes take a second,
and so does noticing that one fails."""
MAX_RELAY_SILENCE_S = 1.2
"""A relay that was not heard for this long is not relied on."""


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """Describe a host that may speak for its data centre.

    :param capacity: what it can bear, see :func:`capacity_of`.
    """

    host: str
    capacity: float


def capacity_in_cores(cores: float, link_mbps: float) -> float:
    """Return what a host can bear, in cores, its link counted too."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def is_full_mesh(fleet_size: int) -> bool:
    """Tell whether every host hears every other."""
    return fleet_size <= MAX_FULL_MESH_HOSTS


def choose_relays(data_centre: str, hosts: Iterable[RelayCandidate]) -> list[str]:
    """Return the hosts that speak for a data centre, the first one first.

    :param hosts: the hosts of the data centre that are alive.
    """
    key = data_centre.encode()
    ranked = sorted(
        hosts, key=lambda item: (-item.capacity, rendezvous_score(item.host, key))
    )
    return [item.host for item in ranked[:RELAYS_PER_DATA_CENTRE]]


@dataclass(frozen=True, slots=True)
class RelayState:
    """Hold how far a relay of the own data centre can be relied on.

    :param silent_s: seconds since it was heard.
    :param store_age_s: seconds since it reached the store, as of then.
    """

    silent_s: float
    store_age_s: float


def has_live_relay(relays: Iterable[RelayState]) -> bool:
    """Tell whether some relay follows the store, so that this host need not."""
    return any(
        relay.silent_s <= MAX_RELAY_SILENCE_S
        and relay.store_age_s <= MAX_RELAY_STORE_AGE_S
        for relay in relays
    )
