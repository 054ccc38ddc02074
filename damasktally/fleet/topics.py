"""Topics: the parts of the view, each of which is read and replicated on its own."""

from collections.abc import Iterable
from enum import Enum


class Topic(Enum):
    """Part of the view; messages list revisions in the order of these members."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SERVERS = "servers"


def revisions_by_topic(revisions: Iterable[int]) -> dict[Topic, int]:
    """Return the revision of each topic, from the list in a message.

    Topics that only the sender or only this host has, since their versions differ, are
    left out.

    :param revisions: revisions in the order of :class:`Topic`.
    """
    return dict(zip(Topic, revisions, strict=False))
