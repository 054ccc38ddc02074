"""Check histories of concurrent runs against the promises to users."""

from damasktally.verification.checkers import CHECKERS, Violation, check_all
from damasktally.verification.history import (
    History,
    KeyWithdrawal,
    RequestResult,
    RequestRun,
    RevisionSample,
    RunLimits,
    ServerDrain,
)

__all__ = [
    "CHECKERS",
    "RequestResult",
    "ServerDrain",
    "History",
    "RevisionSample",
    "RunLimits",
    "RequestRun",
    "Violation",
    "KeyWithdrawal",
    "check_all",
]
