"""Measure the control overhead of a host without callers, by fleet size."""

from time import sleep

import psutil

from benchmarks.process_fleet import ProcessFleet
from damasktally.demo.scenarios import masa_madre

FLEET_SIZES = (3, 6, 12)
SETTLING_TIME_S = 6.0
WINDOW_S = 12.0
CHANGES_PER_WINDOW = 24


def measure(hosts: int) -> None:
    """Print one row: costs when idle and with two configuration changes per second.

    :param hosts: number of hosts in the fleet.
    """
    fleet = ProcessFleet(masa_madre())
    fleet.start(hosts)
    try:
        fleet.wait_ready()
        sleep(SETTLING_TIME_S)
        os_processes = [psutil.Process(p.process.pid) for p in fleet.processes.values()]
        idle, calls = _measure_window(fleet, os_processes, changes=0)
        busy, _ = _measure_window(fleet, os_processes, changes=CHANGES_PER_WINDOW)
        memory = max(u.memory_info().rss for u in os_processes) / 1e6
        cost_ms = 1000 * (busy - idle) * WINDOW_S / CHANGES_PER_WINDOW
        print(
            f"{hosts:3d} hosts: CPU idle {100 * idle:5.2f} % of a core a host, "
            f"{cost_ms:5.2f} ms a change, memory {memory:5.1f} MB, "
            f"platform calls {calls / hosts:5.2f} a second a host",
            flush=True,
        )
    finally:
        fleet.stop()


def _measure_window(
    fleet: ProcessFleet, os_processes: list[psutil.Process], changes: int
) -> tuple[float, float]:
    before = sum(_cpu_seconds(u) for u in os_processes)
    calls = fleet.platform.calls
    for number in range(changes):
        spec = {"rate": 10 + number, "burst": 10}
        fleet.commands.apply("Customer", "changing", spec)
        sleep(WINDOW_S / changes)
    if not changes:
        sleep(WINDOW_S)
    cpu_fraction = (
        (sum(_cpu_seconds(u) for u in os_processes) - before)
        / len(os_processes)
        / WINDOW_S
    )
    return cpu_fraction, (fleet.platform.calls - calls) / WINDOW_S


def _cpu_seconds(os_process: psutil.Process) -> float:
    times = os_process.cpu_times()
    return times.user + times.system


def main() -> None:
    """Print one row for each fleet size."""
    for hosts in FLEET_SIZES:
        measure(hosts)


if __name__ == "__main__":
    main()
