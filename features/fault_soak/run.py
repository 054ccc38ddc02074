"""Run one seed: start a fleet, inject faults, check the guarantees, end the fleet."""

from asyncio import create_task, gather, sleep
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fault_soak.callers import Caller
from fault_soak.checks import find_violations, wait_until_settled
from fault_soak.faults import ALL_FAULTS, PLANNED_FAULTS, Fault, end_faults
from fault_soak.fleet import SoakFleet
from fault_soak.log_checks import find_log_problems
from fault_soak.releases import COMMIT_OF_0_8_0, PRESENT, extract_release
from fault_soak.report_checks import find_report_violations
from fault_soak.report_faults import REPORT_FAULTS
from fault_soak.server_cuts import cut_hosts_from_servers, end_cut

PLANNED_ONLY_RATIO = 0.25
"""Fraction of the seeds in which only planned operations take place."""
WARM_UP_S = 1.5


@dataclass
class SeedResult:
    """Outcome of one seed.

    :param sent: number of requests that were written to a connection.
    :param served: number of requests that were answered with 200.
    :param problems: violated guarantees.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    sent: int = 0
    served: int = 0
    problems: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Return a summary in one line."""
        verdict = "; ".join(self.problems[:4]) or "held"
        return (
            f"seed {self.seed}: {self.served} of {self.sent} served, "
            f"{len(self.faults)} faults ({' '.join(self.faults)}): {verdict}"
        )


async def run_seed(
    seed: int,
    folder: Path,
    host_count: int,
    seconds: float,
    caller_count: int,
    with_reports: bool = False,
    with_cuts: bool = False,
    with_upgrade: bool = False,
) -> SeedResult:
    """Run a seed and return its outcome.

    :param seconds: how long faults are injected.
    :param with_reports: add servers that report on themselves, requests that end
        servers, and a store that comes back from copies. Seeds draw other faults then.
    :param with_cuts: cut hosts from all servers, among all other faults.
    :param with_upgrade: start part of the hosts from 0.8.0; a host that is restarted
        runs the other version then.
    """
    rng = Random(seed)
    planned_only = not with_reports and rng.random() < PLANNED_ONLY_RATIO
    faults = PLANNED_FAULTS if planned_only else ALL_FAULTS
    if with_reports:
        faults = (*REPORT_FAULTS, *REPORT_FAULTS, *ALL_FAULTS)
    if with_cuts:
        faults = (*faults, *[cut_hosts_from_servers] * (len(faults) // 2))
    releases = (PRESENT,)
    if with_upgrade:
        old = extract_release("0.8.0", COMMIT_OF_0_8_0, folder / "0.8.0")
        releases = rng.sample((PRESENT, old), 2)
    fleet = SoakFleet(folder, host_count, 6, releases)
    result = SeedResult(seed)
    callers = [
        Caller(f"c{seed}-{n}", fleet, Random(rng.random())) for n in range(caller_count)
    ]
    if with_reports:
        fleet.store.era = 1
    try:
        await fleet.start()
        result.problems += [
            f"start: {text}" for text in await wait_until_settled(fleet)
        ]
        tasks = [create_task(caller.run()) for caller in callers]
        await sleep(WARM_UP_S)
        await inject_faults(fleet, rng, seconds, faults, result)
        end_faults(fleet)
        end_cut(fleet, fleet.hosts)
        result.problems += await wait_until_settled(fleet)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        for host in fleet.hosts:
            if not host.is_running:
                code = host.process.returncode
                result.problems.append(
                    f"{host.name} ended without being stopped, exit code {code}"
                )
    finally:
        await fleet.close()
    requests = [request for caller in callers for request in caller.requests]
    result.problems += find_violations(fleet, requests, planned_only and not with_cuts)
    result.problems += find_report_violations(fleet, requests)
    result.problems += find_log_problems(folder)
    result.sent = sum(request.is_written for request in requests)
    result.served = sum(request.status == 200 for request in requests)
    return result


async def inject_faults(
    fleet: SoakFleet,
    rng: Random,
    seconds: float,
    faults: Sequence[Fault],
    result: SeedResult,
) -> None:
    """Start faults at random times for a number of seconds; they may overlap."""
    tasks = []
    remaining_s = seconds
    while remaining_s > 0:
        fault = rng.choice(faults)
        result.faults.append(fault.__name__)
        tasks.append(create_task(fault(fleet, Random(rng.random()))))
        pause = rng.expovariate(1 / 0.7)
        remaining_s -= pause
        await sleep(min(pause, 2.0))
    for outcome in await gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            result.problems.append(f"the soak test itself failed: {outcome!r}")
