"""Provide what several commands use: platform clients, output and errors."""

import sys
from collections.abc import Callable, Sequence
from functools import wraps
from getpass import getuser
from json import dumps
from pathlib import Path
from typing import Annotated, NoReturn, ParamSpec

from cyclopts import Parameter
from prometheus_client import CollectorRegistry

from damasktally.cli.exit_codes import ExitCode
from damasktally.clock import seconds_since_boot
from damasktally.conf import Settings, load_settings
from damasktally.errors import DamasktallyError
from damasktally.objects import (
    Conflict,
    NotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from damasktally.objects.budget import CallBudget
from damasktally.objects.client import HttpStore
from damasktally.resources.commands import Commands
from damasktally.resources.exceptions import InvalidFile, InvalidObject, UnknownKind
from damasktally.resources.queries import Queries

MAX_PLATFORM_CALLS_PER_S = 50.0
PLATFORM_TIMEOUT_S = 10.0

Args = ParamSpec("Args")

PlatformUrl = Annotated[
    str,
    Parameter(
        name="--platform",
        env_var="DAMASKTALLY_PLATFORM",
        help="Base address of the platform's object API.",
    ),
]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]

EXIT_CODE_BY_ERROR = (
    (InvalidObject, ExitCode.INVALID),
    (InvalidFile, ExitCode.INVALID),
    (UnknownKind, ExitCode.INVALID),
    (StoreUnavailable, ExitCode.UNREACHABLE),
    (OutcomeUnknown, ExitCode.UNREACHABLE),
    (Conflict, ExitCode.CONFLICT),
    (NotFound, ExitCode.NOT_FOUND),
)


def open_store(url: str) -> HttpStore:
    """Return a client of the platform's object store.

    :param url: base address of the platform's object API.
    """
    budget = CallBudget(
        MAX_PLATFORM_CALLS_PER_S, seconds_since_boot, CollectorRegistry()
    )
    return HttpStore(url, PLATFORM_TIMEOUT_S, budget)


def open_commands(url: str) -> Commands:
    """Return the operations that change objects, with the user as the author."""
    return Commands(open_store(url), getuser())


def open_queries(url: str) -> Queries:
    """Return the operations that read objects."""
    return Queries(open_store(url))


def load_settings_or_exit(path: Path) -> Settings:
    """Load settings, or print every problem and exit.

    :raises SystemExit: when the file has a problem.
    """
    loaded = load_settings(path)
    if loaded.is_ok():
        return loaded.ok_value
    for problem in loaded.err_value:
        print(problem, file=sys.stderr)
    exit_with(ExitCode.INVALID)


def exit_with(code: ExitCode) -> NoReturn:
    """Exit with a code.

    :raises SystemExit: always.
    """
    raise SystemExit(int(code))


def report_errors(command: Callable[Args, None]) -> Callable[Args, None]:
    """Wrap a command so that an error becomes a message and an exit code."""

    @wraps(command)
    def run(*args: Args.args, **kwargs: Args.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except DamasktallyError as exc:
            print(f"Error: {exc.message} {exc.remedy}", file=sys.stderr)
            for error_type, code in EXIT_CODE_BY_ERROR:
                if isinstance(exc, error_type):
                    exit_with(code)
            exit_with(ExitCode.FAILED)

    return run


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(dumps(value, indent=2, sort_keys=True))


def print_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as a table of aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(title), *(len(row[i]) for row in cells)])
        for i, title in enumerate(titles)
    ]
    for line in [list(titles), *cells]:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())
