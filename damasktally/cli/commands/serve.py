"""Implement ``serve``: run an entry host."""

import signal
import sys
from pathlib import Path
from threading import Event
from typing import Annotated

from cyclopts import Parameter

from damasktally.checks import run_checks
from damasktally.cli.common import exit_with, load_settings_or_exit
from damasktally.cli.exit_codes import ExitCode
from damasktally.events import log_to_stream
from damasktally.host import Host


def serve(config: Annotated[Path, Parameter(name=["--config", "-c"])]) -> None:
    """Run an entry host until SIGTERM, then finish its requests and stop.

    A second SIGTERM ends the process at once and prints how many requests it aborts.

    :param config: the host's INI file.
    """
    settings = load_settings_or_exit(config)
    messages = run_checks(settings)
    for message in messages:
        print(message, file=sys.stderr)
    if any(message.is_error for message in messages):
        exit_with(ExitCode.INVALID)
    _open_log(settings.logging.destination)
    host = Host.from_config(settings)
    stop_requested = Event()

    def on_signal(number: int, frame: object) -> None:
        if stop_requested.is_set():
            in_flight_requests = host.admission.in_flight()
            print(
                f"Stopping at once; {in_flight_requests} requests are aborted.",
                file=sys.stderr,
            )
            sys.stderr.flush()
            signal.signal(number, signal.SIG_DFL)
            signal.raise_signal(number)
        stop_requested.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    host.start()
    while not stop_requested.wait(1.0):
        pass
    report = host.stop()
    exit_with(ExitCode.FAILED if report.unfinished_requests else ExitCode.OK)


def _open_log(destination: str) -> None:
    if destination == "-":
        log_to_stream(sys.stderr)
    else:
        log_to_stream(Path(destination).open("a", encoding="utf-8"))
