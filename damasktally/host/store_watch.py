"""Watch of the store by long polling, with probes while the watch is overdue."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from threading import Event, Thread

from pykka import ActorDeadError, ActorRef

from damasktally.clock import Clock
from damasktally.host.view_keeper import StoreChanges, StoreSnapshot
from damasktally.objects import HistoryGone, ObjectStore, StoreError
from damasktally.resources.kinds import VIEW_KINDS

RETRY_INTERVAL_S = 0.25
"""Seconds between failed attempts and between probes. Jitter is added, so that a store
that recovers does not receive the requests of all hosts at once."""
WATCH_OVERDUE_S = 0.3
"""Seconds beyond its wait time after which a watch counts as overdue."""


@dataclass
class StoreWatch:
    """Watch of the store that sends every change to the view keeper.

    :param probe_store: the same store with a short timeout and separate connections.
    :param view_keeper: actor that receives the changes.
    :param clock: monotonic time in seconds.
    :param wait_s: seconds for which a watch waits for a change.
    :param on_store_failure: called with the time at which a request was sent, in
        seconds, when it failed.
    """

    store: ObjectStore
    probe_store: ObjectStore
    view_keeper: ActorRef
    clock: Clock
    wait_s: float
    rng: Random
    on_store_failure: Callable[[float], None]
    _bookmark: int = 0
    _has_listed: bool = False
    _watch_sent_at: float | None = None

    def start(self, stopping: Event) -> None:
        """Start the watch and probe threads, which end when ``stopping`` is set."""
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
            return False  # The host is shutting down.
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
            self.view_keeper.tell(StoreSnapshot(page, sent_at))
            self._bookmark = max(self._bookmark, page.revision)
            self._has_listed = True
            return
        try:
            page = store.watch(self._bookmark, VIEW_KINDS, wait_s)
        except HistoryGone:
            self._has_listed = False
            return
        if page.revision < self._bookmark:
            # The response comes from a stale replica and confirms nothing.
            return
        self.view_keeper.tell(StoreChanges(page, sent_at))
        self._bookmark = max(self._bookmark, page.revision)
