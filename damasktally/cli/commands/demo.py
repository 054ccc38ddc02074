"""Run a small fleet in one process."""

import sys
from typing import Literal

from damasktally.cli.common import exit_with
from damasktally.cli.exit_codes import ExitCode
from damasktally.demo.run import Demo, DemoOptions


def demo(
    scenario: Literal["masa", "raiz"] = "masa",
    seconds: float = 20.0,
    hosts: int = 3,
    seed: int = 1,
) -> None:
    """Run platform, backend servers, hosts and callers in one process.

    :param scenario: whose deployment to run.
    :param seconds: how long the load lasts.
    :param hosts: how many entry hosts.
    :param seed: start of the random numbers.
    """
    options = DemoOptions(scenario, seconds, hosts, seed)
    violations = Demo(options, sys.stdout).run()
    exit_with(ExitCode.FAILED if violations else ExitCode.OK)
