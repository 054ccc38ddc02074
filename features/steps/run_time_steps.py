"""Steps about the estimated time of a run, and requests tried in spite of it."""

from math import inf
from random import Random

from behave import given, then, when

from damasktally.decisions.run_times import RunTimes
from damasktally.decisions.server_selection import choose_server
from damasktally.decisions.time_trials import TimeTrials
from damasktally.fleet.model import Server

SERVICE, ROUTE, OTHER_ROUTE = "svc", "read", "pay"


def run_times(context):
    """Return the times that the scenario records."""
    if not hasattr(context, "run_times"):
        context.run_times = RunTimes()
        context.now = 100.0
    return context.run_times


@given("300 runs of which every fifth took 1.3 s and the others 0.35 to 0.45 s")
def given_mixed_runs(context):
    """Record runs that end at the same time."""
    rng = Random(1)
    for number in range(300):
        seconds = 1.3 if number % 5 == 0 else rng.uniform(0.35, 0.45)
        run_times(context).record_run(SERVICE, ROUTE, seconds, 1.0, context.now)


@given("{count:d} runs that took {seconds:g} s each, the last of them {age:g} s ago")
def given_runs(context, count, seconds, age):
    """Record runs that ended at the same time."""
    times = run_times(context)
    for _ in range(count):
        times.record_run(SERVICE, ROUTE, seconds, 1.0, context.now - age)


@given(
    "{count:d} runs that were cut off after {seconds:g} s each, "
    "with {gap:g} s between them"
)
def given_cut_off(context, count, seconds, gap):
    """Record runs that were cut off, the last one now."""
    times = run_times(context)
    for number in reversed(range(count)):
        at = context.now - number * gap
        times.record_cut_off(SERVICE, ROUTE, seconds, 1.0, at)


@given("a run of the route that took {seconds:g} s")
def given_run(context, seconds):
    """Record one more run."""
    run_times(context).record_run(SERVICE, ROUTE, seconds, 1.0, context.now)


@given("a run of another route that took {seconds:g} s")
def given_other_run(context, seconds):
    """Record a run of another route."""
    run_times(context).record_run(SERVICE, OTHER_ROUTE, seconds, 1.0, context.now)


@given(
    "{count:d} runs that took {seconds:g} s each at servers that were {factor:g} times "
    "as slow as usual"
)
def given_slow_runs(context, count, seconds, factor):
    """Record runs whose duration is explained by their servers."""
    for _ in range(count):
        run_times(context).record_run(SERVICE, ROUTE, seconds, factor, context.now)


@then("a run of the route takes an unknown time")
def then_unknown(context):
    """Check that there is no estimate."""
    assert run_times(context).estimate(SERVICE, ROUTE, context.now) is None


@then("a run of the other route takes an unknown time")
def then_other_unknown(context):
    """Check that there is no estimate of the other route."""
    assert run_times(context).estimate(SERVICE, OTHER_ROUTE, context.now) is None


@then("a run of the route takes {low:g} to {high:g} s")
def then_estimate(context, low, high):
    """Check the estimate."""
    estimate = run_times(context).estimate(SERVICE, ROUTE, context.now)
    assert low <= estimate.seconds <= high, estimate


@then(
    "a request that has {seconds:g} s left is sent to a server that has not responded "
    "yet"
)
def then_sent_without_times(context, seconds):
    """Choose a server without an estimate."""
    estimate = run_times(context).estimate(SERVICE, ROUTE, context.now)
    server = Server("i-1", SERVICE, ("", 0), "a", 6, False, 0, 1)
    selected = choose_server(
        [server],
        lambda item: 0,
        priority=0,
        max_relative_time=seconds / estimate.seconds if estimate else inf,
    )
    assert selected is server


@when("a request with {remaining:g} s left is tried")
def when_tried(context, remaining):
    """Begin a trial."""
    context.trials = TimeTrials()
    assert context.trials.begin(SERVICE, ROUTE, True, remaining, 0.0)


@then("the next one may be tried after {interval:g} s")
def then_next(context, interval):
    """Check when the next trial is allowed."""
    trials = context.trials
    assert not trials.begin(SERVICE, ROUTE, True, 1.0, interval - 0.01)
    assert abs(trials.wait_s(SERVICE, ROUTE, 0.0) - interval) < 0.001
    assert trials.begin(SERVICE, ROUTE, True, 1.0, interval)


@then("a request of another route may be tried at once")
def then_other_tried(context):
    """Begin a trial of another route."""
    assert context.trials.begin(SERVICE, OTHER_ROUTE, True, 1.0, 0.0)


def try_for(kinds, seconds):
    """Return how many requests of each kind are tried, if they ask ten times a second.

    :param kinds: route of each kind, and whether its requests are idempotent.
    """
    trials = TimeTrials()
    counts = dict.fromkeys(kinds, 0)
    for step in range(int(seconds * 10)):
        now = step / 10
        for route, is_repeatable in kinds.items():
            counts[route] += trials.begin(SERVICE, route, is_repeatable, 1.0, now)
        trials.remove_expired(now)
    return counts


@when(
    "idempotent requests and others with 1 s left ask to be tried 10 times a second "
    "for {seconds:g} s"
)
def when_both_ask(context, seconds):
    """Ask for requests of two routes."""
    context.counts = try_for({ROUTE: True, OTHER_ROUTE: False}, seconds)


@then("{repeatable:d} idempotent requests and {least:d} or {most:d} others are tried")
def then_both_tried(context, repeatable, least, most):
    """Check the counts."""
    assert context.counts[ROUTE] == repeatable, context.counts
    assert least <= context.counts[OTHER_ROUTE] <= most, context.counts


@when(
    "only requests that may run once, with 1 s left, ask to be tried 10 times a second "
    "for {seconds:g} s"
)
def when_others_ask(context, seconds):
    """Ask for requests of one route."""
    context.counts = try_for({OTHER_ROUTE: False}, seconds)


@then("{count:d} of them are tried")
def then_others_tried(context, count):
    """Check the count."""
    assert context.counts[OTHER_ROUTE] == count, context.counts
