"""In-memory object store, which replaces the platform in the demo and the tests."""

from collections import deque
from collections.abc import Sequence
from threading import Condition

from damasktally.clock import seconds_since_boot
from damasktally.objects.api import ChangeEvent, ObjectPage, StoredObject, WatchPage
from damasktally.objects.exceptions import Conflict, HistoryGone, NotFound

MAX_HISTORY_EVENTS = 10_000
"""Changes that are kept for watches; older ones are compacted."""


class MemoryStore:
    """Object store with the semantics of the platform, in the memory of one process.

    :param history: number of changes that are kept; a watch that needs older ones
        raises :class:`~damasktally.objects.HistoryGone`.
    """

    def __init__(self, history: int = MAX_HISTORY_EVENTS) -> None:
        self._condition = Condition()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._events: deque[ChangeEvent] = deque(maxlen=history)
        self._revision = 0
        self._compacted_revision = 0

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._revision

    def list_objects(self, kinds: Sequence[str], purpose: str = "") -> ObjectPage:
        """Read all objects of some kinds at one revision."""
        wanted_kinds = set(kinds)
        with self._condition:
            items = [
                obj for (kind, _), obj in self._objects.items() if kind in wanted_kinds
            ]
            return ObjectPage(revision=self._revision, items=items)

    def get(self, kind: str, name: str, purpose: str = "") -> StoredObject:
        """Read one object."""
        with self._condition:
            obj = self._objects.get((kind, name))
        if obj is None:
            raise NotFound(f"{kind} {name} does not exist.", "Check the name.")
        return obj

    def put(self, obj: StoredObject, purpose: str = "") -> StoredObject:
        """Write an object if its revision is unchanged."""
        with self._condition:
            self._check_revision(obj.kind, obj.name, obj.revision)
            self._revision += 1
            stored = obj.model_copy(update={"revision": self._revision})
            self._objects[obj.kind, obj.name] = stored
            self._append_event(ChangeEvent(object=stored))
            return stored

    def delete(self, kind: str, name: str, revision: int, purpose: str = "") -> None:
        """Delete an object if its revision is unchanged."""
        with self._condition:
            if (kind, name) not in self._objects:
                raise NotFound(f"{kind} {name} does not exist.", "Check the name.")
            self._check_revision(kind, name, revision)
            self._revision += 1
            obj = self._objects.pop((kind, name))
            deleted = obj.model_copy(update={"revision": self._revision})
            self._append_event(ChangeEvent(deleted=True, object=deleted))

    def watch(self, after: int, kinds: Sequence[str], wait_s: float) -> WatchPage:
        """Wait for changes after a revision."""
        wanted_kinds = set(kinds)
        deadline = seconds_since_boot() + wait_s
        with self._condition:
            while True:
                if after < self._compacted_revision:
                    raise HistoryGone(
                        f"Revision {after} was compacted.", "List the objects again."
                    )
                events = self._events_after(after, wanted_kinds)
                remaining = deadline - seconds_since_boot()
                if events or remaining <= 0:
                    return WatchPage(revision=self._revision, events=events)
                self._condition.wait(remaining)

    def _events_after(self, after: int, wanted_kinds: set[str]) -> list[ChangeEvent]:
        events = []
        for event in reversed(self._events):
            if event.object.revision <= after:
                break
            if event.object.kind in wanted_kinds:
                events.append(event)
        events.reverse()
        return events

    def _check_revision(self, kind: str, name: str, revision: int) -> None:
        stored = self._objects.get((kind, name))
        current = stored.revision if stored else 0
        if current != revision:
            raise Conflict(
                f"{kind} {name} is at revision {current}, not {revision}.",
                "Read it again and repeat the change.",
            )

    def _append_event(self, event: ChangeEvent) -> None:
        if len(self._events) == self._events.maxlen:
            self._compacted_revision = self._events[0].object.revision
        self._events.append(event)
        self._condition.notify_all()
