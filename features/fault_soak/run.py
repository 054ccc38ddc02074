"""Run one seed: start a fleet, let faults come, check, and end every process."""

from asyncio import create_task, gather, sleep
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fault_soak.callers import Caller
from fault_soak.checks import broken, settle
from fault_soak.faults import ALL, PLANNED, Fault, restore
from fault_soak.fleet import SoakFleet

PLANNED_ONLY_PART = 0.25
"""Part of the seeds in which nothing but planned work comes."""
WARM_UP_S = 1.5


@dataclass
class Result:
    """Say what one seed did and found."""

    seed: int
    faults: list[str] = field(default_factory=list)
    sent: int = 0
    served: int = 0
    problems: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Return a line for a table."""
        verdict = "; ".join(self.problems[:4]) or "held"
        return (
            f"seed {self.seed}: {self.served} of {self.sent} served, "
            f"{len(self.faults)} faults ({' '.join(self.faults)}): {verdict}"
        )


async def run_seed(
    seed: int, folder: Path, hosts: int, seconds: float, callers: int
) -> Result:
    """Run a seed.

    :param seconds: how long faults come.
    """
    rng = Random(seed)
    planned_only = rng.random() < PLANNED_ONLY_PART
    fleet = SoakFleet(folder, hosts, servers=6)
    result = Result(seed)
    people = [
        Caller(f"c{seed}-{n}", fleet, Random(rng.random())) for n in range(callers)
    ]
    try:
        await fleet.start()
        result.problems += [f"start: {text}" for text in await settle(fleet)]
        tasks = [create_task(caller.run()) for caller in people]
        await sleep(WARM_UP_S)
        await play(fleet, rng, seconds, PLANNED if planned_only else ALL, result)
        restore(fleet)
        result.problems += await settle(fleet)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        for host in fleet.hosts:
            if not host.running:
                result.problems.append(f"{host.name} ended by itself")
    finally:
        await fleet.close()
    requests = [request for caller in people for request in caller.sent]
    result.problems += broken(fleet, requests, planned_only)
    result.sent = sum(request.read for request in requests)
    result.served = sum(request.status == 200 for request in requests)
    return result


async def play(
    fleet: SoakFleet,
    rng: Random,
    seconds: float,
    faults: Sequence[Fault],
    result: Result,
) -> None:
    """Start faults at random moments; several may be under way."""
    tasks = []
    left = seconds
    while left > 0:
        fault = rng.choice(faults)
        result.faults.append(fault.__name__)
        tasks.append(create_task(fault(fleet, Random(rng.random()))))
        pause = rng.expovariate(1 / 0.7)
        left -= pause
        await sleep(min(pause, 2.0))
    for done in await gather(*tasks, return_exceptions=True):
        if isinstance(done, Exception):
            result.problems.append(f"the soak itself failed: {done!r}")
