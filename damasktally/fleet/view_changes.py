"""Changes of the view: what they are decoded with, kept as, and told to others as."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from damasktally.fleet.model import Configuration, Server
from damasktally.fleet.topics import Topic

OWN_SOURCE = "self"
"""Source of the changes that this host makes itself."""
MAX_LOGGED_SERVERS = 20
"""Servers that one log line describes at most."""
MAX_KEPT_VIEW_DELTAS = 64
"""Deltas of each topic that are kept to be replicated."""


@dataclass(frozen=True, slots=True)
class Decoders:
    """Functions that decode the stored objects of the topics.

    Each raises :class:`~damasktally.errors.DamasktallyError` for an object that
    cannot be decoded.

    :param configuration: decodes the configuration.
    :param server: decodes a server's registration, given its id and the object.
    :param configuration_name: name of the object that holds the configuration.
    """

    configuration: Callable[[Any], Configuration]
    server: Callable[[str, Any], Server]
    configuration_name: str


@dataclass(frozen=True, slots=True)
class ViewChange:
    """Change of the view, for the log.

    :param source: ``store``, the name of the host that sent the change, or ``self`` if
        this host made it.
    :param detail: short description of the change.
    :param version: version of the configuration that is in force.
    :param behind_s: for how many seconds this host knew that another had the change.
    """

    topic: Topic
    revision: int
    source: str
    detail: str
    version: int
    behind_s: float


Edit = tuple[str, Any]
"""Name of a changed object with its new content, or None if it was removed."""


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Changes between two revisions of a topic, in order.

    :param is_difference: whether the edits are the difference of two lists. They lack
        what changed in between and back, so they apply from the first revision only.
    """

    from_revision: int
    to_revision: int
    edits: tuple[Edit, ...]
    is_difference: bool = False
