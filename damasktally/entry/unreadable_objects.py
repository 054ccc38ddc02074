"""Log and count objects of the store that cannot be decoded."""

from damasktally.entry.metrics import EntryMetrics
from damasktally.events import emit
from damasktally.events.catalogue import OBJECT_UNREADABLE

MAX_KNOWN_OBJECTS = 200
"""Objects that are remembered, so that each is logged once."""


class UnreadableObjectLog:
    """Count the objects that cannot be decoded, and log each of them once.

    :param metrics: counts every time that one was received.
    """

    def __init__(self, metrics: EntryMetrics) -> None:
        self._metrics = metrics
        self._known: set[tuple[str, str]] = set()

    def record(self, kind: str, name: str) -> None:
        """Record an object.

        :param kind: its kind in the store.
        :param name: its name, empty if that cannot be read either.
        """
        self._metrics.unreadable_objects.inc()
        if (kind, name) in self._known or len(self._known) >= MAX_KNOWN_OBJECTS:
            return
        self._known.add((kind, name))
        emit(OBJECT_UNREADABLE, kind=kind, object=name)
