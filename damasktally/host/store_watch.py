"""Follow the store: a waiting watch, and a probe for when it falls silent."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from threading import Event, Thread

from pykka import ActorDeadError, ActorRef

from damasktally.clock import Clock
from damasktally.host.view_updater import StoreChanges, StoreSnapshot
from damasktally.objects import HistoryGone, ObjectStore, StoreError
from damasktally.resources.kinds import VIEW_KINDS

RETRY_INTERVAL_S = 0.25
"""Seconds between failed tries, jittered, so that a recovery meets no herd."""
WATCH_OVERDUE_S = 0.3
"""Seconds beyond its wait after which a watch counts as overdue."""


@dataclass
class StoreWatch:
    """Feed the view keeper from the store.

    :param wait_s: seconds that a watch waits for a change.
    :param probe: the same store with a short timeout, on connections of its own.
    :param on_silent: called with when a question was sent that got no answer.
    """

    store: ObjectStore
    probe_store: ObjectStore
    view_updater: ActorRef
    clock: Clock
    wait_s: float
    rng: Random
    on_store_failure: Callable[[float], None]
    _bookmark: int = 0
    _has_listed: bool = False
    _watch_sent_at: float | None = None

    def start(self, stopping: Event) -> None:
        """Start both threads; they end when ``stopping`` is set."""
        for loop in (self._follow_store, self._probe_store):
            Thread(target=loop, args=(stopping,), daemon=True).start()

    def _follow_store(self, stopping: Event) -> None:
        while not stopping.is_set():
            sent_at = self.clock()
            self._watch_sent_at = sent_at
            if not self._try_request(self.store, self.wait_s, sent_at):
                stopping.wait(RETRY_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    def _probe_store(self, stopping: Event) -> None:
        while not stopping.wait(RETRY_INTERVAL_S * self.rng.uniform(0.8, 1.2)):
            if self._is_watch_overdue():
                self._try_request(self.probe_store, 0.0, self.clock())

    def _try_request(self, store: ObjectStore, wait_s: float, sent_at: float) -> bool:
        try:
            self._request_changes(store, wait_s, sent_at)
        except StoreError:
            self.on_store_failure(sent_at)
            return False
        except ActorDeadError:
            return False  # The host is stopping.
        return True

    def _is_watch_overdue(self) -> bool:
        sent_at = self._watch_sent_at
        if sent_at is None:
            return False
        return self.clock() - sent_at > self.wait_s + WATCH_OVERDUE_S

    def _request_changes(
        self, store: ObjectStore, wait_s: float, sent_at: float
    ) -> None:
        if not self._has_listed:
            page = store.list_objects(VIEW_KINDS, "list")
            self.view_updater.tell(StoreSnapshot(page, sent_at))
            self._bookmark = max(self._bookmark, page.revision)
            self._has_listed = True
            return
        try:
            page = store.watch(self._bookmark, VIEW_KINDS, wait_s)
        except HistoryGone:
            self._has_listed = False
            return
        if page.revision < self._bookmark:
            # A stale replica answered; it confirms nothing.
            return
        self.view_updater.tell(StoreChanges(page, sent_at))
        self._bookmark = max(self._bookmark, page.revision)
