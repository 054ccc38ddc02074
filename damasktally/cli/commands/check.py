"""Check a settings file."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from damasktally.checks import run_checks
from damasktally.cli.common import leave, settings_or_exit
from damasktally.cli.exit_codes import ExitCode


def check(config: Annotated[Path, Parameter(name=["--config", "-c"])]) -> None:
    """Check settings and list every problem at once.

    :param config: the host's INI file.
    """
    settings = settings_or_exit(config)
    messages = run_checks(settings)
    for message in messages:
        print(message)
    if any(message.is_error for message in messages):
        leave(ExitCode.INVALID)
    print(f"{config}: the settings are valid.")
