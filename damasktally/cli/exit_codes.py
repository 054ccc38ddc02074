"""Define the exit codes; ``docs/ref/commands.md`` documents them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
