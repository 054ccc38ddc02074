"""Follow the store: list each topic once, then watch it for changes.

In a large fleet, only a few relays follow the store all the time. Any other host starts
to when no relay has recent state of the store, and stops again once one has had it for
a while. A host that knows of a change, and gets it from no other host, asks the store
for that change only.
"""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Callable
from math import inf
from random import Random

from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.follower_role import FollowerRole
from damasktally.entry.overdue_topics import OverdueTopics
from damasktally.entry.topic_reader import TopicReader
from damasktally.entry.watch_prober import WatchControl, WatchProber
from damasktally.events import emit
from damasktally.events.catalogue import (
    FOLLOWING_ENDED,
    FOLLOWING_STARTED,
    STORE_LOST,
    STORE_REGAINED,
)
from damasktally.fleet.model import era_of, revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import HistoryGone, StoreClient, StoreUnavailable

WATCH_WAIT_S = 20.0
"""Time after which the store ends a watch that has no changes."""
RECOVERY_WATCH_WAIT_S = 0.2
"""Wait of the first watch after an outage, whose response shows the store's era."""
BURST_DELAY_S = 0.3
"""Pause after a change. Changes come in bursts, and one call then brings the rest."""
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
ROLE_POLL_INTERVAL_S = 0.1
START_POLL_INTERVAL_S = 0.01
MAX_START_WAIT_S = 2.5
"""Longest wait of a starting host for the list of hosts and for a relay."""
TAKEOVER_DELAY_S = 1.5
"""A host that is no relay leaves the relays this long to reach a store that answers
again, before it follows the store itself."""
SHORT_TAKEOVER_DELAY_S = 0.4
"""The same if the relays say that they do not reach the store."""
MIN_RELAY_AGE_S = 1.5
MAX_TAKEOVER_DELAY_S = 3.0
"""It leaves new relays some time, too, but waits no longer than this in all."""
STOP_FOLLOWING_DELAY_S = 3.0
"""A host continues to follow the store for this long after it last had to."""


class StoreSync:
    """Keep a view up to date from the store.

    :param store: the platform's store.
    :param view: what is kept up to date.
    :param on_confirmed: called with a topic each time the store confirmed it.
    :param role: determines whether this host has to follow the store at all.
    :param reach: is told whether the store responds in time.
    :param calls: outcomes of this host's calls to the store.
    :param rng: adds jitter, which spreads the calls of many hosts over time.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        on_confirmed: Callable[[Topic], None],
        role: FollowerRole,
        reach: StoreReach,
        calls: StoreCalls,
        rng: Random,
    ) -> None:
        self._store = store
        self._view = view
        self._role = role
        self._reach = reach
        self._rng = rng
        self._loop = get_running_loop()
        self._reader = TopicReader(store, view, on_confirmed)
        self._overdue_topics = OverdueTopics(self._reader, view, rng)
        watches = WatchControl(
            lambda: bool(self._watch_tasks),
            role.should_check_watches,
            self.reconnect,
            self._renew_watch,
        )
        self._prober = WatchProber(
            store, self._reader, view, reach, calls, watches, rng
        )
        self._lost_at: dict[Topic, float] = {}
        self._watch_tasks: dict[Topic, Task] = {}
        self._reach_task: Task | None = None
        self._background_tasks: list[Task] = []
        self._last_needed_at = -inf
        self._watched_era = 0

    def start(self) -> None:
        """Start to follow every topic whenever this host's role requires it."""
        self._background_tasks = [
            create_task(self._run_role()),
            create_task(self._prober.run()),
        ]

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = [*self._watch_tasks.values(), *self._background_tasks]
        if self._reach_task is not None:
            tasks.append(self._reach_task)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        await self._overdue_topics.stop()

    def reconnect(self) -> None:
        """Renew the watches on new connections, from the known revisions."""
        self._store.close_idle_connections()
        if self._watch_tasks:
            self._stop_following()
            self._start_following()

    @property
    def store_age_s(self) -> float:
        """Return the age of what this host itself has from the store, in seconds."""
        return self._reader.age_s

    @property
    def has_lost_store(self) -> bool:
        """Return whether this host called the store lately and did not reach it."""
        return self._reach.is_lost(self._loop.time())

    def _log_following_started(self, should_follow: bool) -> None:
        age_s = round(self.store_age_s, 2) if self._reader.has_reached_store else None
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
        task = self._watch_tasks.get(topic)
        if task is not None:
            task.cancel()
            self._watch_tasks[topic] = create_task(self._follow(topic))

    async def _run_role(self) -> None:
        """Start and stop following the store as the role changes."""
        deadline = self._loop.time() + MAX_START_WAIT_S
        while not self._role.is_known() and self._loop.time() < deadline:
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
                self._reach_task = create_task(self._prober.confirm_reach())
            elif self._watch_tasks and self._store.era > self._watched_era:
                self._renew_earlier_watches()
            elif (
                self._watch_tasks
                and now - self._last_needed_at > STOP_FOLLOWING_DELAY_S
            ):
                emit(FOLLOWING_ENDED)
                self._stop_following()
            if not self._watch_tasks:
                self._overdue_topics.fetch()
            await sleep(ROLE_POLL_INTERVAL_S)

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

    async def _can_take_over(self) -> bool:
        """Return whether the store answers and no relay has recent state of it.

        Many hosts may lose their relays at once, so none of them lists topics first,
        and those that are no relay wait for the relays, unless they become one. They
        ask for changes meanwhile. If the store does not answer, wait for a while.
        """
        try:
            await self._prober.probe()
        except StoreUnavailable:
            await sleep(MAX_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
            return False
        began_at = self._loop.time()
        jitter = self._rng.uniform(1.0, 1.5)
        while self._leaves_store_to_relays(self._loop.time() - began_at, jitter):
            if not self._role.has_store_following_relay():
                self._overdue_topics.fetch_unheard()
            await sleep(ROLE_POLL_INTERVAL_S)
        return not self._role.has_store_following_relay()

    def _leaves_store_to_relays(self, waited_s: float, jitter: float) -> bool:
        """Return whether this host waits on for the relays to follow the store.

        :param jitter: factor of the time that it leaves them.
        """
        role = self._role
        if role.is_relay() or waited_s >= MAX_TAKEOVER_DELAY_S:
            return False
        if role.have_relays_lost_store():
            return waited_s < SHORT_TAKEOVER_DELAY_S * jitter
        is_new = role.relays_age_s() < MIN_RELAY_AGE_S
        return waited_s < TAKEOVER_DELAY_S * jitter or is_new

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
                    await self._reader.list_topic(topic)
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
                self._prober.probe_soon()
                await sleep(retry_delay_s * self._rng.uniform(0.5, 1.5))
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
                continue
            if has_watched:
                retry_delay_s = MIN_RETRY_DELAY_S
            self._log_store_regained(topic)
            self._reader.record_complete(topic)

    async def _watch(self, topic: Topic) -> None:
        is_recovering = topic in self._lost_at
        wait_s = RECOVERY_WATCH_WAIT_S if is_recovering else WATCH_WAIT_S
        if await self._reader.watch(topic, wait_s):
            await sleep(BURST_DELAY_S)

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
