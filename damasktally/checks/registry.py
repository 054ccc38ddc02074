"""Register checks and run them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktally.conf import Settings


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """Tell what a check found.

    :param id: stable; ``E`` numbers are errors, ``W`` numbers are warnings.
    """

    id: str
    message: str
    hint: str

    @property
    def is_error(self) -> bool:
        """Tell whether a host must not start like this."""
        return ".E" in self.id

    def __str__(self) -> str:
        return f"{self.id}: {self.message} {self.hint}"


Check = Callable[[Settings], Iterable[CheckMessage]]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Add a check; a documented extension point, usable as a decorator."""
    _checks.append(check)
    return check


def run_checks(settings: Settings) -> list[CheckMessage]:
    """Run every registered check."""
    return [message for check in _checks for message in check(settings)]
