"""Check histories of concurrent runs against the promises to users."""

from damasktally.proof.checkers import CHECKERS, Violation, check_all
from damasktally.proof.history import (
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
