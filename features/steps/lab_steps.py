"""Steps that simulate loads, and compare the results of policies."""

from behave import then, when

from damasktally.lab import LOADS, POLICIES, simulate


@when(
    "the load {load} is simulated for {seconds:d} s "
    "under the policy {policy} with seeds {a:d}, {b:d} and {c:d}"
)
def when_simulated(context, load, seconds, policy, a, b, c):
    context.results = [
        simulate(LOADS[load], POLICIES[policy], seconds, seed) for seed in (a, b, c)
    ]


@when(
    "the load {load} is simulated for {seconds:d} s "
    "under each policy with seed {seed:d}"
)
def when_each(context, load, seconds, seed):
    context.worth = {
        name: simulate(LOADS[load], policy, seconds, seed).worth
        for name, policy in POLICIES.items()
    }


@then("the first two results are equal and the third one differs")
def then_equal(context):
    first, second, third = context.results
    assert first == second
    assert first != third


@then("every request of a result was answered on time, answered late or refused")
def then_complete(context):
    for item in context.results:
        assert item.requests == item.on_time + item.late + item.refused, item


@then("product serves more than spill-3")
def then_more(context):
    assert context.worth["product"] > context.worth["spill-3"], context.worth


@then("least-loaded serves less than half of what product serves")
def then_less(context):
    assert 2 * context.worth["least-loaded"] < context.worth["product"], context.worth
