"""Topics: the parts of the view, each of which is read and replicated on its own."""

from collections.abc import Mapping
from enum import Enum
from functools import lru_cache
from types import MappingProxyType


class Topic(Enum):
    """Part of the view; messages list revisions in the order of these members."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SERVERS = "servers"

    # Members are singletons, so that they can be hashed by identity. Enum.__hash__ is
    # a Python function, which each access to a table by topic would call.
    __hash__ = object.__hash__


@lru_cache(maxsize=256)
def revisions_by_topic(revisions: tuple[int, ...]) -> Mapping[Topic, int]:
    """Return the revision of each topic, from the list in a message.

    Topics that only the sender or only this host has, since their versions differ, are
    left out. Most messages carry the same list, for which the result is the same.

    :param revisions: revisions in the order of :class:`Topic`.
    """
    return MappingProxyType(dict(zip(Topic, revisions, strict=False)))
