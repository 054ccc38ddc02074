"""Interface and data types of the platform's object API."""

from collections.abc import Sequence
from typing import Any, Protocol

from pydantic import BaseModel, ConfigDict, Field


class StoredObject(BaseModel):
    """Object as the platform stores it.

    ``revision`` is the store-wide revision of the last write to this object and serves
    as its version. ``nonce`` is chosen by the writer for each write: if the response to
    the write is lost, the nonce of the stored object shows whether it took effect.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    kind: str
    name: str
    revision: int = 0
    nonce: str = ""
    author: str = ""
    spec: dict[str, Any] = Field(default_factory=dict)


class ChangeEvent(BaseModel):
    """Write or deletion of an object; the object's revision is that of the change."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    deleted: bool = False
    object: StoredObject


class ObjectPage(BaseModel):
    """Result of a list: the objects and the revision at which they were read."""

    revision: int
    items: list[StoredObject]


class WatchPage(BaseModel):
    """Result of a watch: the changes in order, and the revision reached."""

    revision: int
    events: list[ChangeEvent]


class ObjectStore(Protocol):
    """Operations of the platform's object store.

    Calls are counted and limited, with their ``purpose`` as a label. Any call may raise
    :class:`~damasktally.objects.BudgetExceeded`.
    """

    def list_objects(self, kinds: Sequence[str], purpose: str) -> ObjectPage:
        """Read all objects of some kinds at one revision.

        :raises StoreUnavailable: when the platform does not respond.
        """

    def get(self, kind: str, name: str, purpose: str) -> StoredObject:
        """Read one object.

        :raises NotFound: when the object does not exist.
        :raises StoreUnavailable: when the platform does not respond.
        """

    def put(self, obj: StoredObject, purpose: str) -> StoredObject:
        """Write an object if its stored revision is still ``obj.revision``.

        Revision 0 creates the object, which must not exist yet.

        :returns: the object with its new revision.
        :raises Conflict: when the stored revision differs.
        :raises OutcomeUnknown: when the response was lost.
        """

    def delete(self, kind: str, name: str, revision: int, purpose: str) -> None:
        """Delete an object if its stored revision is still ``revision``.

        :raises Conflict: when the stored revision differs.
        :raises NotFound: when the object does not exist.
        :raises OutcomeUnknown: when the response was lost.
        """

    def watch(self, after: int, kinds: Sequence[str], wait_s: float) -> WatchPage:
        """Wait for changes after a revision.

        An empty page is a bookmark: nothing of these kinds changed up to its revision.

        :param after: revision after which changes are returned.
        :param wait_s: seconds to wait for a change at most.
        :raises HistoryGone: when the revision is too old to resume from.
        :raises StoreUnavailable: when the platform does not respond.
        """
