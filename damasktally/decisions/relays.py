"""Choose the relays: hosts that exchange messages on behalf of their data centre.

In a small fleet every host sends heartbeats to every other host. In a large fleet the
cost for each host would grow with the fleet. There the hosts of a data centre send
heartbeats only to each other, and a few of them, the relays, exchange summaries with
the relays of the other data centres and follow the store for all hosts. The choice is a
pure function of the hosts that are alive, so that no agreement is needed: if two hosts
disagree for a moment, only more messages than necessary are sent.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.decisions.affinity import rendezvous_score

MAX_FULL_MESH_HOSTS = 24
"""Size of the fleet up to which every host sends heartbeats to every other."""
RELAYS_PER_DATA_CENTRE = 2
"""With two relays, the loss of one does no harm."""
LINK_MBPS_PER_CORE = 50.0
"""Mbit/s of a host's link that count as one core."""
MAX_RELAY_STORE_AGE_S = 2.6
"""A relay follows the store if it reached it within this time. A probe takes up to a
second, and so does the detection that one fails."""
MAX_RELAY_SILENCE_S = 1.2
"""A relay counts as failed if no heartbeat arrived from it for this long."""


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """Describe a host that may become a relay of its data centre.

    :param capacity: its capacity in cores, see :func:`capacity_in_cores`.
    """

    host: str
    capacity: float


def capacity_in_cores(cores: float, link_mbps: float) -> float:
    """Return a host's capacity in cores, limited by its link.

    The link is counted as the number of cores that it can feed, at
    :data:`LINK_MBPS_PER_CORE` for each core.

    :param cores: processor cores that the host may use.
    :param link_mbps: throughput of its network link in Mbit/s.
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def is_full_mesh(fleet_size: int) -> bool:
    """Return whether every host sends heartbeats to every other host.

    :param fleet_size: number of hosts.
    """
    return fleet_size <= MAX_FULL_MESH_HOSTS


def choose_relays(data_centre: str, hosts: Iterable[RelayCandidate]) -> list[str]:
    """Return the names of the relays of a data centre, the primary one first.

    :param hosts: the hosts of the data centre that are alive.
    """
    key = data_centre.encode()
    ranked = sorted(
        hosts, key=lambda item: (-item.capacity, rendezvous_score(item.host, key))
    )
    return [item.host for item in ranked[:RELAYS_PER_DATA_CENTRE]]


@dataclass(frozen=True, slots=True)
class RelayState:
    """Hold when a relay of the same data centre was last known to work.

    :param silent_s: seconds since its last heartbeat.
    :param store_age_s: seconds since it reached the store, as of that heartbeat.
    """

    silent_s: float
    store_age_s: float


def has_live_relay(relays: Iterable[RelayState]) -> bool:
    """Return whether some relay is alive and follows the store.

    A host whose data centre has such a relay need not follow the store itself.
    """
    return any(
        relay.silent_s <= MAX_RELAY_SILENCE_S
        and relay.store_age_s <= MAX_RELAY_STORE_AGE_S
        for relay in relays
    )
