"""Steps for properties of the model of lost responses."""

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st
from loss_model import BAD, LossModel, Plan

SECONDS = 6.0


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


@then("in {count:d} schedules of cuts of any hosts no request is blocked")
def then_none_blocked(context, count):
    """Run schedules in which no server ends."""

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(plans(st.just(0.0), 1.0))
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
        model = LossModel(plan)
        model.run()
        if len(model.bad_ends) > 3:
            late = [at for at in model.bad_ends if at > model.bad_ends[2] + delay]
            assert len(late) <= most, (plan, model.bad_ends, BAD in model.blocked)

    check()
