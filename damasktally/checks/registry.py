"""Register checks of settings and run them."""

from collections.abc import Callable, Iterable

from damasktally.check_message import CheckMessage
from damasktally.conf import Settings

Check = Callable[[Settings], Iterable[CheckMessage]]

_registered_checks: list[Check] = []


def register(check: Check) -> Check:
    """Register a check.

    This is a documented extension point, usable as a decorator.
    """
    _registered_checks.append(check)
    return check


def run_checks(settings: Settings) -> list[CheckMessage]:
    """Run every registered check."""
    return [message for check in _registered_checks for message in check(settings)]
