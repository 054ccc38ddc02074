"""Track how recent this host's replica of each topic is."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from damasktally.fleet.topics import Topic

NEVER_CONFIRMED_AGE_S = 1e6
"""Age of a topic that nothing has confirmed yet."""
MAX_MISSING_REVISIONS = 32
"""Revisions of each topic that are tracked while this host lacks them."""


@dataclass(slots=True)
class _MissingRevision:
    """Revision that another host has and this one lacks.

    :param heard_at: when this host first heard of it.
    """

    revision: int
    heard_at: float


class TopicStaleness:
    """Track when each topic was last confirmed, and since when this host is behind.

    A host is behind in a topic from the moment when it hears of a newer revision until
    it has that revision. Times are seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._confirmed_at: dict[Topic, float] = dict.fromkeys(Topic, -inf)
        self._newest_heard: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self._missing: dict[Topic, deque[_MissingRevision]] = {
            topic: deque() for topic in Topic
        }

    def record_confirmation(self, topic: Topic, at: float) -> None:
        """Record that the replica of a topic was complete at a time."""
        self._confirmed_at[topic] = max(at, self._confirmed_at[topic])

    def record_newer(self, topic: Topic, revision: int, now: float) -> None:
        """Record that another host has a newer revision of a topic than this one."""
        self._newest_heard[topic] = max(revision, self._newest_heard[topic])
        missing = self._missing[topic]
        if missing and revision <= missing[-1].revision:
            return
        if len(missing) < MAX_MISSING_REVISIONS:
            missing.append(_MissingRevision(revision, now))
        else:
            missing[-1].revision = revision

    def record_applied(self, topic: Topic, revision: int, now: float) -> float:
        """Record that this host has a revision of a topic now.

        :returns: for how many seconds it knew that it was behind.
        """
        behind_s = self.behind_s(topic, now)
        missing = self._missing[topic]
        while missing and missing[0].revision <= revision:
            missing.popleft()
        return behind_s

    def behind_s(self, topic: Topic, now: float) -> float:
        """Return for how many seconds this host has lacked a revision it heard of."""
        missing = self._missing[topic]
        return now - missing[0].heard_at if missing else 0.0

    def newest_heard(self, topic: Topic) -> int:
        """Return the newest revision that this host heard of before it had it."""
        return self._newest_heard[topic]

    def confirmed_age_s(self, topic: Topic, now: float) -> float:
        """Return the seconds since a topic was last confirmed."""
        return min(NEVER_CONFIRMED_AGE_S, now - self._confirmed_at[topic])

    def newest_age_s(self, now: float) -> float:
        """Return the seconds since any topic was last confirmed."""
        return min(self.confirmed_age_s(topic, now) for topic in Topic)

    def confirmed_ages_s(self, now: float) -> Iterable[tuple[Topic, float]]:
        """Return each topic that was ever confirmed, with the seconds since then."""
        return [
            (topic, now - at) for topic, at in self._confirmed_at.items() if at > -inf
        ]
