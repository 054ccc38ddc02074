"""Check histories of concurrent runs against the promises to users."""

from damasktally.verification.checkers import CHECKERS, Violation, check_all
from damasktally.verification.history import (
    Answered,
    Drained,
    History,
    InForce,
    Limits,
    Ran,
    Withdrawn,
)

__all__ = [
    "CHECKERS",
    "Answered",
    "Drained",
    "History",
    "InForce",
    "Limits",
    "Ran",
    "Violation",
    "Withdrawn",
    "check_all",
]
