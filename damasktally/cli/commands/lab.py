"""Implement ``lab``: compare server selection policies in a simulation."""

import sys
from typing import Annotated

from cyclopts import Parameter

from damasktally.cli.common import exit_with
from damasktally.cli.exit_codes import ExitCode
from damasktally.lab import LOADS, POLICIES, format_plot, format_table, simulate


def lab(
    load: Annotated[list[str] | None, Parameter(name="--load")] = None,
    policy: Annotated[list[str] | None, Parameter(name="--policy")] = None,
    seconds: float = 16.0,
    seed: int = 1,
) -> None:
    """Simulate loads with policies; print a table and the worth over time.

    :param load: a load to simulate; repeat for several; all by default.
    :param policy: a policy to compare; repeat for several; all by default.
    :param seconds: how long requests arrive, in simulated seconds.
    :param seed: seed of the random number generator; the same seed gives the same
        figures.
    """
    loads = _select_names(load, LOADS, "load")
    policies = _select_names(policy, POLICIES, "policy")
    results = [
        simulate(LOADS[name], POLICIES[policy_name], seconds, seed)
        for name in loads
        for policy_name in policies
    ]
    for line in (*format_table(results), "", *format_plot(results)):
        print(line)


def _select_names(
    requested: list[str] | None, known: dict[str, object], label: str
) -> list[str]:
    names = requested or list(known)
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f"No {label} {unknown[0]}; known: {', '.join(known)}.", file=sys.stderr)
        exit_with(ExitCode.INVALID)
    return names
