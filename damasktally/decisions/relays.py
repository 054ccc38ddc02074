"""Choose the relays: hosts that exchange messages on behalf of their data centre.

In a small fleet every host sends heartbeats to every other host. In a large fleet the
cost for each host would grow with the fleet. There the hosts of a data centre send
heartbeats only to each other, and a few of them, the relays, exchange summaries with
the relays of the other data centres. A few relays of the fleet follow the store and
pass its changes on, so that the calls to the store depend on the changes and not on the
number of data centres. Each choice is a pure function of the hosts that are alive, so
that no agreement is needed: if two hosts disagree for a moment, only more messages or
calls than necessary are sent.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from damasktally.decisions.affinity import rendezvous_score

MAX_FULL_MESH_HOSTS = 24
"""Size of the fleet up to which every host sends heartbeats to every other."""
RELAYS_PER_DATA_CENTRE = 2
"""With two relays, the loss of one does no harm."""
STORE_FOLLOWERS = 4
"""Relays that follow the store. The loss of a region leaves some of them."""
LINK_MBPS_PER_CORE = 50.0
"""Mbit/s of a host's link that count as one core."""
MAX_RELAY_STORE_AGE_S = 2.6
"""A relay has the state of the store if it, or a relay that it hears from, reached the
store within this time. A probe takes up to a second, and so does the detection that one
fails."""
MAX_CUT_OFF_RELAY_STORE_AGE_S = 1.6
"""The same for a relay that says that it does not reach the store itself."""
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


def choose_store_followers(
    relays_by_data_centre: Mapping[tuple[str, str], Sequence[str]],
    cut_off: Collection[str] = (),
) -> list[str]:
    """Return the names of the relays that follow the store for the whole fleet.

    Primary relays come first, and one of each region before the second of any. Relays
    that do not reach the store are replaced, each by two: what cuts off some may cut
    off those that replace them, too, and nobody knows which before they try.

    :param relays_by_data_centre: relays by region and data centre, the primary first.
    :param cut_off: names of hosts that said that they do not reach the store. If all
        relays did, they are chosen as if none had.
    """
    data_centres_seen: dict[str, int] = {}
    ranked = []
    for region, data_centre in sorted(relays_by_data_centre):
        position = data_centres_seen.get(region, 0)
        data_centres_seen[region] = position + 1
        for rank, host in enumerate(relays_by_data_centre[region, data_centre]):
            ranked.append((rank, position, region, host))
    ranked.sort()
    hosts = [host for _, _, _, host in ranked]
    usable = [host for host in hosts if host not in cut_off]
    spare_count = len(hosts) - len(usable)
    return usable[: STORE_FOLLOWERS + spare_count] or hosts[:STORE_FOLLOWERS]


@dataclass(frozen=True, slots=True)
class RelayState:
    """Hold when a relay of the same data centre was last known to work.

    :param silent_s: seconds since its last heartbeat.
    :param store_age_s: age of its state of the store in seconds, as of that heartbeat.
    :param has_lost_store: whether it does not reach the store itself.
    """

    silent_s: float
    store_age_s: float
    has_lost_store: bool = False

    def is_usable(self) -> bool:
        """Return whether the relay is alive and has recent state of the store."""
        max_age_s = (
            MAX_CUT_OFF_RELAY_STORE_AGE_S
            if self.has_lost_store
            else MAX_RELAY_STORE_AGE_S
        )
        return self.silent_s <= MAX_RELAY_SILENCE_S and self.store_age_s <= max_age_s


def has_live_relay(relays: Iterable[RelayState]) -> bool:
    """Return whether some relay is alive and has the state of the store.

    A host whose data centre has such a relay need not follow the store itself.
    """
    return any(relay.is_usable() for relay in relays)
