"""Measure what a host spends on control while no caller comes, by fleet size."""

from time import sleep

import psutil

from benchmarks.process_fleet import ProcessFleet
from damasktally.demo.scenarios import masa_madre

SIZES = (3, 6, 12)
SETTLE_S = 6.0
MEASURED_S = 12.0
CHANGES = 24


def measure(hosts: int) -> None:
    """Print one row: idle, and with two changes of configuration a second."""
    fleet = ProcessFleet(masa_madre())
    fleet.start(hosts)
    try:
        fleet.wait_ready()
        sleep(SETTLE_S)
        usage = [psutil.Process(p.process.pid) for p in fleet.processes.values()]
        idle, calls = _window(fleet, usage, changes=0)
        busy, _ = _window(fleet, usage, changes=CHANGES)
        memory = max(u.memory_info().rss for u in usage) / 1e6
        cost_ms = 1000 * (busy - idle) * MEASURED_S / CHANGES
        print(
            f"{hosts:3d} hosts: CPU idle {100 * idle:5.2f} % of a core a host, "
            f"{cost_ms:5.2f} ms a change, memory {memory:5.1f} MB, "
            f"platform calls {calls / hosts:5.2f} a second a host",
            flush=True,
        )
    finally:
        fleet.stop()


def _window(
    fleet: ProcessFleet, usage: list[psutil.Process], changes: int
) -> tuple[float, float]:
    before = sum(_cpu(u) for u in usage)
    calls = fleet.platform.calls
    for number in range(changes):
        spec = {"rate": 10 + number, "burst": 10}
        fleet.commands.apply("Customer", "changing", spec)
        sleep(MEASURED_S / changes)
    if not changes:
        sleep(MEASURED_S)
    used = (sum(_cpu(u) for u in usage) - before) / len(usage) / MEASURED_S
    return used, (fleet.platform.calls - calls) / MEASURED_S


def _cpu(usage: psutil.Process) -> float:
    times = usage.cpu_times()
    return times.user + times.system


def main() -> None:
    """Print the table."""
    for hosts in SIZES:
        measure(hosts)


if __name__ == "__main__":
    main()
