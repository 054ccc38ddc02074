"""Check settings beyond their types: each check has an id, a message and a hint."""

from damasktally.checks.registry import CheckMessage, register, run_checks
from damasktally.checks.settings_checks import ALL

__all__ = ["ALL", "CheckMessage", "register", "run_checks"]
