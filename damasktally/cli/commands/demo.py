"""Implement ``demo``: run a small fleet in one process."""

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

    :param scenario: the deployment to run.
    :param seconds: duration of the load, in seconds.
    :param hosts: number of entry hosts.
    :param seed: seed of the random number generator.
    """
    options = DemoOptions(scenario, seconds, hosts, seed)
    violations = Demo(options, sys.stdout).run()
    exit_with(ExitCode.FAILED if violations else ExitCode.OK)
