"""Run the demo: steady load, a flood from one customer, and a planned drain."""

from dataclasses import dataclass
from random import Random
from threading import Event
from typing import TextIO

from damasktally.clock import seconds_since_boot
from damasktally.demo.callers import CallerClient, LoadGenerator, ReferenceBucket
from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import SCENARIOS, CustomerPlan, Scenario
from damasktally.verification.checkers import CHECKERS, Violation, check_all
from damasktally.verification.history import RateLimit

CLIENTS_PER_CUSTOMER = 3
FLOOD_DEMAND_FACTOR = 5.0
WARM_UP_S = 4.0
SUMMARY_INTERVAL_S = 5.0
FLOOD_START_FRACTION = 0.3
FLOOD_END_FRACTION = 0.7
DRAIN_START_FRACTION = 0.5
WRITE_FRACTION = 0.1


@dataclass
class DemoOptions:
    """Options of the demo.

    :param scenario: name of the deployment.
    :param seconds: duration of the load in seconds, without the warm-up.
    :param hosts: number of entry hosts.
    :param seed: seed of the random number generator.
    """

    scenario: str = "masa"
    seconds: float = 20.0
    hosts: int = 3
    seed: int = 1


class Demo:
    """Run a small fleet under load and print each customer's results."""

    def __init__(self, options: DemoOptions, out: TextIO) -> None:
        self._options = options
        self._out = out
        self._scenario: Scenario = SCENARIOS[options.scenario]()
        self._fleet = DemoFleet(self._scenario)
        self._rng = Random(options.seed)
        self._generators: dict[str, LoadGenerator] = {}
        self._flood_active = Event()
        self._stop_requested = Event()
        self._started_at = 0.0

    def run(self) -> list[Violation]:
        """Run the demo.

        :returns: the violations of guarantees.
        """
        self._print(f"Starting {self._options.hosts} hosts for {self._scenario.name}.")
        self._fleet.start(self._options.hosts)
        try:
            self._stop_requested.wait(WARM_UP_S)
            self._start_load()
            self._run_schedule()
            self._stop_requested.set()
            self._print_summary("end")
            violations = check_all(self._fleet.history)
            self._print_guarantees(violations)
            return violations
        finally:
            self._stop_requested.set()
            self._fleet.stop()

    def _start_load(self) -> None:
        self._started_at = seconds_since_boot()
        for plan in self._scenario.customers:
            generator = self._make_generator(plan)
            self._generators[plan.name] = generator
            generator.start(self._stop_requested)

    def _make_generator(self, plan: CustomerPlan) -> LoadGenerator:
        region = self._scenario.regions.index(plan.region)
        clients = [
            CallerClient(
                self._fleet.entry_addresses(),
                f"10.{1 + 2 * region}.0.{number + 1}",
                self._fleet.credentials[plan.name],
                self._fleet.history,
                self._fleet.response_bytes,
            )
            for number in range(
                CLIENTS_PER_CUSTOMER * (3 if self._is_flooder(plan) else 1)
            )
        ]

        def target_rate() -> float:
            demand_factor = plan.demand_factor
            if self._is_flooder(plan) and self._flood_active.is_set():
                demand_factor = FLOOD_DEMAND_FACTOR
            return plan.rate * demand_factor

        def choose_request(rng: Random) -> tuple[str, str, dict[str, str]]:
            if rng.random() < WRITE_FRACTION:
                headers = {"Idempotency-Key": f"{plan.name}-{rng.getrandbits(64):x}"}
                return "POST", self._scenario.write_path, headers
            return "GET", self._scenario.read_path, {}

        reference = ReferenceBucket(RateLimit(plan.rate, plan.burst))
        rng = Random(self._rng.random())
        return LoadGenerator(clients, reference, target_rate, choose_request, rng)

    def _is_flooder(self, plan: CustomerPlan) -> bool:
        return plan.name == self._scenario.customers[2].name

    def _run_schedule(self) -> None:
        seconds = self._options.seconds
        drained = False
        next_summary = SUMMARY_INTERVAL_S
        while (elapsed := seconds_since_boot() - self._started_at) < seconds:
            flooding = FLOOD_START_FRACTION <= elapsed / seconds < FLOOD_END_FRACTION
            if flooding and not self._flood_active.is_set():
                self._flood_active.set()
                self._print(f"{elapsed:5.1f} s  {self._flooding_customer()} floods.")
            if not flooding and self._flood_active.is_set():
                self._flood_active.clear()
                self._print(f"{elapsed:5.1f} s  The flood ends.")
            if elapsed / seconds >= DRAIN_START_FRACTION and not drained:
                drained = True
                server = self._scenario.servers[0].name
                self._fleet.drain_server(server)
                self._print(f"{elapsed:5.1f} s  {server} is drained.")
            if elapsed >= next_summary:
                next_summary += SUMMARY_INTERVAL_S
                self._print_summary(f"{elapsed:.0f} s")
            self._fleet.sample_revisions()
            self._stop_requested.wait(0.1)

    def _flooding_customer(self) -> str:
        return self._scenario.customers[2].name

    def _print_summary(self, when: str) -> None:
        self._print(
            f"{when:>7}  customer  rate/s   served  refused in rate  "
            "refused over rate  failed  p50 ms  p99 ms"
        )
        for plan in self._scenario.customers:
            stats = self._generators[plan.name].stats
            self._print(
                f"{'':>7}  {plan.name:8}  {plan.rate:6.1f}  {stats.served:7d}  "
                f"{stats.refused_within_rate:15d}  {stats.refused_over_rate:17d}  "
                f"{stats.failed:6d}  {stats.latency_percentile(0.5) * 1000:6.1f}  "
                f"{stats.latency_percentile(0.99) * 1000:6.1f}"
            )

    def _print_guarantees(self, violations: list[Violation]) -> None:
        broken = {violation.guarantee for violation in violations}
        for name, check in CHECKERS.items():
            state = "BROKEN" if name in broken else "held"
            meaning = check.__doc__.splitlines()[0]
            self._print(f"{state:>7}  {name}: {meaning}")
        for violation in violations[:20]:
            self._print(f"         {violation.guarantee}: {violation.detail}")

    def _print(self, line: str) -> None:
        print(line, file=self._out, flush=True)
