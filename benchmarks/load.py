"""Put a scenario's load on a fleet, for tests and measurements."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Event, Thread

from damasktally.demo.callers import CallerClient, LoadSource, RateReference
from damasktally.demo.fleet import DemoFleet
from damasktally.demo.scenarios import CustomerPlan
from damasktally.verification.history import RateLimit

WRITE_PART = 0.1


@dataclass
class FleetLoad:
    """Send every customer's requests.

    :param factor: returns the part of its rate that a customer asks for.
    :param clients: caller programs a customer.
    :param entries: returns the hosts that the callers of a customer are bound to;
        without it they follow look-ups.
    """

    fleet: DemoFleet
    factor: Callable[[CustomerPlan], float]
    seed: int = 1
    clients: int = 6
    entries: Callable[[int], list[str]] | None = None
    write_part: float = WRITE_PART
    sources: dict[str, LoadSource] = field(default_factory=dict)
    stopping: Event = field(default_factory=Event)
    threads: list[Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start all callers."""
        rng = Random(self.seed)
        for plan in self.fleet.scenario.customers:
            source = self._source(plan, Random(rng.random()))
            self.sources[plan.name] = source
            self.threads += source.start(self.stopping)

    def stop(self) -> None:
        """Stop the callers and wait for their last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(40.0)

    def reset(self) -> None:
        """Count from now on only."""
        for source in self.sources.values():
            source.start_over()

    def _source(self, plan: CustomerPlan, rng: Random) -> LoadSource:
        scenario = self.fleet.scenario
        clients = []
        for number in range(self.clients):
            region = number % len(scenario.regions)
            bound = self.entries(number) if self.entries else None
            clients.append(
                CallerClient(
                    bound or self.fleet.entry_addresses(),
                    f"10.{1 + 2 * region}.0.{number + 1}",
                    self.fleet.credentials[plan.name],
                    self.fleet.history,
                    self.fleet.answer_bytes,
                    follow_lookup=bound is None,
                )
            )

        def choose(rng: Random) -> tuple[str, str, dict[str, str]]:
            if rng.random() < self.write_part:
                headers = {"Idempotency-Key": f"{plan.name}-{rng.getrandbits(64):x}"}
                return "POST", scenario.write_path, headers
            return "GET", scenario.read_path, {}

        return LoadSource(
            clients,
            RateReference(RateLimit(plan.rate, plan.burst)),
            lambda: plan.rate * self.factor(plan),
            choose,
            rng,
        )
