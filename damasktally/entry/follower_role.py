"""Determine whether this host has to follow the store."""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass

from damasktally.entry.store_topology import StoreTopology
from damasktally.entry.topology import FleetTopology


@dataclass(frozen=True, slots=True)
class FollowerRole:
    """Determine whether this host has to follow the store.

    :param is_fleet_known: returns whether the other hosts are known, on which the
        role depends.
    :param should_follow_store: returns whether this host has to follow the store
        whatever the others do.
    :param should_check_watches: returns whether this host is one of the few that check
        for the fleet that the watches deliver all changes.
    :param has_store_following_relay: returns whether a relay that has recent state of
        the store is alive.
    :param have_relays_lost_store: returns whether the relays of this data centre say
        that they do not reach the store themselves.
    :param is_relay: returns whether this host is a relay.
    :param relays_age_s: returns for how many seconds the relays are the same.
    """

    is_fleet_known: Callable[[], bool]
    should_follow_store: Callable[[], bool]
    should_check_watches: Callable[[], bool]
    has_store_following_relay: Callable[[], bool]
    have_relays_lost_store: Callable[[], bool]
    is_relay: Callable[[], bool]
    relays_age_s: Callable[[], float]

    @classmethod
    def from_topology(
        cls,
        topology: FleetTopology,
        store_topology: StoreTopology,
        is_fleet_known: Callable[[], bool],
    ) -> "FollowerRole":
        """Return the role of a host by its topology at the time of each call."""
        now = get_running_loop().time
        return cls(
            is_fleet_known,
            lambda: store_topology.should_follow_store(now()),
            lambda: store_topology.should_check_watches(now()),
            lambda: store_topology.has_store_following_relay(now()),
            lambda: store_topology.have_relays_lost_store(now()),
            lambda: topology.is_relay(now()),
            lambda: topology.relays_age_s(now()),
        )

    def is_known(self) -> bool:
        """Return whether a starting host can decide whether it has to follow."""
        return self.is_fleet_known() and (
            self.should_follow_store() or self.has_store_following_relay()
        )
