"""Check settings for problems that their types cannot express.

Each message of a check has an id and a hint how to correct the settings.
"""

from damasktally.checks.registry import CheckMessage, register, run_checks
from damasktally.checks.settings_checks import ALL

__all__ = ["ALL", "CheckMessage", "register", "run_checks"]
