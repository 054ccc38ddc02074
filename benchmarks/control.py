"""Measure the control overhead of a host without callers, by fleet size."""

from dataclasses import dataclass
from time import sleep

import psutil

from benchmarks.process_fleet import ProcessFleet
from damasktally.demo.scenarios import masa_madre

FLEET_SIZES = (3, 6, 12)


@dataclass(frozen=True, slots=True)
class Window:
    """Time over which each cost is measured.

    :param settling_s: seconds from when all hosts are ready until the first window.
    :param seconds: length of each window.
    :param changes: configuration changes in the second window.
    """

    settling_s: float = 6.0
    seconds: float = 12.0
    changes: int = 24


FULL_WINDOW = Window()
SMALLEST_WINDOW = Window(0.2, 0.5, 1)


def measure(
    hosts: int, window: Window = FULL_WINDOW, fleet: ProcessFleet | None = None
) -> None:
    """Print one row: costs when idle and with two configuration changes per second.

    :param hosts: number of hosts in the fleet.
    :param fleet: the fleet, not started yet; that of the demo if it is not given.
    """
    if fleet is None:
        fleet = ProcessFleet(masa_madre())
    fleet.start(hosts)
    try:
        fleet.wait_ready()
        sleep(window.settling_s)
        os_processes = [psutil.Process(p.process.pid) for p in fleet.processes.values()]
        idle, calls = _measure_window(fleet, os_processes, window.seconds, 0)
        busy, _ = _measure_window(fleet, os_processes, window.seconds, window.changes)
        memory = max(u.memory_info().rss for u in os_processes) / 1e6
        cost_ms = 1000 * (busy - idle) * window.seconds / window.changes
        print(
            f"{hosts:3d} hosts: CPU idle {100 * idle:5.2f} % of a core a host, "
            f"{cost_ms:5.2f} ms a change, memory {memory:5.1f} MB, "
            f"platform calls {calls / hosts:5.2f} a second a host",
            flush=True,
        )
    finally:
        fleet.stop()


def _measure_window(
    fleet: ProcessFleet,
    os_processes: list[psutil.Process],
    seconds: float,
    changes: int,
) -> tuple[float, float]:
    before = sum(_cpu_seconds(u) for u in os_processes)
    calls = fleet.platform.calls
    for number in range(changes):
        spec = {"rate": 10 + number, "burst": 10}
        fleet.commands.apply("Customer", "changing", spec)
        sleep(seconds / changes)
    if not changes:
        sleep(seconds)
    cpu_fraction = (
        (sum(_cpu_seconds(u) for u in os_processes) - before)
        / len(os_processes)
        / seconds
    )
    return cpu_fraction, (fleet.platform.calls - calls) / seconds


def _cpu_seconds(os_process: psutil.Process) -> float:
    times = os_process.cpu_times()
    return times.user + times.system


def main() -> None:
    """Print one row for each fleet size."""
    for hosts in FLEET_SIZES:
        measure(hosts)


if __name__ == "__main__":
    main()
