"""Describe the platform's object API as this project uses it."""

from collections.abc import Sequence
from typing import Any, Protocol

from pydantic import BaseModel, ConfigDict, Field


class StoredObject(BaseModel):
    """Hold one object as the platform stores it.

    ``revision`` is the store-wide revision of the last write to this object and
    serves as its version. ``nonce`` was chosen by the writer, so that a writer whose
    answer was lost can recognise its own write.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    kind: str
    name: str
    revision: int = 0
    nonce: str = ""
    author: str = ""
    spec: dict[str, Any] = Field(default_factory=dict)


class ChangeEvent(BaseModel):
    """Tell that an object was written or deleted at a revision."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    deleted: bool = False
    object: StoredObject


class ObjectPage(BaseModel):
    """Hold the answer to a list: objects and the revision they were read at."""

    revision: int
    items: list[StoredObject]


class WatchPage(BaseModel):
    """Hold the answer to a watch: events in order, and the revision reached."""

    revision: int
    events: list[ChangeEvent]


class ObjectStore(Protocol):
    """List what the platform offers.

    Each call names its purpose, which is what the call budget is kept by.
    """

    def list_objects(self, kinds: Sequence[str], purpose: str) -> ObjectPage:
        """Read all objects of some kinds at one revision.

        :raises StoreUnavailable: when the platform does not answer.
        """

    def get(self, kind: str, name: str, purpose: str) -> StoredObject:
        """Read one object.

        :raises NotFound: when there is none.
        :raises StoreUnavailable: when the platform does not answer.
        """

    def put(self, obj: StoredObject, purpose: str) -> StoredObject:
        """Write an object if its stored revision is still ``obj.revision``.

        Revision 0 creates the object and expects that there is none.

        :raises Conflict: when the stored revision differs.
        :raises OutcomeUnknown: when the answer was lost.
        """

    def delete(self, kind: str, name: str, revision: int, purpose: str) -> None:
        """Delete an object if its stored revision is still ``revision``.

        :raises Conflict: when the stored revision differs.
        :raises NotFound: when there is none.
        :raises OutcomeUnknown: when the answer was lost.
        """

    def watch(self, after: int, kinds: Sequence[str], wait_s: float) -> WatchPage:
        """Wait for changes after a revision, at most ``wait_s`` seconds.

        An empty page is a bookmark: nothing of these kinds changed up to its revision.

        :raises HistoryGone: when the revision is too old to resume from.
        :raises StoreUnavailable: when the platform does not answer.
        """
