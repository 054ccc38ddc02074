"""Own the view: apply changes from the store and from peers, and publish it."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import time

from damasktally.clock import Clock
from damasktally.events import emit
from damasktally.events.catalogue import OBJECT_INVALID, VIEW_CHANGED
from damasktally.host.actor import HostActor
from damasktally.membership.freshness import Freshness
from damasktally.objects import ChangeEvent, ObjectPage, WatchPage
from damasktally.resources.view import View

MAX_RELAYED_EVENTS = 1_000


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Bring a full list from the store.

    :param sent_at: when it was asked for, in seconds.
    """

    page: ObjectPage
    sent_at: float


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Bring an answer to a watch, which may be empty."""

    page: WatchPage
    sent_at: float


@dataclass(frozen=True, slots=True)
class PeerChanges:
    """Bring changes that a peer relayed.

    :param complete: whether the events are the peer's whole view.
    :param revision: the peer's revision.
    :param confirmed_at: up to when the peer's view was complete, in seconds on this
        host's clock.
    """

    events: tuple[ChangeEvent, ...]
    complete: bool
    revision: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Hold changes for a peer that is behind."""

    revision: int
    complete: bool
    events: list[ChangeEvent]


class PublishedView:
    """Hold the view in force; readers take the attribute once and keep it.

    :param since: when this view came into force, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.view = View()
        self.in_force_since_unix_s = time()
        self._recent_events: deque[ChangeEvent] = deque(maxlen=MAX_RELAYED_EVENTS)
        self._events_complete_after = 0

    def publish(self, view: View, events: Iterable[ChangeEvent], has_gap: bool) -> None:
        """Replace the view.

        :param events: what led from the last view to this one.
        :param gap: whether the events are not all that changed.
        """
        recent = deque(
            () if has_gap else self._recent_events, maxlen=MAX_RELAYED_EVENTS
        )
        recent.extend(events)
        if has_gap:
            self._events_complete_after = view.revision
        elif len(recent) == MAX_RELAYED_EVENTS:
            self._events_complete_after = recent[0].object.revision
        self._recent_events = recent
        self.view = view
        self.in_force_since_unix_s = time()

    def changes_after(self, revision: int) -> RelayedChanges:
        """Return what a peer at a revision lacks."""
        view = self.view
        if revision >= self._events_complete_after:
            events = [e for e in self._recent_events if e.object.revision > revision]
            return RelayedChanges(view.revision, False, events)
        events = [ChangeEvent(object=obj) for obj in view.stored_objects()]
        return RelayedChanges(view.revision, True, events)


class ViewUpdater(HostActor):
    """Apply changes in the order they arrive; older ones change nothing.

    :param on_change: called with each new view, after it was published.
    """

    def __init__(
        self,
        published: PublishedView,
        freshness: Freshness,
        clock: Clock,
        on_change: Callable[[View], None],
    ) -> None:
        super().__init__()
        self._published = published
        self._freshness = freshness
        self._clock = clock
        self._on_change = on_change

    def handle(self, message: object) -> None:
        """Handle one of this module's messages."""
        if isinstance(message, StoreSnapshot):
            self._apply_snapshot(message.page)
            self._record_confirmation(message.page.revision, message.sent_at)
        elif isinstance(message, StoreChanges):
            self._apply_events(message.page.events)
            self._record_confirmation(message.page.revision, message.sent_at)
        elif isinstance(message, PeerChanges):
            self._apply_peer_changes(message)

    def _record_confirmation(self, revision: int, sent_at: float) -> None:
        # A replica that is behind the view, which a peer may have brought, cannot
        # tell what was accepted since.
        if revision >= self._published.view.revision:
            self._freshness.record_confirmation(sent_at)

    def _apply_snapshot(self, page: ObjectPage) -> None:
        before = self._published.view
        after = before.apply_snapshot(page.items, page.revision)
        self._publish(before, after, (), has_gap=True)

    def _apply_events(self, events: Iterable[ChangeEvent]) -> None:
        before = self._published.view
        self._publish(before, before.apply(events), events, has_gap=False)

    def _apply_peer_changes(self, message: PeerChanges) -> None:
        before = self._published.view
        if message.complete:
            items = [event.object for event in message.events]
            after = before.apply_snapshot(items, message.revision)
        else:
            after = before.apply(message.events, message.revision)
        self._publish(before, after, message.events, has_gap=message.complete)
        if self._published.view.revision == message.revision:
            self._freshness.record_confirmation(message.confirmed_at)

    def _publish(
        self, before: View, after: View, events: Iterable[ChangeEvent], has_gap: bool
    ) -> None:
        if after is before or after.revision == before.revision:
            return
        self._published.publish(after, events, has_gap)
        emit(VIEW_CHANGED, revision=after.revision)
        for problem in set(after.problems()) - set(before.problems()):
            emit(OBJECT_INVALID, problem=problem)
        self._on_change(after)
