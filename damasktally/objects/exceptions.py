"""Name the ways in which a call to the platform can fail."""

from damasktally.errors import DamasktallyError


class StoreError(DamasktallyError):
    """Stand for any failed call to the platform."""


class NotFound(StoreError):
    """Tell that the object does not exist."""


class Conflict(StoreError):
    """Tell that the object has another version than the write expected."""


class HistoryGone(StoreError):
    """Tell that the watch's revision was compacted away, so a list is needed."""


class StoreUnavailable(StoreError):
    """Tell that the platform did not answer a read, or refused to."""


class OutcomeUnknown(StoreError):
    """Tell that a write may have taken effect, because its answer was lost."""


class BudgetExceeded(StoreError):
    """Tell that this host used up its own budget of platform calls."""
