"""Record when each topic of the view was last confirmed to be current."""

from asyncio import get_running_loop
from collections.abc import Iterable

from damasktally.entry.topology import FleetTopology
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView


class Confirmations:
    """Times at which the store or another host confirmed a topic.

    :param view: is told of the newest confirmation.
    :param topology: lists the relays, which confirm for the store.
    """

    def __init__(self, view: FleetView, topology: FleetTopology) -> None:
        self._view = view
        self._topology = topology
        self._confirmed_at: dict[Topic, float] = {}
        self._loop = get_running_loop()

    def times(self) -> Iterable[tuple[Topic, float]]:
        """Return each topic with its last confirmation, a time of the event loop."""
        return self._confirmed_at.items()

    def record(self, topic: Topic) -> None:
        """Record that a topic is current now."""
        self._record_at(topic, self._loop.time())

    def _record_at(self, topic: Topic, confirmed_at: float) -> None:
        self._confirmed_at[topic] = max(
            confirmed_at, self._confirmed_at.get(topic, 0.0)
        )
        self._view.confirmed_at = max(confirmed_at, self._view.confirmed_at)

    def record_relays(self, now: float) -> None:
        """Record the confirmation by relays that have the same revision of a topic.

        A relay confirms it as of the moment when the relay last reached the store.

        :param now: time of the event loop in seconds.
        """
        for record in self._topology.local_relay_records(now):
            for topic, revision in self._view.revisions.items():
                if record.revisions.get(topic) == revision > 0:
                    self._record_at(topic, record.last_seen_at - record.store_age_s)
