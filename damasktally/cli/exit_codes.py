"""Number the exit codes; ``docs/ref/commands.md`` lists them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Say how a command ended."""

    OK = 0
    FAILED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
