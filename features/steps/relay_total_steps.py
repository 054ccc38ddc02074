"""Steps that compare a relay's totals with sums over all hosts' counts."""

from behave import then
from hypothesis import given as for_all
from hypothesis import settings, strategies

from benchmarks.relays import SimulatedHost
from damasktally.decisions.counter_totals import CounterTotals
from damasktally.fleet.model import Customer

TICK_S = 0.2
HOSTS = 3
CUSTOMERS = [
    Customer(name, frozenset(), 1e5, 1e5, None, frozenset()) for name in "abcdef"
]
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, HOSTS - 1),
        strategies.sampled_from(["lost", "arrived", "arrived", "repeated", "late"]),
        strategies.lists(strategies.sampled_from(CUSTOMERS), max_size=8),
        strategies.booleans(),
    ),
    min_size=10,
    max_size=50,
)


@then("totals from the changes in heartbeats are those from all counts")
def then_same_totals(context):
    """Let heartbeats of three hosts reach a relay in random ways."""

    @settings(max_examples=100, deadline=None)
    @for_all(CHANGES)
    def compare(changes):
        compare_totals(changes)

    compare()


def compare_totals(changes):
    """Compare both totals of a relay with plain ones after each round."""
    relay = SimulatedHost("edge-0-0", 0, CUSTOMERS)
    hosts = [SimulatedHost(f"edge-0-{n + 1}", 0, CUSTOMERS) for n in range(HOSTS)]
    plain = CounterTotals()
    late = []
    builder = relay.message_builder
    for round_number, (index, fate, customers, is_round_due) in enumerate(changes):
        now = round_number * TICK_S
        host = hosts[index]
        for customer in customers:
            host.quotas.take(customer, now)
        heartbeat = host.message_builder.build_heartbeat(now)
        received = {"lost": 0, "late": 0, "arrived": 1, "repeated": 2}[fate]
        arrivals = [heartbeat] * received + late
        late = [heartbeat] if fate == "late" else []
        for item in arrivals:
            relay.members.apply_heartbeat(item, now)
            builder.add_host_counts(item, now)
            for record in relay.members.records():
                plain.add_changes(record.identity, record.admitted)
        if is_round_due:
            builder.update_totals(now)
        for totals in (builder._data_centre_totals, builder._fleet_totals):
            admitted = {name: totals.totals.get(name, 0) for name in plain.totals}
            assert admitted == plain.totals, (admitted, plain.totals)
