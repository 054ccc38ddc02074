"""Follow the store: list each topic once, then watch it for changes.

In a large fleet, only a few relays follow the store all the time. Any other host starts
to when no relay has recent state of the store, and stops again once one has had it for
a while. A host that knows of a change, and gets it from no other host, asks the store
for that change only.
"""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from random import Random

from damasktally.decisions.watch_checks import WatchChecks
from damasktally.entry.topology import FleetTopology
from damasktally.events import emit
from damasktally.events.catalogue import (
    FETCHED_FROM_STORE,
    FOLLOWING_ENDED,
    FOLLOWING_STARTED,
    STORE_LOST,
    STORE_REGAINED,
    WATCHES_RENEWED,
)
from damasktally.fleet.model import era_of, revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    Changes,
    HistoryGone,
    StoreClient,
    StoreUnavailable,
)

KIND_BY_TOPIC = {
    Topic.CONFIGURATION: CONFIGURATION_KIND,
    Topic.EVACUATIONS: EVACUATIONS_KIND,
    Topic.SERVERS: SERVERS_KIND,
}
WATCH_WAIT_S = 20.0
"""Time after which the store ends a watch that has no changes."""
RECOVERY_WATCH_WAIT_S = 0.2
"""Wait of the first watch after an outage, whose response shows the store's era."""
BURST_DELAY_S = 0.3
"""Pause after a change. Changes come in bursts, and one call then brings the rest."""
PROBE_INTERVAL_S = 0.6
CHECK_DELAY_S = 0.45
"""Time for the watches to deliver what a probe saw: longer than the pause after a
change."""
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
ROLE_POLL_INTERVAL_S = 0.1
START_POLL_INTERVAL_S = 0.01
MAX_START_WAIT_S = 2.5
"""Longest wait of a starting host for the list of hosts and for a relay."""
NEVER_REACHED_AGE_S = 1e6
"""Age that messages carry if this host has never reached the store."""
TAKEOVER_DELAY_S = 1.5
"""A host that is no relay leaves the relays this long to reach a store that answers
again, before it follows the store itself."""
MIN_RELAY_AGE_S = 1.5
MAX_TAKEOVER_DELAY_S = 3.0
"""It leaves new relays some time, too, but waits no longer than this in all."""
MAX_BEHIND_S = 1.0
"""A host that does not follow the store asks it for a change that the other hosts have
had for this long and have not sent."""
FETCH_RETRY_DELAY_S = 1.0
STOP_FOLLOWING_DELAY_S = 3.0
"""A host continues to follow the store for this long after it last had to."""


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
    :param is_relay: returns whether this host is a relay.
    :param relays_age_s: returns for how many seconds the relays are the same.
    """

    is_fleet_known: Callable[[], bool]
    should_follow_store: Callable[[], bool]
    should_check_watches: Callable[[], bool]
    has_store_following_relay: Callable[[], bool]
    is_relay: Callable[[], bool]
    relays_age_s: Callable[[], float]

    @classmethod
    def from_topology(
        cls, topology: FleetTopology, is_fleet_known: Callable[[], bool]
    ) -> "FollowerRole":
        """Return the role of a host by its topology at the time of each call."""
        now = get_running_loop().time
        return cls(
            is_fleet_known,
            lambda: topology.should_follow_store(now()),
            lambda: topology.should_check_watches(now()),
            lambda: topology.has_store_following_relay(now()),
            lambda: topology.is_relay(now()),
            lambda: topology.relays_age_s(now()),
        )


class StoreSync:
    """Keep a view up to date from the store.

    :param store: the platform's store.
    :param view: what is kept up to date.
    :param on_confirmed: called with a topic each time the store confirmed it.
    :param role: determines whether this host has to follow the store at all.
    :param rng: adds jitter, which spreads the calls of many hosts over time.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        on_confirmed: Callable[[Topic], None],
        role: FollowerRole,
        rng: Random,
    ) -> None:
        self._store = store
        self._view = view
        self._on_confirmed = on_confirmed
        self._role = role
        self._rng = rng
        self._loop = get_running_loop()
        self._lost_at: dict[Topic, float] = {}
        self._checks = WatchChecks()
        self._watch_tasks: dict[Topic, Task] = {}
        self._fetch_tasks: dict[Topic, Task] = {}
        self._reach_task: Task | None = None
        self._background_tasks: list[Task] = []
        self._last_needed_at = -inf
        self._watched_era = 0
        self._complete_at: dict[Topic, float] = dict.fromkeys(Topic, -inf)

    def start(self) -> None:
        """Start to follow every topic whenever this host's role requires it."""
        self._background_tasks = [
            create_task(self._run_role()),
            create_task(self._run_probes()),
        ]

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = [
            *self._watch_tasks.values(),
            *self._fetch_tasks.values(),
            *self._background_tasks,
        ]
        if self._reach_task is not None:
            tasks.append(self._reach_task)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def reconnect(self) -> None:
        """Renew the watches on new connections, from the known revisions."""
        self._store.close_idle_connections()
        if self._watch_tasks:
            self._stop_following()
            self._start_following()

    @property
    def store_age_s(self) -> float:
        """Return the age of what this host itself has from the store, in seconds.

        All topics were complete that long ago: that one of them is delivered does not
        show that the others are.
        """
        oldest = min(self._complete_at.values())
        return min(NEVER_REACHED_AGE_S, self._loop.time() - oldest)

    def _log_following_started(self, should_follow: bool) -> None:
        has_reached_store = min(self._complete_at.values()) > -inf
        age_s = round(self.store_age_s, 2) if has_reached_store else None
        emit(FOLLOWING_STARTED, relay=should_follow, age_s=age_s)

    def _start_following(self) -> None:
        for topic in Topic:
            self._watch_tasks[topic] = create_task(self._follow(topic))

    def _stop_following(self) -> None:
        for task in self._watch_tasks.values():
            task.cancel()
        self._watch_tasks.clear()

    def _renew_watch(self, topic: Topic) -> None:
        """Watch a topic on another connection, from the known revision."""
        self._watch_tasks[topic].cancel()
        self._watch_tasks[topic] = create_task(self._follow(topic))

    async def _run_role(self) -> None:
        """Start and stop following the store as the role changes."""
        deadline = self._loop.time() + MAX_START_WAIT_S
        while not self._is_role_known() and self._loop.time() < deadline:
            await sleep(START_POLL_INTERVAL_S)
        while True:
            now = self._loop.time()
            should_follow = self._role.should_follow_store()
            is_needed = should_follow or not self._role.has_store_following_relay()
            if is_needed:
                self._last_needed_at = now
            if (
                is_needed
                and not self._watch_tasks
                and (should_follow or await self._can_take_over())
            ):
                self._log_following_started(should_follow)
                self._start_following()
                self._reach_task = create_task(self._confirm_reach())
            elif self._watch_tasks and self._store.era > self._watched_era:
                self._renew_earlier_watches()
            elif (
                self._watch_tasks
                and now - self._last_needed_at > STOP_FOLLOWING_DELAY_S
            ):
                emit(FOLLOWING_ENDED)
                self._stop_following()
            if not self._watch_tasks:
                self._fetch_overdue_topics(now)
            await sleep(ROLE_POLL_INTERVAL_S)

    def _fetch_overdue_topics(self, now: float) -> None:
        """Begin to fetch the topics that other hosts have had newer for too long."""
        for topic in Topic:
            behind_s = self._view.staleness.behind_s(topic, now)
            if behind_s > MAX_BEHIND_S and topic not in self._fetch_tasks:
                emit(
                    FETCHED_FROM_STORE,
                    topic=topic.value,
                    revision=revision_in_era(self._view.revisions[topic]),
                    behind_s=round(behind_s, 2),
                )
                self._fetch_tasks[topic] = create_task(self._fetch(topic))

    async def _fetch(self, topic: Topic) -> None:
        """Ask the store for the changes of a topic once, and wait if it has none."""
        # Other hosts may be overdue at the same time.
        await sleep(ROLE_POLL_INTERVAL_S * self._rng.random())
        try:
            await self._fetch_changes(topic)
        except StoreUnavailable:
            await sleep(FETCH_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
        finally:
            del self._fetch_tasks[topic]

    async def _fetch_changes(self, topic: Topic) -> None:
        revision = self._view.revisions[topic]
        if not revision:
            await self._list(topic)
            return
        try:
            self._apply(topic, await self._store.check(KIND_BY_TOPIC[topic], revision))
        except HistoryGone:
            await self._list(topic)

    def _renew_earlier_watches(self) -> None:
        """Renew all watches when the first of them showed a later era.

        A watch from the era before may wait without end for a revision that the store
        gave out again.
        """
        self._watched_era = self._store.era
        if any(
            0 < era_of(revision) < self._watched_era
            for revision in self._view.revisions.values()
        ):
            self.reconnect()

    def _is_role_known(self) -> bool:
        """Return whether a starting host can decide whether it has to follow."""
        role = self._role
        return role.is_fleet_known() and (
            role.should_follow_store() or role.has_store_following_relay()
        )

    async def _can_take_over(self) -> bool:
        """Return whether the store answers and no relay has recent state of it.

        Many hosts may lose their relays at once, so none of them lists topics first,
        and those that are no relay wait for the relays, unless they become one. If the
        store does not answer, wait for a while.
        """
        try:
            await self._store.probe()
        except StoreUnavailable:
            await sleep(MAX_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
            return False
        began_at = self._loop.time()
        delay_s = TAKEOVER_DELAY_S * self._rng.uniform(1.0, 1.5)
        while self._leaves_store_to_relays(self._loop.time() - began_at, delay_s):
            await sleep(ROLE_POLL_INTERVAL_S)
        return not self._role.has_store_following_relay()

    def _leaves_store_to_relays(self, waited_s: float, delay_s: float) -> bool:
        """Return whether this host waits on for the relays to follow the store."""
        role = self._role
        if role.is_relay() or waited_s >= MAX_TAKEOVER_DELAY_S:
            return False
        return waited_s < delay_s or role.relays_age_s() < MIN_RELAY_AGE_S

    async def _confirm_reach(self) -> None:
        """Find out at once whether the store answers, which other hosts wait for."""
        # The watches log that the store is lost.
        with suppress(StoreUnavailable):
            await self._store.probe()
            for topic in Topic:
                self._record_complete(topic)

    async def _run_probes(self) -> None:
        """Find out again and again whether the watches deliver all changes."""
        while True:
            await sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if not self._watch_tasks:
                continue
            try:
                await self._probe()
            except StoreUnavailable:
                self._checks.record_failure()

    async def _probe(self) -> None:
        """Compare the store's revision with what each topic is known to have.

        :raises StoreUnavailable: if the store does not respond, or reports an error.
        """
        store_revision = await self._store.probe()
        known_revision = max(self._view.revisions.values())
        if era_of(store_revision) > era_of(known_revision) > 0:
            # A watch from the era before may wait without end.
            self.reconnect()
            return
        if self._checks.take_failure():
            self._log_watches_renewed(None, "the store was unreachable", store_revision)
            self.reconnect()
        behind = self._topics_behind(store_revision)
        for topic in Topic:
            if topic not in behind:
                self._record_complete(topic)
        if behind:
            await sleep(CHECK_DELAY_S)
            await self._check_topics(store_revision)

    def _topics_behind(self, store_revision: int) -> list[Topic]:
        return self._checks.topics_behind(store_revision, self._view.revisions)

    async def _check_topics(self, store_revision: int) -> None:
        """Ask for the changes of each topic that is still behind the store's revision.

        In a small fleet, where all hosts follow the store, only a few of them do so,
        and the others get from them what they lack.
        """
        behind = self._topics_behind(store_revision)
        for topic in Topic:
            if topic not in behind:
                self._record_complete(topic)
        if self._role.should_check_watches():
            await gather(*(self._check(topic) for topic in behind))

    async def _check(self, topic: Topic) -> None:
        """Ask for the changes of a topic, and renew its watch if it missed some."""
        known = self._checks.complete_to(topic, self._view.revisions[topic])
        try:
            page = await self._store.check(KIND_BY_TOPIC[topic], known)
        except HistoryGone:
            self._log_watches_renewed(topic, "its history is gone", known)
            self._renew_if_followed(topic)
            return
        except StoreUnavailable:
            self._checks.record_failure()
            return
        # Without changes the topic keeps its revision, so that no host requests it.
        if page.changes:
            reason = "it did not deliver a change"
            self._log_watches_renewed(topic, reason, page.revision)
            self._apply(topic, page)
            self._renew_if_followed(topic)
        self._checks.record_complete(topic, page.revision)
        self._record_complete(topic)

    def _renew_if_followed(self, topic: Topic) -> None:
        # The host may have stopped following the store during the check.
        if topic in self._watch_tasks:
            self._renew_watch(topic)

    def _record_complete(self, topic: Topic) -> None:
        """Record that the host has all changes of a topic up to now."""
        self._complete_at[topic] = self._loop.time()
        self._on_confirmed(topic)

    def _log_watches_renewed(
        self, topic: Topic | None, reason: str, reached: int
    ) -> None:
        known = self._view.revisions
        emit(
            WATCHES_RENEWED,
            topic=topic.value if topic else "all",
            reason=reason,
            reached=revision_in_era(reached),
            known=revision_in_era(known[topic] if topic else max(known.values())),
        )

    async def _follow(self, topic: Topic) -> None:
        """List a topic, then watch it; list it again when its history is gone.

        If the history is gone again right after a list, the store names an earlier era
        than another host knows, and the next list waits.
        """
        retry_delay_s = MIN_RETRY_DELAY_S
        is_listed = self._view.revisions[topic] > 0
        has_watched = True
        while True:
            try:
                if is_listed:
                    await self._watch(topic)
                    has_watched = True
                else:
                    await self._list(topic)
                    is_listed = True
            except HistoryGone:
                is_listed = False
                if not has_watched:
                    await sleep(retry_delay_s * self._rng.uniform(0.5, 1.5))
                    retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
                has_watched = False
                continue
            except StoreUnavailable as exc:
                self._log_store_lost(topic, exc)
                await sleep(retry_delay_s * self._rng.uniform(0.5, 1.5))
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
                continue
            if has_watched:
                retry_delay_s = MIN_RETRY_DELAY_S
            self._log_store_regained(topic)
            self._record_complete(topic)

    async def _list(self, topic: Topic) -> None:
        listing = await self._store.list_objects(KIND_BY_TOPIC[topic])
        self._view.replace(
            topic, listing.revision, listing.specs, "store", self._loop.time()
        )

    async def _watch(self, topic: Topic) -> None:
        revision = self._view.revisions[topic]
        is_recovering = topic in self._lost_at
        wait_s = RECOVERY_WATCH_WAIT_S if is_recovering else WATCH_WAIT_S
        page = await self._store.watch(KIND_BY_TOPIC[topic], revision, wait_s)
        self._apply(topic, page)
        if page.changes:
            await sleep(BURST_DELAY_S)

    def _apply(self, topic: Topic, page: Changes) -> None:
        changes = [(change.name, change.spec) for change in page.changes]
        self._view.apply(topic, page.revision, changes, "store", self._loop.time())

    def _log_store_lost(self, topic: Topic, exc: StoreUnavailable) -> None:
        if topic not in self._lost_at:
            self._lost_at[topic] = self._loop.time()
            emit(
                STORE_LOST,
                topic=topic.value,
                revision=revision_in_era(self._view.revisions[topic]),
                reason=str(exc),
            )

    def _log_store_regained(self, topic: Topic) -> None:
        lost_at = self._lost_at.pop(topic, None)
        if lost_at is not None:
            emit(
                STORE_REGAINED,
                topic=topic.value,
                revision=revision_in_era(self._view.revisions[topic]),
                away_s=round(self._loop.time() - lost_at, 2),
            )
