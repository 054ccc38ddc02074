"""Follow the store: list each topic once, then watch it."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Callable
from random import Random

from damasktally.decisions.mute_watches import MuteWatches
from damasktally.events import emit
from damasktally.events.catalogue import (
    STORE_LOST,
    STORE_REGAINED,
    WATCHES_RENEWED,
)
from damasktally.fleet.view import FleetView, Topic
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


class StoreSync:
    """Keep a view up to date from the store.

    :param store: the platform's store.
    :param view: what is kept up to date.
    :param confirmed: called with a topic each time the store confirmed it.
    :param rng: spreads retries of many hosts over time.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        confirmed: Callable[[Topic], None],
        rng: Random,
    ) -> None:
        self._store = store
        self._view = view
        self._confirmed = confirmed
        self._rng = rng
        self._loop = get_running_loop()
        self._lost: dict[Topic, float] = {}
        self._mute = MuteWatches()
        self._tasks: list[Task] = []
        self._prober: Task | None = None

    def start(self) -> None:
        """Follow every topic."""
        self._tasks = [create_task(self._follow(topic)) for topic in Topic]
        self._prober = create_task(self._probe())

    async def stop(self) -> None:
        """Stop following."""
        tasks = [task for task in (*self._tasks, self._prober) if task is not None]
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def restart(self) -> None:
        """Watch on new connections, from the revisions that are known."""
        for task in self._tasks:
            task.cancel()
        self._store.drop_connections()
        self._tasks = [create_task(self._follow(topic)) for topic in Topic]

    async def _probe(self) -> None:
        """Notice watches that the store forgot; they would wait for nothing."""
        while True:
            await sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            try:
                reached = await self._store.probe()
            except StoreUnavailable:
                self._mute.failed()
                continue
            known = max(self._view.revisions.values())
            why = self._mute.answered(reached, known)
            if why:
                emit(WATCHES_RENEWED, reason=why, reached=reached, known=known)
                self.restart()

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
