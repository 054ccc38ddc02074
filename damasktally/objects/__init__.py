"""Client of the platform's object API: revisions, conditional writes and watches.

The rest of the program depends only on the :class:`ObjectStore` interface.
``HttpStore`` is the client for the platform; ``MemoryStore`` replaces it in the demo
and the tests.
"""

from damasktally.objects.api import (
    ChangeEvent,
    ObjectPage,
    ObjectStore,
    StoredObject,
    WatchPage,
)
from damasktally.objects.exceptions import (
    BudgetExceeded,
    Conflict,
    HistoryGone,
    NotFound,
    OutcomeUnknown,
    StoreError,
    StoreUnavailable,
)

__all__ = [
    "BudgetExceeded",
    "ChangeEvent",
    "Conflict",
    "HistoryGone",
    "NotFound",
    "ObjectPage",
    "ObjectStore",
    "OutcomeUnknown",
    "StoreError",
    "StoreUnavailable",
    "StoredObject",
    "WatchPage",
]
