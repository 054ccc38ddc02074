"""Exceptions raised by calls to the platform."""

from damasktally.errors import DamasktallyError


class StoreError(DamasktallyError):
    """Base class of the errors of calls to the platform."""


class NotFound(StoreError):
    """Raised when an object does not exist."""


class Conflict(StoreError):
    """Raised when the stored revision differs from the one that a write expects."""


class HistoryGone(StoreError):
    """Raised when the revision of a watch was compacted, so that a list is needed."""


class StoreUnavailable(StoreError):
    """Raised when a read gets no response, an error or an invalid response."""


class OutcomeUnknown(StoreError):
    """Raised when a write may have taken effect, because its response was lost."""


class BudgetExceeded(StoreError):
    """Raised when this host has used up its budget for calls to the platform."""
