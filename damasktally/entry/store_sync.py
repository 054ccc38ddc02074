"""Follow the store: list each topic once, then watch it.

In a large fleet only some hosts do so all the time. The others start when no relay
near them reaches the store, and stop again once one has done so for a while.
"""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from damasktally.decisions.stale_watches import StaleWatchDetector
from damasktally.events import emit
from damasktally.events.catalogue import (
    FOLLOWING_ENDED,
    FOLLOWING_STARTED,
    STORE_LOST,
    STORE_REGAINED,
    WATCHES_RENEWED,
)
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    HistoryGone,
    StoreClient,
    StoreUnavailable,
)

KIND_OF = {
    Topic.CONFIGURATION: CONFIGURATION_KIND,
    Topic.EVACUATIONS: EVACUATIONS_KIND,
    Topic.SERVERS: SERVERS_KIND,
}
WATCH_WAIT_S = 20.0
COLLECT_S = 0.3
"""Changes come in bursts; waiting after one lets a single call bring the others."""
PROBE_INTERVAL_S = 1.0
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 1.0
ROLE_POLL_S = 0.1
START_POLL_S = 0.01
START_PATIENCE_S = 1.0
"""A host that starts waits at most this long for the list of hosts and a relay."""
NEVER_S = 1e6
"""Age of something that never happened, as messages say it."""
STOP_FOLLOWING_S = 3.0
"""A host that need not follow the store any more goes on for so long."""


@dataclass(frozen=True, slots=True)
class FollowerRole:
    """Tell whether this host is to follow the store.

    :param known: whether the other hosts are known, on which the role depends.
    :param leads: whether others, or nobody else, follow it.
    :param relies: whether a relay that follows it is heard.
    """

    known: Callable[[], bool]
    leads: Callable[[], bool]
    relies: Callable[[], bool]


class StoreSync:
    """Keep a view up to date from the store.

    :param store: the platform's store.
    :param view: what is kept up to date.
    :param confirmed: called with a topic each time the store confirmed it.
    :param role: tells whether this host is to follow the store at all.
    :param rng: spreads retries of many hosts over time.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        confirmed: Callable[[Topic], None],
        role: FollowerRole,
        rng: Random,
    ) -> None:
        self._store = store
        self._view = view
        self._confirmed = confirmed
        self._role = role
        self._rng = rng
        self._loop = get_running_loop()
        self._lost: dict[Topic, float] = {}
        self._mute = StaleWatchDetector()
        self._tasks: list[Task] = []
        self._helpers: list[Task] = []
        self._needed_at = -inf
        self._reached_at = -inf

    def start(self) -> None:
        """Follow every topic, as far as this host's role asks for it."""
        self._helpers = [create_task(self._play_role()), create_task(self._probe())]

    async def stop(self) -> None:
        """Stop following."""
        tasks = [*self._tasks, *self._helpers]
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def reconnect(self) -> None:
        """Watch on new connections, from the revisions that are known."""
        self._store.close_idle_connections()
        if self._tasks:
            self._stop_following()
            self._start_following()

    @property
    def store_age_s(self) -> float:
        """Return the seconds since this host itself reached the store."""
        return min(NEVER_S, self._loop.time() - self._reached_at)

    def _tell_started(self, leads: bool) -> None:
        reached = self._reached_at > -inf
        age_s = round(self.store_age_s, 2) if reached else None
        emit(FOLLOWING_STARTED, relay=leads, age_s=age_s)

    def _start_following(self) -> None:
        self._tasks = [create_task(self._follow(topic)) for topic in Topic]

    def _stop_following(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _play_role(self) -> None:
        """Start and stop following the store."""
        ends = self._loop.time() + START_PATIENCE_S
        while not self._settled() and self._loop.time() < ends:
            await sleep(START_POLL_S)
        while True:
            now = self._loop.time()
            leads = self._role.leads()
            needed = leads or not self._role.relies()
            if needed:
                self._needed_at = now
            if needed and not self._tasks and (leads or await self._reaches_store()):
                self._tell_started(leads)
                self._start_following()
            elif self._tasks and now - self._needed_at > STOP_FOLLOWING_S:
                emit(FOLLOWING_ENDED)
                self._stop_following()
            await sleep(ROLE_POLL_S)

    def _settled(self) -> bool:
        role = self._role
        return role.known() and (role.leads() or role.relies())

    async def _reaches_store(self) -> bool:
        """Make one cheap call, as many hosts may lose their relays at once."""
        try:
            await self._store.probe()
        except StoreUnavailable:
            await sleep(LONGEST_PAUSE_S * self._rng.uniform(0.5, 1.5))
            return False
        return True

    async def _probe(self) -> None:
        """Notice watches that the store forgot; they would wait for nothing."""
        while True:
            await sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if not self._tasks:
                continue
            try:
                reached = await self._store.probe()
            except StoreUnavailable:
                self._mute.record_probe_failure()
                continue
            self._reached_at = self._loop.time()
            known = max(self._view.revisions.values())
            why = self._mute.record_probe_response(reached, known)
            if why:
                emit(WATCHES_RENEWED, reason=why, reached=reached, known=known)
                self.reconnect()

    async def _follow(self, topic: Topic) -> None:
        pause_s = FIRST_PAUSE_S
        listed = self._view.revisions[topic] > 0
        while True:
            try:
                if listed:
                    await self._watch(topic)
                else:
                    await self._list(topic)
                    listed = True
            except HistoryGone:
                listed = False
                continue
            except StoreUnavailable as exc:
                self._note_lost(topic, exc)
                await sleep(pause_s * self._rng.uniform(0.5, 1.5))
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
                continue
            pause_s = FIRST_PAUSE_S
            self._reached_at = self._loop.time()
            self._note_regained(topic)
            self._confirmed(topic)

    async def _list(self, topic: Topic) -> None:
        listing = await self._store.list_objects(KIND_OF[topic])
        self._view.replace(
            topic, listing.revision, listing.specs, "store", self._loop.time()
        )

    async def _watch(self, topic: Topic) -> None:
        revision = self._view.revisions[topic]
        page = await self._store.watch(KIND_OF[topic], revision, WATCH_WAIT_S)
        changes = [(change.name, change.spec) for change in page.changes]
        self._view.apply(topic, page.revision, changes, "store", self._loop.time())
        if changes:
            await sleep(COLLECT_S)

    def _note_lost(self, topic: Topic, exc: StoreUnavailable) -> None:
        if topic not in self._lost:
            self._lost[topic] = self._loop.time()
            emit(
                STORE_LOST,
                topic=topic.value,
                revision=self._view.revisions[topic],
                reason=str(exc),
            )

    def _note_regained(self, topic: Topic) -> None:
        since = self._lost.pop(topic, None)
        if since is not None:
            emit(
                STORE_REGAINED,
                topic=topic.value,
                revision=self._view.revisions[topic],
                away_s=round(self._loop.time() - since, 2),
            )
