"""Talk to the platform's object API: versions, conditional updates and watches.

The rest of the program depends on the :class:`ObjectStore` port alone. ``HttpStore``
is the real client; ``MemoryStore`` is the stand-in that the demo and the tests use.
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
