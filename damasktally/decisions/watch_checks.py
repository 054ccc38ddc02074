"""Decide which watches of the store have to be checked.

A connection may stay open on which no response ever arrives, after a fault between the
store and a host or because a response was lost. A watch on it looks the same as one
that has no changes to deliver. A probe on another connection tells the store's
revision, and each topic has to show for itself that it is complete up to there: changes
of one topic say nothing about the watch of another.
"""

from collections.abc import Mapping

from damasktally.fleet.topics import Topic


class WatchChecks:
    """Track up to which revision of the store each topic is known to be complete."""

    def __init__(self) -> None:
        self._complete_to: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self._was_unreachable = False
        self._was_late = False

    def record_failure(self) -> None:
        """Record that the store refused a probe or a check."""
        self._was_unreachable = True

    def record_timeout(self) -> None:
        """Record that the store did not respond to a probe or a check in time."""
        self._was_late = True

    def take_failure(self, are_responses_lost: bool) -> bool:
        """Return whether the store did not respond since the last call.

        The connections of the watches may have been lost at the same time, so all of
        them have to be renewed. A store that was only slow lost none.

        :param are_responses_lost: whether calls that timed out got no response since.
        """
        failed = self._was_unreachable or (self._was_late and are_responses_lost)
        self._was_unreachable = False
        self._was_late = False
        return failed

    def record_complete(self, topic: Topic, revision: int) -> None:
        """Record that a check delivered all changes of a topic up to a revision."""
        self._complete_to[topic] = max(revision, self._complete_to[topic])

    def complete_to(self, topic: Topic, known_revision: int) -> int:
        """Return the revision up to which a topic is known to be complete.

        :param known_revision: the newest revision that a watch or a peer delivered.
        """
        return max(known_revision, self._complete_to[topic])

    def topics_behind(
        self, store_revision: int, known_revisions: Mapping[Topic, int]
    ) -> list[Topic]:
        """Return the topics that are not known to be complete up to a revision.

        :param store_revision: the store's revision, over all of its objects.
        :param known_revisions: the newest revision of each topic that a watch or a peer
            delivered.
        """
        return [
            topic
            for topic, known_revision in known_revisions.items()
            if self.complete_to(topic, known_revision) < store_revision
        ]
