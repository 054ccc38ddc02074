"""Derive which hosts follow the store, and how recent the state of others is."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from damasktally.decisions.relays import (
    MAX_RELAY_STORE_AGE_S,
    RelayState,
    choose_store_followers,
    has_live_relay,
)
from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.topic_reader import NEVER_REACHED_AGE_S
from damasktally.entry.topology import CACHE_LIFETIME_S, FleetTopology
from damasktally.fleet.members import MemberTable
from damasktally.fleet.store_outages import StoreObservation
from damasktally.fleet.summaries import SummaryTable
from damasktally.fleet.topics import Topic


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Hold what was derived at one moment, in seconds of the event loop's time.

    :param is_chosen: whether this host follows the store for the fleet.
    :param reached_at: when the newest state of the store that this host got from
        others was current.
    """

    computed_at: float
    is_chosen: bool
    reached_at: float


class StoreTopology:
    """Derive from messages which hosts follow the store for the others.

    Times called ``now`` are times of the event loop in seconds.

    :param members: hosts that send heartbeats to this one, or that the store lists.
    :param summaries: the last summary of each relay.
    :param topology: knows the size and the relays of the fleet.
    :param revisions: the revision of each topic that this host has, kept up to date.
    :param reach: tells whether this host reaches the store in time.
    :param calls: outcomes of this host's calls to the store.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
        topology: FleetTopology,
        revisions: Mapping[Topic, int],
        reach: StoreReach,
        calls: StoreCalls,
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._topology = topology
        self._revisions = revisions
        self._reach = reach
        self._calls = calls
        self._own = members.own
        self._cached: _Snapshot | None = None
        self._relayed_reached_at = -inf

    def invalidate(self) -> None:
        """Discard what was derived, since a host lost the store."""
        self._cached = None

    def _get_snapshot(self, now: float) -> _Snapshot:
        cached = self._cached
        if cached is None or not 0 <= now - cached.computed_at < CACHE_LIFETIME_S:
            cached = self._cached = _Snapshot(
                now, self._is_chosen(now), self._store_reached_at(now)
            )
        return cached

    def _store_reached_at(self, now: float) -> float:
        """Return when the newest state of the store that this host got was current.

        A host that is ahead vouches for what it has, and this host lacks some of that.
        """
        times = [
            record.last_seen_at - record.store_age_s
            for record in self._members.live_records(now)
            if self._has_all_of(record.revisions)
        ]
        times += [
            record.received_at - record.summary.store_age_s
            for record in self._summaries.live_records(now)
            if self._has_all_of(record.revisions)
        ]
        self._relayed_reached_at = max([self._relayed_reached_at, *times])
        return self._relayed_reached_at

    def _has_all_of(self, revisions: Mapping[Topic, int]) -> bool:
        """Return whether this host has revisions that another one named."""
        return all(
            revision <= self._revisions.get(topic, 0)
            for topic, revision in revisions.items()
        )

    def _is_chosen(self, now: float) -> bool:
        """Return whether this host is one of the relays that follow the store."""
        relays = self._topology.relays(now)
        if self._own not in relays:
            return False
        by_data_centre = {
            (members[0].region, members[0].data_centre): [m.host for m in members]
            for members in (relays, *self._topology.remote_relays(now))
        }
        cut_off = self._hosts_without_store(now)
        return self._own.host in choose_store_followers(by_data_centre, cut_off)

    def _hosts_without_store(self, now: float) -> set[str]:
        """Return the live hosts that do not reach the store, as they say themselves."""
        hosts = {
            record.member.host
            for record in self._members.live_records(now)
            if record.has_lost_store
        }
        hosts.update(
            record.summary.relay
            for record in self._summaries.live_records(now)
            if record.summary.has_lost_store
        )
        if self._reach.is_lost(now):
            hosts.add(self._own.host)
        return hosts

    def should_follow_store(self, now: float) -> bool:
        """Return whether this host has to follow the store itself.

        Every host does so in a full mesh; otherwise a few relays do it for the others.
        """
        return self._topology.is_full_mesh(now) or self._get_snapshot(now).is_chosen

    def expects_changes_from_store(self, now: float) -> bool:
        """Return whether this host follows the store and has not lost it."""
        return self.should_follow_store(now) and not self._reach.is_lost(now)

    def should_check_watches(self, now: float) -> bool:
        """Return whether this host checks for others what the watches deliver.

        In a full mesh, where every host follows the store, a few check it for all. In a
        large fleet, every host that follows the store does so for others.
        """
        return not self._topology.is_full_mesh(now) or self._get_snapshot(now).is_chosen

    def observe_store(self, now: float) -> StoreObservation:
        """Return what this host knows of the store, also from other hosts."""
        known = self._members.live_records(now)
        summaries = self._summaries.live_records(now)
        ages = [(record.last_seen_at, record.store_age_s) for record in known]
        ages += [
            (record.received_at, record.summary.store_age_s) for record in summaries
        ]
        reached = [at - age_s for at, age_s in ages if age_s < NEVER_REACHED_AGE_S]
        says_unavailable = [record.is_store_unavailable for record in known]
        says_unavailable += [
            record.summary.is_store_unavailable for record in summaries
        ]
        heard = [
            record.last_seen_at
            for record in self._members.records()
            if record.has_been_seen
        ]
        return StoreObservation(
            reached_at=max([self._calls.responded_at, *reached]),
            heard_at=max(heard, default=-inf),
            is_unavailable=self._calls.show_unavailable(now),
            is_unavailable_to_others=any(says_unavailable),
        )

    def relayed_store_age_s(self, now: float) -> float:
        """Return the age of the state that this host got from others, in seconds.

        A relay that does not follow the store gets changes from one that does, and
        reports the age of what it got. Ages only grow on the way, so that two hosts
        cannot keep each other's young. While this host lacks what another one has, the
        age grows, too, so that those that rely on it notice.

        :returns: infinity if this host never got any.
        """
        return now - self._get_snapshot(now).reached_at

    def announced_age_s(self, own_age_s: float, now: float) -> float:
        """Return the age of this host's state of the store, as its messages carry it.

        :param own_age_s: age of what it has from the store itself, in seconds.
        """
        if self._topology.is_full_mesh(now):
            return own_age_s
        return min(own_age_s, self.relayed_store_age_s(now))

    def has_store_following_relay(self, now: float) -> bool:
        """Return whether another relay here is alive and has the store's state.

        A relay counts the relays of other data centres, too.
        """
        age_s = self.relayed_store_age_s(now)
        if self._topology.is_relay(now) and age_s <= MAX_RELAY_STORE_AGE_S:
            return True
        return has_live_relay(
            RelayState(
                now - record.last_seen_at, record.store_age_s, record.has_lost_store
            )
            for record in self._topology.local_relay_records(now)
        )

    def have_relays_lost_store(self, now: float) -> bool:
        """Return whether all other relays here say that they do not reach the store."""
        records = self._topology.local_relay_records(now)
        return bool(records) and all(record.has_lost_store for record in records)
