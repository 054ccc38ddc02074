"""When to compare what a store that came back from an older copy holds.

Writers need some time to write again what the store lost.
"""

from dataclasses import dataclass

from damasktally.fleet.store_outages import REREGISTRATION_GRACE_S
from damasktally.fleet.topics import Topic

RESTORED_PROCESS_GRACE_S = 6.0
"""How long after the store came back a process that was removed before, and is stored
again, is not used: longer than the store waits for a silent server."""


@dataclass(slots=True)
class _Restore:
    """Return of the store from a copy, as far as a topic has not settled.

    Times are in seconds on the event loop's clock.

    :param compare_at: when what is stored is compared with what is in effect.
    :param adopt_at: when processes that were removed count as alive if still stored.
    """

    compare_at: float
    adopt_at: float
    is_compared: bool = False


class RestoreTimes:
    """Topics that have not settled since the store came back from a copy.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._restores: dict[Topic, _Restore] = {}

    def begin(self, topic: Topic, now: float) -> None:
        """Record that a topic's stored objects are now those of a copy."""
        self._restores[topic] = _Restore(
            now + REREGISTRATION_GRACE_S, now + RESTORED_PROCESS_GRACE_S
        )

    def is_uncompared(self, topic: Topic) -> bool:
        """Return whether a topic's stored objects are not in effect yet."""
        restore = self._restores.get(topic)
        return restore is not None and not restore.is_compared

    def compare_at(self, topic: Topic) -> float | None:
        """Return when a topic's stored objects take effect, or None if they have."""
        restore = self._restores.get(topic)
        if restore is None or restore.is_compared:
            return None
        return restore.compare_at

    def due_for_comparison(self, now: float) -> list[Topic]:
        """Return the topics to compare now; each is returned once for a restore."""
        due = [
            topic
            for topic, restore in self._restores.items()
            if not restore.is_compared and now >= restore.compare_at
        ]
        for topic in due:
            self._restores[topic].is_compared = True
        return due

    def due_for_adoption(self, now: float) -> list[Topic]:
        """Return the topics that settle now; each is returned once for a restore."""
        due = [
            topic
            for topic, restore in self._restores.items()
            if now >= restore.adopt_at
        ]
        for topic in due:
            del self._restores[topic]
        return due
