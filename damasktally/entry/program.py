"""Load the settings and run an entry host until it receives a stop signal."""

import sys
from asyncio import Event, get_running_loop, run
from gc import freeze
from os import environ
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from damasktally.entry.checks import run_entry_checks
from damasktally.entry.host import EntryHost
from damasktally.entry.listening import PortInUse
from damasktally.entry.output import LogOutput
from damasktally.entry.settings import SettingsInvalid, load_entry_settings
from damasktally.platform.bounds import SETTINGS_VARIABLE

EXIT_CANNOT_START = 2
EXIT_REQUESTS_ABORTED = 1


async def _serve(path: Path) -> int:
    """Serve until SIGTERM or SIGINT.

    :param path: the settings file.
    :returns: how many requests were aborted by the stop.
    :raises SettingsInvalid: when the settings cannot be loaded or a check fails.
    """
    settings = load_entry_settings(path)
    messages = run_entry_checks(settings)
    for message in messages:
        print(message, file=sys.stderr)
    if any(message.is_error for message in messages):
        raise SettingsInvalid(
            f"{path} does not pass the checks above.",
            "damasktally check -c runs the same checks.",
        )
    loop = get_running_loop()
    output = LogOutput(sys.stdout.fileno(), loop)
    host = EntryHost.from_config(settings, output)
    stop_requested = Event()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(SIGHUP, host.reload)
    await host.start()
    await stop_requested.wait()
    aborted_count = await host.stop()
    output.flush()
    return aborted_count


def main() -> int:
    """Run an entry host and return the exit code.

    The settings file is the first argument, or else named by an environment variable.
    """
    path = sys.argv[1] if len(sys.argv) > 1 else environ.get(SETTINGS_VARIABLE, "")
    freeze()
    try:
        aborted_count = run(_serve(Path(path)))
    except (SettingsInvalid, PortInUse) as exc:
        print(exc, file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_REQUESTS_ABORTED if aborted_count else 0
