"""Ask the store for changes that other hosts do not send."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from math import inf
from random import Random

from damasktally.entry.topic_reader import TopicReader
from damasktally.events import emit
from damasktally.events.catalogue import FETCHED_FROM_STORE
from damasktally.fleet.model import revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import HistoryGone, StoreUnavailable

MAX_BEHIND_S = 1.0
"""Time that other hosts have to send a change that they have."""
MAX_JITTER_S = 0.1
"""Longest random delay of a call, as many hosts may be overdue at the same time."""
RETRY_DELAY_S = 1.0
UNHEARD_INTERVAL_S = 0.8
"""Time between two calls for a topic while no relay tells of changes."""


class OverdueTopics:
    """Fetch topics from the store that this host does not get from others.

    It has known to be behind for too long, or hears from no relay for now. It goes on
    relying on the other hosts for what follows.

    :param reader: reads the topics from the store.
    :param view: tells which topics are behind.
    :param rng: adds jitter, which spreads the calls of many hosts over time.
    """

    def __init__(self, reader: TopicReader, view: FleetView, rng: Random) -> None:
        self._reader = reader
        self._view = view
        self._rng = rng
        self._loop = get_running_loop()
        self._tasks: dict[Topic, Task] = {}
        self._unheard_fetched_at = -inf

    async def stop(self) -> None:
        """Cancel all calls and wait for their end."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def fetch(self) -> None:
        """Begin to fetch the topics that are overdue, if that has not begun yet."""
        now = self._loop.time()
        for topic in Topic:
            if self._is_overdue(topic, now) and topic not in self._tasks:
                self._begin(topic, self._view.staleness.behind_s(topic, now))

    def fetch_unheard(self) -> None:
        """Begin to fetch all topics, of whose changes no other host tells this one.

        Nothing begins less than :data:`UNHEARD_INTERVAL_S` after the last time.
        """
        now = self._loop.time()
        if now - self._unheard_fetched_at < UNHEARD_INTERVAL_S:
            return
        self._unheard_fetched_at = now
        for topic in Topic:
            if topic not in self._tasks:
                self._begin(topic, self._view.staleness.behind_s(topic, now))

    def _begin(self, topic: Topic, behind_s: float) -> None:
        emit(
            FETCHED_FROM_STORE,
            topic=topic.value,
            revision=revision_in_era(self._view.revisions[topic]),
            behind_s=round(behind_s, 2),
        )
        task = create_task(self._run(topic))
        self._tasks[topic] = task
        task.add_done_callback(lambda _, key=topic: self._tasks.pop(key, None))

    async def _run(self, topic: Topic) -> None:
        """Fetch a topic; wait before the next attempt if the store did not have it."""
        await sleep(MAX_JITTER_S * self._rng.random())
        try:
            await self._fetch(topic)
            is_missing = self._is_overdue(topic, self._loop.time())
        except StoreUnavailable:
            is_missing = True
        if is_missing:
            await sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))

    def _is_overdue(self, topic: Topic, now: float) -> bool:
        return self._view.staleness.behind_s(topic, now) > MAX_BEHIND_S

    async def _fetch(self, topic: Topic) -> None:
        revision = self._view.revisions[topic]
        if not revision:
            await self._reader.list_topic(topic)
            return
        try:
            self._reader.apply(topic, await self._reader.check(topic, revision))
        except HistoryGone:
            await self._reader.list_topic(topic)
