"""Steps for properties of the model of lost responses."""

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st
from loss_model import BAD, STEP_S, LossModel, Plan

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.decisions.lost_responses import (
    DECISION_DELAY_S,
    LostResponse,
    LostResponses,
    ServerStates,
)

SECONDS = 6.0
NO_BAD_REQUESTS = st.just(0.0)


@st.composite
def plans(draw, bad_rate, max_cut_fraction):
    """Draw a schedule.

    :param bad_rate: rates of requests that end servers.
    :param max_cut_fraction: fraction of the hosts that may be cut off at once.
    """
    hosts = draw(st.integers(2, 8))
    most = int(hosts * max_cut_fraction)
    cut_hosts = draw(st.sets(st.integers(0, hosts - 1), max_size=most))
    begin = draw(st.floats(0.5, 2.0))
    cuts = []
    for host in sorted(cut_hosts):
        start = begin + draw(st.sampled_from([0.0, 0.0, 0.1, 0.7]))
        for number in range(draw(st.integers(1, 3))):
            at = start + 1.2 * number
            cuts.append((host, at, at + draw(st.floats(0.1, 1.0))))
    return Plan(
        hosts,
        draw(st.integers(6, 20)),
        draw(st.floats(20.0, 200.0)),
        SECONDS,
        cuts,
        draw(bad_rate),
        draw(st.floats(0.0, 0.5)),
        draw(st.integers(0, 10_000)),
    )


CASES = {
    "and never answered": {},
    "and answered 0.2 s before that": {"answer_s": -0.2},
    "and answered 0.2 s later": {"answer_s": 0.2},
    "that had drained or were removed before": {"has_left": True},
    "as the own link broke, and the servers end later": {"broken": 9},
    "as the own link broke, with an answer, and they end later": {
        "broken": 9,
        "answer_s": 0.2,
    },
}
"""What is known when the responses are lost and judged, by the name of the case."""


def is_blocked_after_losses(answer_s=None, has_left=False, broken=3):
    """Return whether a request is blocked a second after three losses of it.

    :param answer_s: when a server answered it, in seconds after the losses.
    :param has_left: whether the servers had left.
    :param broken: servers of ten whose connections broke together.
    """
    suspects, breaks = CrashSuspects("h"), LinkBreaks()
    is_over = []
    states = ServerStates(lambda *_: not is_over, lambda *_: has_left)
    losses = LostResponses(suspects, breaks, states)
    for number in range(10):
        breaks.record_opened(f"s-{number}")
    if answer_s is not None and answer_s < 0:
        losses.record_answer("read", 10.0 + answer_s)
    for number in range(broken):
        breaks.record_closed(f"s-{number}", True, 10.0)
    for number in range(3):
        losses.add(LostResponse("read", f"s-{number}", 1, 0, 10.0))
    if answer_s is not None and answer_s > 0:
        losses.record_answer("read", 10.0 + answer_s)
    losses.judge(10.0 + DECISION_DELAY_S)
    losses.reconsider_excused(10.3)
    is_over.append(True)
    losses.reconsider_excused(10.5)
    return suspects.blocked_s("read", 11.0) > 0


@then("a request that was lost at 3 servers {case} is blocked")
def then_blocked(context, case):
    """Check that the losses count."""
    assert is_blocked_after_losses(**CASES[case])


@then("a request that was lost at 3 servers {case} is not blocked")
def then_not_blocked(context, case):
    """Check that the losses do not count."""
    assert not is_blocked_after_losses(**CASES[case])


@st.composite
def leaving_plans(draw, bad_rate=NO_BAD_REQUESTS):
    """Draw a schedule in which a group of servers drains, or leaves without a report.

    In many of them callers pause at that time, so that no later answer helps.
    """
    servers = draw(st.integers(10, 20))
    groups = [servers // 5, servers // 3, servers // 2, servers - 2]
    count = draw(st.sampled_from(groups))
    spread_s = draw(st.sampled_from([0.0, 0.0, 1.0]))
    serves_s = draw(st.sampled_from([-1.5, 0.0, 0.02, 0.1, 0.5, 2.0]))
    begin = draw(st.floats(1.0, 2.0))
    leaves = []
    for server in range(count):
        at = begin + spread_s * server / count
        leaves.append((server, at, at + serves_s))
    quiet_from = leaves[0][2] + draw(st.sampled_from([0.0, 0.1, 0.5]))
    return Plan(
        draw(st.sampled_from([2, 12, 30])),
        servers,
        draw(st.floats(50.0, 1.0 / STEP_S)),
        SECONDS,
        [],
        draw(bad_rate),
        draw(st.floats(0.0, 0.3)),
        draw(st.integers(0, 10_000)),
        tuple(leaves),
        (quiet_from, quiet_from + draw(st.sampled_from([0.0, 1.0, 1.0]))),
        draw(st.booleans()),
    )


@then(
    "in {count:d} schedules of servers that leave or end in groups "
    "no request is blocked"
)
def then_none_blocked_by_leaving(context, count):
    """Run schedules in which servers leave and no request ends one."""

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(leaving_plans())
    def check(plan):
        model = LossModel(plan)
        model.run()
        assert not model.blocked, (plan, model.blocked)

    check()


@then(
    "in {count:d} schedules of servers that leave in groups a request that ends "
    "servers ends at most {most:d} more from {delay:g} s after the third"
)
def then_bad_stopped_beside_leaving(context, count, most, delay):
    """Run schedules in which servers leave and one request ends others."""

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(leaving_plans(st.floats(1.0, 6.0)))
    def check(plan):
        check_bad_stopped(plan, most, delay)

    check()


def check_bad_stopped(plan, most, delay):
    """Run a schedule, and check when servers ended after the third one did."""
    model = LossModel(plan)
    model.run()
    if len(model.bad_ends) > 3:
        late = [at for at in model.bad_ends if at > model.bad_ends[2] + delay]
        assert len(late) <= most, (plan, model.bad_ends, BAD in model.blocked)


@then("in {count:d} schedules of cuts of any hosts no request is blocked")
def then_none_blocked(context, count):
    """Run schedules in which no server ends."""

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(plans(NO_BAD_REQUESTS, 1.0))
    def check(plan):
        model = LossModel(plan)
        model.run()
        assert not model.blocked, (plan, model.blocked)

    check()


@then(
    "in {count:d} schedules with cuts of up to half of the hosts a request that ends "
    "servers ends at most {most:d} more from {delay:g} s after the third"
)
def then_bad_stopped(context, count, most, delay):
    """Run schedules in which one request ends servers."""

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(plans(st.floats(1.0, 6.0), 0.5))
    def check(plan):
        check_bad_stopped(plan, most, delay)

    check()
