"""Generate a scenario's load on a fleet, for tests and benchmarks."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Event, Thread

from damasktally.demo.callers import CallerClient, LoadGenerator, ReferenceBucket
from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import CustomerPlan
from damasktally.verification.history import RateLimit

WRITE_FRACTION = 0.1


@dataclass
class FleetLoad:
    """Load of all customers of a scenario.

    :param demand_factor: returns a customer's request rate as a multiple of its own
        rate.
    :param clients: number of callers of each customer.
    :param choose_entries: returns the addresses of the hosts that a caller always uses,
        given its number; without it callers follow look-ups.
    :param write_fraction: fraction of the requests that write.
    """

    fleet: DemoFleet
    demand_factor: Callable[[CustomerPlan], float]
    seed: int = 1
    clients: int = 6
    choose_entries: Callable[[int], list[str]] | None = None
    write_fraction: float = WRITE_FRACTION
    generators: dict[str, LoadGenerator] = field(default_factory=dict)
    stopping: Event = field(default_factory=Event)
    threads: list[Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the callers of every customer."""
        rng = Random(self.seed)
        for plan in self.fleet.scenario.customers:
            generator = self._make_generator(plan, Random(rng.random()))
            self.generators[plan.name] = generator
            self.threads += generator.start(self.stopping)

    def stop(self) -> None:
        """Stop the callers and wait for their last responses."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(40.0)

    def reset(self) -> None:
        """Discard the results so far."""
        for generator in self.generators.values():
            generator.reset_stats()

    def _make_generator(self, plan: CustomerPlan, rng: Random) -> LoadGenerator:
        scenario = self.fleet.scenario
        clients = []
        for number in range(self.clients):
            region = number % len(scenario.regions)
            fixed_entries = self.choose_entries(number) if self.choose_entries else None
            clients.append(
                CallerClient(
                    fixed_entries or self.fleet.entry_addresses(),
                    f"10.{1 + 2 * region}.0.{number + 1}",
                    self.fleet.credentials[plan.name],
                    self.fleet.history,
                    self.fleet.response_bytes,
                    follow_lookup=fixed_entries is None,
                )
            )

        def choose_request(rng: Random) -> tuple[str, str, dict[str, str]]:
            if rng.random() < self.write_fraction:
                headers = {"Idempotency-Key": f"{plan.name}-{rng.getrandbits(64):x}"}
                return "POST", scenario.write_path, headers
            return "GET", scenario.read_path, {}

        return LoadGenerator(
            clients,
            ReferenceBucket(RateLimit(plan.rate, plan.burst)),
            lambda: plan.rate * self.demand_factor(plan),
            choose_request,
            rng,
        )
