"""Steps that compare a relay's totals with sums over all hosts' counts."""

from behave import then
from hypothesis import example, settings, strategies
from hypothesis import given as for_all

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
        strategies.sampled_from(
            ["lost", "arrived", "arrived", "repeated", "late", "not relay"]
        ),
        strategies.lists(strategies.sampled_from(CUSTOMERS), max_size=8),
        strategies.booleans(),
    ),
    min_size=10,
    max_size=50,
)


TAKEN_WHILE_NO_RELAY = [
    (0, "arrived", CUSTOMERS[:2], False),
    (0, "not relay", CUSTOMERS[:1], False),
    *[(0, "not relay", [], False)] * 3,
    (0, "arrived", [], False),
]
"""The last heartbeat does not repeat a change that the relay did not add."""


@then("totals from the changes in heartbeats are those from all counts")
def then_same_totals(context):
    """Let heartbeats of three hosts reach a relay in random ways."""

    @settings(max_examples=100, deadline=None)
    @example(TAKEN_WHILE_NO_RELAY)
    @for_all(CHANGES)
    def compare(changes):
        compare_totals(changes)

    compare()


def compare_totals(changes):
    """Compare both totals of a relay with plain ones after each round.

    Heartbeats that arrive while the host is no relay update its table of hosts only.
    """
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
        received = {"arrived": 1, "repeated": 2}.get(fate, 0)
        if fate == "not relay":
            relay.members.apply_heartbeat(heartbeat, now)
            continue
        arrivals = [heartbeat] * received + late
        late = [heartbeat] if fate == "late" else []
        for item in arrivals:
            relay.members.apply_heartbeat(item, now)
            builder.add_host_counts(item, now)
            record = relay.members.get(item.host)
            if record.sequence == item.sequence:
                plain.add_changes(record.identity, record.admitted)
        if is_round_due:
            builder.update_totals(now)
            for record in relay.members.records():
                plain.add_changes(record.identity, record.admitted)
        for totals in (builder._data_centre_totals, builder._fleet_totals):
            admitted = {name: totals.totals.get(name, 0) for name in plain.totals}
            assert admitted == plain.totals, (admitted, plain.totals)
