"""Measure the latency and CPU time that a host adds to a request."""

from dataclasses import dataclass
from time import sleep

import psutil
from urllib3 import HTTPConnectionPool

from benchmarks.process_fleet import ProcessFleet
from damasktally.clock import seconds_since_boot
from damasktally.demo.scenarios import CustomerPlan, ServerPlan, masa_madre

HALF_LOAD_PER_S = 150.0
"""Half of the full load of one host."""
PATH = "/baskets/1"


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the measurement.

    :param warm_up_requests: requests on each path before the measurement.
    :param requests: measured requests on each path.
    :param idle_s: seconds over which the CPU time without requests is measured.
    :param settling_s: seconds from when the host is ready until the first request.
    """

    warm_up_requests: int = 200
    requests: int = 1_500
    idle_s: float = 5.0
    settling_s: float = 2.0


FULL_SIZE = Size()
SMALLEST_SIZE = Size(2, 10, 0.2, 1.0)


@dataclass(frozen=True, slots=True)
class LatencySample:
    """Latencies of requests on one path, in seconds, sorted."""

    name: str
    seconds: list[float]

    def percentile_ms(self, fraction: float) -> float:
        """Return a percentile in milliseconds.

        :param fraction: the percentile as a number from 0 to 1.
        """
        return 1000 * self.seconds[int(fraction * (len(self.seconds) - 1))]


def one_host_fleet() -> ProcessFleet:
    """Return a fleet of one host and four servers, with one customer of high rate."""
    scenario = masa_madre()
    scenario.servers = [
        ServerPlan(f"s{n}", "suscripciones", "centro", "centro-1", 4, 0.0)
        for n in range(4)
    ]
    scenario.customers = [CustomerPlan("ana", 5e3, 5e3, 1.0, 0.5, "centro")]
    return ProcessFleet(scenario)


def send_paced_requests(
    address: str, headers: dict[str, str], path: str, count: int, rate: float
) -> list[float]:
    """Send requests at a steady rate, one at a time on one connection.

    :param rate: requests per second.
    :returns: the latency of each request, in seconds.
    """
    host, port = address.rsplit(":", 1)
    pool = HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
    latencies_s = []
    due_at = seconds_since_boot()
    for _ in range(count):
        due_at += 1 / rate
        sleep(max(0.0, due_at - seconds_since_boot()))
        started_at = seconds_since_boot()
        resp = pool.urlopen("GET", path, headers=headers, retries=False)
        latencies_s.append(seconds_since_boot() - started_at)
        assert resp.status == 200, resp.status
    return latencies_s


def measure(size: Size = FULL_SIZE) -> None:
    """Measure requests to a server directly and through a host; print the results."""
    fleet = one_host_fleet()
    fleet.start(1)
    try:
        fleet.wait_ready()
        sleep(size.settling_s)
        process = next(iter(fleet.processes.values()))
        os_process = psutil.Process(process.process.pid)
        secret = fleet.credentials["ana"].secret
        headers = {"Authorization": f"Bearer {secret}"}
        server_address = fleet.servers["s0"].address
        host_address = fleet.entry_addresses()[0]
        send_paced_requests(
            server_address, {}, PATH, size.warm_up_requests, HALF_LOAD_PER_S
        )
        send_paced_requests(
            host_address, headers, PATH, size.warm_up_requests, HALF_LOAD_PER_S
        )
        rows = [
            LatencySample(
                "direct",
                sorted(
                    send_paced_requests(
                        server_address, {}, PATH, size.requests, HALF_LOAD_PER_S
                    )
                ),
            )
        ]
        idle_cpu_fraction = (
            _cpu_seconds_during(os_process, lambda: sleep(size.idle_s)) / size.idle_s
        )
        started_at = seconds_since_boot()
        latencies_s: list[float] = []
        request_cpu_s = _cpu_seconds_during(
            os_process,
            lambda: latencies_s.extend(
                send_paced_requests(
                    host_address, headers, PATH, size.requests, HALF_LOAD_PER_S
                )
            ),
        )
        request_cpu_s -= idle_cpu_fraction * (seconds_since_boot() - started_at)
        rows.append(LatencySample("through a host", sorted(latencies_s)))
        started_at = seconds_since_boot()
        lookup_cpu_s = _cpu_seconds_during(
            os_process,
            lambda: send_paced_requests(
                host_address, headers, "/v1/lookup", size.requests, HALF_LOAD_PER_S
            ),
        )
        lookup_cpu_s -= idle_cpu_fraction * (seconds_since_boot() - started_at)
        for row in rows:
            print(
                f"{row.name:16} p50 {row.percentile_ms(0.5):6.2f} ms  "
                f"p99 {row.percentile_ms(0.99):6.2f} ms"
            )
        first, second = rows
        print(
            f"added p50 {second.percentile_ms(0.5) - first.percentile_ms(0.5):.2f} ms "
            "(bound 2)"
        )
        print(
            f"added p99 "
            f"{second.percentile_ms(0.99) - first.percentile_ms(0.99):.2f} ms "
            "(bound 10)"
        )
        print(f"ratio p50 {second.percentile_ms(0.5) / first.percentile_ms(0.5):.2f}")
        print(
            f"CPU a request {1000 * request_cpu_s / size.requests:.3f} ms (bound 0.8)"
        )
        print(f"CPU a look-up {1000 * lookup_cpu_s / size.requests:.3f} ms (bound 0.4)")
        print(f"CPU idle {100 * idle_cpu_fraction:.2f} % of a core")
        print(f"memory {os_process.memory_info().rss / 1e6:.1f} MB (bound 64)")
    finally:
        fleet.stop()


def _cpu_seconds_during(os_process: psutil.Process, action) -> float:
    before = os_process.cpu_times()
    action()
    after = os_process.cpu_times()
    return after.user + after.system - before.user - before.system


if __name__ == "__main__":
    measure()
