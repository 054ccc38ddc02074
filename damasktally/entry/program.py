"""Run an entry host until it is asked to stop."""

import sys
from asyncio import Event, get_running_loop, run
from gc import freeze
from os import environ
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from damasktally.entry.checks import run_entry_checks
from damasktally.entry.host import EntryHost
from damasktally.entry.output import LogOutput
from damasktally.entry.settings import SettingsInvalid, load_entry_settings
from damasktally.platform.bounds import SETTINGS_VARIABLE

EXIT_INVALID_SETTINGS = 2
EXIT_REQUESTS_ABORTED = 1


async def _serve(path: Path) -> int:
    """Serve until SIGTERM; return how many requests were cut."""
    settings = load_entry_settings(path)
    messages = run_entry_checks(settings)
    for message in messages:
        print(message, file=sys.stderr)
    if any(message.is_error for message in messages):
        raise SettingsInvalid(
            f"{path} is refused by the checks above.",
            "damasktally check -c lists them, too.",
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
    """Run a host; return the exit code."""
    path = sys.argv[1] if len(sys.argv) > 1 else environ.get(SETTINGS_VARIABLE, "")
    freeze()
    try:
        aborted_count = run(_serve(Path(path)))
    except SettingsInvalid as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return EXIT_REQUESTS_ABORTED if aborted_count else 0
