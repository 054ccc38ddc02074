"""Measure what a host adds to a request, against the same request sent direct."""

from dataclasses import dataclass
from time import sleep

import psutil
from urllib3 import HTTPConnectionPool

from benchmarks.process_fleet import ProcessFleet
from damasktally.clock import seconds_since_boot
from damasktally.demo.scenarios import CustomerPlan, ServerPlan, masa_madre

WARM_UP_REQUESTS = 200
REQUESTS = 1_500
HALF_LOAD_PER_S = 150.0
PATH = "/baskets/1"


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold latencies of one way, in seconds, sorted."""

    name: str
    seconds: list[float]

    def at(self, part: float) -> float:
        """Return a percentile in milliseconds."""
        return 1000 * self.seconds[int(part * (len(self.seconds) - 1))]


def one_host_fleet() -> ProcessFleet:
    """Return a fleet of one host with servers next to it and a high rate."""
    scenario = masa_madre()
    scenario.servers = [
        ServerPlan(f"s{n}", "suscripciones", "centro", "centro-1", 4, 0.0)
        for n in range(4)
    ]
    scenario.customers = [CustomerPlan("ana", 5e3, 5e3, 1.0, 0.5, "centro")]
    return ProcessFleet(scenario)


def paced(
    address: str, headers: dict[str, str], path: str, count: int, rate: float
) -> list[float]:
    """Send requests at a steady rate and return how long each took."""
    host, port = address.rsplit(":", 1)
    pool = HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
    taken = []
    due = seconds_since_boot()
    for _ in range(count):
        due += 1 / rate
        sleep(max(0.0, due - seconds_since_boot()))
        began = seconds_since_boot()
        resp = pool.urlopen("GET", path, headers=headers, retries=False)
        taken.append(seconds_since_boot() - began)
        assert resp.status == 200, resp.status
    return taken


def measure() -> None:
    """Print the table."""
    fleet = one_host_fleet()
    fleet.start(1)
    try:
        fleet.wait_ready()
        sleep(2)
        process = next(iter(fleet.processes.values()))
        usage = psutil.Process(process.process.pid)
        secret = fleet.credentials["ana"].secret
        headers = {"Authorization": f"Bearer {secret}"}
        direct = fleet.servers["s0"].address
        through = fleet.entry_addresses()[0]
        paced(direct, {}, PATH, WARM_UP_REQUESTS, HALF_LOAD_PER_S)
        paced(through, headers, PATH, WARM_UP_REQUESTS, HALF_LOAD_PER_S)
        rows = [
            Sample("direct", sorted(paced(direct, {}, PATH, REQUESTS, HALF_LOAD_PER_S)))
        ]
        idle = _cpu(usage, lambda: sleep(5.0)) / 5.0
        began = seconds_since_boot()
        taken: list[float] = []
        used = _cpu(
            usage,
            lambda: taken.extend(
                paced(through, headers, PATH, REQUESTS, HALF_LOAD_PER_S)
            ),
        )
        used -= idle * (seconds_since_boot() - began)
        rows.append(Sample("through a host", sorted(taken)))
        began = seconds_since_boot()
        looked = _cpu(
            usage,
            lambda: paced(through, headers, "/v1/lookup", REQUESTS, HALF_LOAD_PER_S),
        )
        looked -= idle * (seconds_since_boot() - began)
        for row in rows:
            print(
                f"{row.name:16} p50 {row.at(0.5):6.2f} ms  p99 {row.at(0.99):6.2f} ms"
            )
        first, second = rows
        print(f"added p50 {second.at(0.5) - first.at(0.5):.2f} ms (bound 2)")
        print(f"added p99 {second.at(0.99) - first.at(0.99):.2f} ms (bound 10)")
        print(f"ratio p50 {second.at(0.5) / first.at(0.5):.2f}")
        print(f"CPU a request {1000 * used / REQUESTS:.3f} ms (bound 0.8)")
        print(f"CPU a look-up {1000 * looked / REQUESTS:.3f} ms (bound 0.4)")
        print(f"CPU idle {100 * idle:.2f} % of a core")
        print(f"memory {usage.memory_info().rss / 1e6:.1f} MB (bound 64)")
    finally:
        fleet.stop()


def _cpu(usage: psutil.Process, work) -> float:
    before = usage.cpu_times()
    work()
    after = usage.cpu_times()
    return after.user + after.system - before.user - before.system


if __name__ == "__main__":
    measure()
