"""Name the parts of the view that are read and passed on separately."""

from collections.abc import Iterable
from enum import Enum


class Topic(Enum):
    """Name a part of the view; messages rely on the order."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SERVERS = "servers"


def revisions_by_topic(revisions: Iterable[int]) -> dict[Topic, int]:
    """Return the revisions of a message by topic.

    Topics that the sender does not know, or this host, are left out.
    """
    return dict(zip(Topic, revisions, strict=False))
