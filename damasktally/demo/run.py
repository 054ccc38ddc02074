"""Run the demo: steady load, one customer's flood, and a planned drain."""

from dataclasses import dataclass
from random import Random
from threading import Event
from typing import TextIO

from damasktally.clock import seconds_since_boot
from damasktally.demo.callers import CallerClient, LoadSource, RateReference
from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import SCENARIOS, CustomerPlan, Scenario
from damasktally.verification.checkers import CHECKERS, Violation, check_all
from damasktally.verification.history import RateLimit

CLIENTS = 3
FLOOD_FACTOR = 5.0
WARM_UP_S = 4.0
SUMMARY_GAP_S = 5.0
FLOOD_FROM = 0.3
FLOOD_TO = 0.7
DRAIN_AT = 0.5
WRITE_PART = 0.1


@dataclass
class DemoOptions:
    """Say what to run.

    :param seconds: how long the load lasts, the warm-up not counted.
    """

    scenario: str = "masa"
    seconds: float = 20.0
    hosts: int = 3
    seed: int = 1


class Demo:
    """Drive a small fleet and print how its customers fare."""

    def __init__(self, options: DemoOptions, out: TextIO) -> None:
        self._options = options
        self._out = out
        self._scenario: Scenario = SCENARIOS[options.scenario]()
        self._fleet = DemoFleet(self._scenario)
        self._rng = Random(options.seed)
        self._sources: dict[str, LoadSource] = {}
        self._flooding = Event()
        self._stopping = Event()
        self._began_at = 0.0

    def run(self) -> list[Violation]:
        """Run everything.

        :returns: the promises that broke.
        """
        self._say(f"Starting {self._options.hosts} hosts for {self._scenario.name}.")
        self._fleet.start(self._options.hosts)
        try:
            self._stopping.wait(WARM_UP_S)
            self._start_load()
            self._drive()
            self._stopping.set()
            self._print_summary("end")
            violations = check_all(self._fleet.history)
            self._print_promises(violations)
            return violations
        finally:
            self._stopping.set()
            self._fleet.stop()

    def _start_load(self) -> None:
        self._began_at = seconds_since_boot()
        for plan in self._scenario.customers:
            source = self._source(plan)
            self._sources[plan.name] = source
            source.start(self._stopping)

    def _source(self, plan: CustomerPlan) -> LoadSource:
        region = self._scenario.regions.index(plan.region)
        clients = [
            CallerClient(
                self._fleet.entry_addresses(),
                f"10.{1 + 2 * region}.0.{number + 1}",
                self._fleet.credentials[plan.name],
                self._fleet.history,
                self._fleet.answer_bytes,
            )
            for number in range(CLIENTS * (3 if self._floods(plan) else 1))
        ]

        def demand() -> float:
            factor = plan.demand
            if self._floods(plan) and self._flooding.is_set():
                factor = FLOOD_FACTOR
            return plan.rate * factor

        def choose(rng: Random) -> tuple[str, str, dict[str, str]]:
            if rng.random() < WRITE_PART:
                headers = {"Idempotency-Key": f"{plan.name}-{rng.getrandbits(64):x}"}
                return "POST", self._scenario.write_path, headers
            return "GET", self._scenario.read_path, {}

        reference = RateReference(RateLimit(plan.rate, plan.burst))
        rng = Random(self._rng.random())
        return LoadSource(clients, reference, demand, choose, rng)

    def _floods(self, plan: CustomerPlan) -> bool:
        return plan.name == self._scenario.customers[2].name

    def _drive(self) -> None:
        seconds = self._options.seconds
        drained = False
        next_summary = SUMMARY_GAP_S
        while (elapsed := seconds_since_boot() - self._began_at) < seconds:
            flooding = FLOOD_FROM <= elapsed / seconds < FLOOD_TO
            if flooding and not self._flooding.is_set():
                self._flooding.set()
                self._say(f"{elapsed:5.1f} s  {self._flooder()} floods.")
            if not flooding and self._flooding.is_set():
                self._flooding.clear()
                self._say(f"{elapsed:5.1f} s  The flood ends.")
            if elapsed / seconds >= DRAIN_AT and not drained:
                drained = True
                server = self._scenario.servers[0].name
                self._fleet.drain(server)
                self._say(f"{elapsed:5.1f} s  {server} is drained.")
            if elapsed >= next_summary:
                next_summary += SUMMARY_GAP_S
                self._print_summary(f"{elapsed:.0f} s")
            self._fleet.sample()
            self._stopping.wait(0.1)

    def _flooder(self) -> str:
        return self._scenario.customers[2].name

    def _print_summary(self, when: str) -> None:
        self._say(
            f"{when:>7}  customer  rate/s   served  refused in rate  "
            "refused over rate  failed  p50 ms  p99 ms"
        )
        for plan in self._scenario.customers:
            tally = self._sources[plan.name].tally
            self._say(
                f"{'':>7}  {plan.name:8}  {plan.rate:6.1f}  {tally.served:7d}  "
                f"{tally.refused_in_rate:15d}  {tally.refused_over_rate:17d}  "
                f"{tally.failed:6d}  {tally.percentile(0.5) * 1000:6.1f}  "
                f"{tally.percentile(0.99) * 1000:6.1f}"
            )

    def _print_promises(self, violations: list[Violation]) -> None:
        broken = {violation.promise for violation in violations}
        for name, check in CHECKERS.items():
            state = "BROKEN" if name in broken else "held"
            meaning = check.__doc__.splitlines()[0]
            self._say(f"{state:>7}  {name}: {meaning}")
        for violation in violations[:20]:
            self._say(f"         {violation.promise}: {violation.detail}")

    def _say(self, line: str) -> None:
        print(line, file=self._out, flush=True)
