"""Probe the store, and check that the watches deliver all changes."""

from asyncio import Event, gather, get_running_loop, timeout
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.decisions.watch_checks import WatchChecks
from damasktally.entry.topic_reader import TopicReader
from damasktally.events import emit
from damasktally.events.catalogue import WATCHES_RENEWED
from damasktally.fleet.model import era_of, revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.platform.store import HistoryGone, StoreClient
from damasktally.platform.store_connections import StoreTimeout, StoreUnavailable

PROBE_INTERVAL_S = 0.6
LATE_PROBE_S = 0.5
"""A probe without a response counts as failed to the other hosts after this long."""
CHECK_DELAY_S = 0.45
"""Time for the watches to deliver what a probe saw: longer than the pause after a
change."""


@dataclass(frozen=True, slots=True)
class WatchControl:
    """Functions that the prober calls to act on the watches.

    :param are_running: returns whether this host follows the store.
    :param should_check: returns whether this host checks what the watches deliver.
    :param renew_all: renews all watches, on other connections.
    :param renew: renews the watch of a topic, on another connection.
    """

    are_running: Callable[[], bool]
    should_check: Callable[[], bool]
    renew_all: Callable[[], None]
    renew: Callable[[Topic], None]


class WatchProber:
    """Find out again and again whether the store responds and the watches are complete.

    :param store: the platform's store.
    :param reader: reads topics from it.
    :param view: has the revisions that the watches delivered.
    :param reach: is told whether the store responds in time.
    :param calls: outcomes of this host's calls to the store.
    :param watches: acts on the watches.
    :param rng: adds jitter, which spreads the calls of many hosts over time.
    """

    def __init__(
        self,
        store: StoreClient,
        reader: TopicReader,
        view: FleetView,
        reach: StoreReach,
        calls: StoreCalls,
        watches: WatchControl,
        rng: Random,
    ) -> None:
        self._store = store
        self._reader = reader
        self._view = view
        self._reach = reach
        self._calls = calls
        self._watches = watches
        self._rng = rng
        self._loop = get_running_loop()
        self._checks = WatchChecks()
        self._is_due = Event()

    def probe_soon(self) -> None:
        """Probe at once, since a watch failed, unless the store is known to be lost."""
        if not self._reach.is_lost(self._loop.time()):
            self._is_due.set()

    async def run(self) -> None:
        """Probe the store while this host follows it."""
        while True:
            await self._wait_for_next()
            if not self._watches.are_running():
                continue
            try:
                await self._compare_with_store()
            except StoreTimeout:
                self._checks.record_timeout()
            except StoreUnavailable:
                self._checks.record_failure()

    async def confirm_reach(self) -> None:
        """Find out at once whether the store responds, which other hosts wait for."""
        # The watches log that the store is lost.
        with suppress(StoreUnavailable):
            await self.probe()
            for topic in Topic:
                self._reader.record_complete(topic)

    async def _wait_for_next(self) -> None:
        await self._is_due_within(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
        self._is_due.clear()

    async def _is_due_within(self, limit_s: float) -> bool:
        """Wait until a probe is due at once, or for a time.

        :returns: whether it is due.
        """
        with suppress(TimeoutError):
            async with timeout(limit_s):
                await self._is_due.wait()
        return self._is_due.is_set()

    async def probe(self) -> int:
        """Return the store's revision, and record whether the store responds in time.

        :raises StoreUnavailable: if the store does not respond, or reports an error.
        """
        late = self._loop.call_later(LATE_PROBE_S, self._record_failure)
        try:
            revision = await self._store.probe()
        except StoreUnavailable:
            self._record_failure()
            raise
        finally:
            late.cancel()
        self._reach.record_success()
        return revision

    def _record_failure(self) -> None:
        self._reach.record_failure(self._loop.time())

    async def _compare_with_store(self) -> None:
        """Compare the store's revision with what each topic is known to have.

        :raises StoreUnavailable: if the store does not respond, or reports an error.
        """
        store_revision = await self.probe()
        known_revision = max(self._view.revisions.values())
        if era_of(store_revision) > era_of(known_revision) > 0:
            # A watch from the era before may wait without end.
            self._watches.renew_all()
            return
        if self._checks.take_failure(self._calls.take_lost_responses()):
            self._log_renewal(None, "the store was unreachable", store_revision)
            self._watches.renew_all()
        if self._record_complete_topics(store_revision):
            await self._check_after_delay(store_revision)

    async def _check_after_delay(self, store_revision: int) -> None:
        """Ask for the changes of each topic that is still behind after a while.

        In a small fleet, where all hosts follow the store, only a few of them do so,
        and the others get from them what they lack.
        """
        if await self._is_due_within(CHECK_DELAY_S):
            # A watch failed, so the next probe decides.
            return
        behind = self._record_complete_topics(store_revision)
        if self._watches.should_check():
            await gather(*(self._check(topic) for topic in behind))

    def _record_complete_topics(self, store_revision: int) -> list[Topic]:
        """Record which topics are complete up to a revision, and return the others."""
        behind = self._checks.topics_behind(store_revision, self._view.revisions)
        for topic in Topic:
            if topic not in behind:
                self._reader.record_complete(topic)
        return behind

    async def _check(self, topic: Topic) -> None:
        """Ask for the changes of a topic, and renew its watch if it missed some."""
        known = self._checks.complete_to(topic, self._view.revisions[topic])
        try:
            page = await self._reader.check(topic, known)
        except HistoryGone:
            self._log_renewal(topic, "its history is gone", known)
            self._watches.renew(topic)
            return
        except StoreTimeout:
            self._checks.record_timeout()
            return
        except StoreUnavailable:
            self._checks.record_failure()
            return
        # Without changes the topic keeps its revision, so that no host requests it.
        if page.changes:
            self._log_renewal(topic, "it did not deliver a change", page.revision)
            self._reader.apply(topic, page)
            self._watches.renew(topic)
        self._checks.record_complete(topic, page.revision)
        self._reader.record_complete(topic)

    def _log_renewal(self, topic: Topic | None, reason: str, reached: int) -> None:
        known = self._view.revisions
        emit(
            WATCHES_RENEWED,
            topic=topic.value if topic else "all",
            reason=reason,
            reached=revision_in_era(reached),
            known=revision_in_era(known[topic] if topic else max(known.values())),
        )
