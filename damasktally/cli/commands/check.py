"""Implement ``check``: check a settings file."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from damasktally.check_message import CheckMessage
from damasktally.checks import run_checks
from damasktally.cli.common import exit_with, load_settings_or_exit
from damasktally.cli.exit_codes import ExitCode
from damasktally.entry.checks import run_entry_checks
from damasktally.entry.settings import (
    SettingsInvalid,
    parse_entry_settings,
    read_settings,
)
from damasktally.platform.template import (
    UnknownPlaceholder,
    is_template,
    render_sample,
)

ENTRY_SECTION_MARKER = b"[listen]"
"""Only settings of an entry host on the platform have this section."""


def check(config: Annotated[Path, Parameter(name=["--config", "-c"])]) -> None:
    """Check settings and list every problem at once.

    A file with a section [listen] is checked as the settings of an entry host on the
    platform; a template of such settings is checked with sample values.

    :param config: the host's INI file, or the template that it is rendered from.
    """
    if _is_entry_host_file(config):
        messages = _check_entry_settings(config)
    else:
        messages = run_checks(load_settings_or_exit(config))
    for message in messages:
        print(message)
    if any(message.is_error for message in messages):
        exit_with(ExitCode.INVALID)
    print(f"{config}: the settings are valid.")


def _is_entry_host_file(config: Path) -> bool:
    try:
        return ENTRY_SECTION_MARKER in config.read_bytes()
    except OSError:
        # The settings loader reports why the file cannot be read.
        return False


def _check_entry_settings(config: Path) -> list[CheckMessage]:
    try:
        text = read_settings(config)
        if is_template(text):
            text = render_sample(text)
        return run_entry_checks(parse_entry_settings(text, str(config)))
    except (SettingsInvalid, UnknownPlaceholder) as exc:
        print(exc, file=sys.stderr)
        exit_with(ExitCode.INVALID)
