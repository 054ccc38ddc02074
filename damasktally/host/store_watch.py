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

PAUSE_S = 0.25
"""Seconds between failed tries, jittered, so that a recovery meets no herd."""
OVERDUE_S = 0.3
"""Seconds beyond its wait after which a watch counts as overdue."""


@dataclass
class StoreWatch:
    """Feed the view keeper from the store.

    :param wait_s: seconds that a watch waits for a change.
    :param probe: the same store with a short timeout, on connections of its own.
    :param on_silent: called with when a question was sent that got no answer.
    """

    store: ObjectStore
    probe: ObjectStore
    keeper: ActorRef
    clock: Clock
    wait_s: float
    rng: Random
    on_silent: Callable[[float], None]
    _bookmark: int = 0
    _listed: bool = False
    _asked_at: float | None = None

    def start(self, stopping: Event) -> None:
        """Start both threads; they end when ``stopping`` is set."""
        for loop in (self._follow, self._probe):
            Thread(target=loop, args=(stopping,), daemon=True).start()

    def _follow(self, stopping: Event) -> None:
        while not stopping.is_set():
            sent_at = self.clock()
            self._asked_at = sent_at
            if not self._try(self.store, self.wait_s, sent_at):
                stopping.wait(PAUSE_S * self.rng.uniform(0.5, 1.5))

    def _probe(self, stopping: Event) -> None:
        while not stopping.wait(PAUSE_S * self.rng.uniform(0.8, 1.2)):
            if self._overdue():
                self._try(self.probe, 0.0, self.clock())

    def _try(self, store: ObjectStore, wait_s: float, sent_at: float) -> bool:
        try:
            self._ask(store, wait_s, sent_at)
        except StoreError:
            self.on_silent(sent_at)
            return False
        except ActorDeadError:
            return False  # The host is stopping.
        return True

    def _overdue(self) -> bool:
        asked_at = self._asked_at
        if asked_at is None:
            return False
        return self.clock() - asked_at > self.wait_s + OVERDUE_S

    def _ask(self, store: ObjectStore, wait_s: float, sent_at: float) -> None:
        if not self._listed:
            page = store.list_objects(VIEW_KINDS, "list")
            self.keeper.tell(StoreSnapshot(page, sent_at))
            self._bookmark = max(self._bookmark, page.revision)
            self._listed = True
            return
        try:
            page = store.watch(self._bookmark, VIEW_KINDS, wait_s)
        except HistoryGone:
            self._listed = False
            return
        if page.revision < self._bookmark:
            # A stale replica answered; it confirms nothing.
            return
        self.keeper.tell(StoreChanges(page, sent_at))
        self._bookmark = max(self._bookmark, page.revision)
