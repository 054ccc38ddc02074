"""Record when each topic of the view was last confirmed to be current."""

from asyncio import get_running_loop

from damasktally.entry.topology import FleetTopology
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView


class Confirmations:
    """Record when the store or another host confirmed a topic.

    :param view: is told of the confirmations.
    :param topology: lists the relays, which confirm for the store.
    """

    def __init__(self, view: FleetView, topology: FleetTopology) -> None:
        self._view = view
        self._topology = topology
        self._loop = get_running_loop()

    def record(self, topic: Topic) -> None:
        """Record that a topic is current now."""
        self._view.staleness.record_confirmation(topic, self._loop.time())

    def record_relays(self, now: float) -> None:
        """Record the confirmation by relays that have the same revision of a topic.

        A relay confirms it as of the moment when the relay last reached the store.

        :param now: time of the event loop in seconds.
        """
        for record in self._topology.local_relay_records(now):
            confirmed_at = record.last_seen_at - record.store_age_s
            for topic, revision in self._view.revisions.items():
                if record.revisions.get(topic) == revision > 0:
                    self._view.staleness.record_confirmation(topic, confirmed_at)
