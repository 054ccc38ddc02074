"""View keeper actor: applies changes from the store and peers, and publishes views."""

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
"""Newest changes kept for peers; a peer that lacks more gets the whole view."""


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Complete list of the objects in the store at one revision.

    :param sent_at: when the request was sent, in seconds.
    """

    page: ObjectPage
    sent_at: float


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes that a watch of the store returned, possibly none.

    :param sent_at: when the request was sent, in seconds.
    """

    page: WatchPage
    sent_at: float


@dataclass(frozen=True, slots=True)
class PeerChanges:
    """Changes received from a peer.

    :param complete: whether the events hold every object of the peer's view.
    :param revision: revision of the peer's view.
    :param confirmed_at: time up to which the peer's view contains all changes, in
        seconds on this host's clock.
    """

    events: tuple[ChangeEvent, ...]
    complete: bool
    revision: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Changes for a peer with an older view.

    :param revision: revision of this host's view.
    :param complete: whether the events hold every object of the view.
    """

    revision: int
    complete: bool
    events: list[ChangeEvent]


class PublishedView:
    """The view in force, and the newest changes for peers.

    A reader reads the ``view`` attribute once and uses that view throughout, as it may
    be replaced at any time. ``in_force_since_unix_s`` is the time at which the view
    came into force, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.view = View()
        self.in_force_since_unix_s = time()
        self._recent_events: deque[ChangeEvent] = deque(maxlen=MAX_RELAYED_EVENTS)
        self._events_complete_after = 0

    def publish(self, view: View, events: Iterable[ChangeEvent], has_gap: bool) -> None:
        """Replace the view.

        :param events: changes between the previous view and this one.
        :param has_gap: whether some changes are missing in ``events``.
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
        """Return the changes after a revision; the whole view if some are missing."""
        view = self.view
        if revision >= self._events_complete_after:
            events = [e for e in self._recent_events if e.object.revision > revision]
            return RelayedChanges(view.revision, False, events)
        events = [ChangeEvent(object=obj) for obj in view.stored_objects()]
        return RelayedChanges(view.revision, True, events)


class ViewKeeper(HostActor):
    """Actor that applies changes to the view in the order in which they arrive.

    Changes that are older than what the view holds have no effect.

    :param published: where each new view is published.
    :param freshness: records up to when the view contains all changes.
    :param clock: monotonic time in seconds.
    :param on_change: called with each new view after it was published.
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
        """Handle a message of this module."""
        if isinstance(message, StoreSnapshot):
            self._apply_snapshot(message.page)
            self._record_confirmation(message.page.revision, message.sent_at)
        elif isinstance(message, StoreChanges):
            self._apply_events(message.page.events)
            self._record_confirmation(message.page.revision, message.sent_at)
        elif isinstance(message, PeerChanges):
            self._apply_peer_changes(message)

    def _record_confirmation(self, revision: int, sent_at: float) -> None:
        # Changes from a peer may have made the view newer than the replica that
        # responded. Such a replica does not show which changes were accepted since.
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
