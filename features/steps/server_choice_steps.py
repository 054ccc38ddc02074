"""Steps about the choice between two servers by load, speed and the time left."""

from math import inf
from random import Random

from behave import given, then

from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.server_selection import choose_server
from damasktally.fleet.model import Server

FAST_RUN_S = 0.4
SERVERS = [Server(f"i-{n}", "svc", ("", 0), "a", 6, False, 0, 1) for n in (1, 2)]


def chosen_server(context, seconds_left=inf, fast_run_s=FAST_RUN_S):
    """Return the number of the chosen server, or ``none``."""
    held = getattr(context, "held", {})
    slowdowns = getattr(context, "slowdowns", {})
    selected = choose_server(
        SERVERS,
        lambda server: held.get(server.id, 0),
        priority=0,
        slowdown=lambda server: slowdowns.get(server.id, 1.0),
        max_relative_time=seconds_left / fast_run_s if fast_run_s else inf,
    )
    return "none" if selected is None else selected.id.removeprefix("i-")


@given("server 1 takes {slowdown:g} times as long as usual and server 2 does not")
def given_slowdown(context, slowdown):
    context.slowdowns = {"i-1": slowdown}


@given("server 1 holds {first:d} requests and server 2 holds {second:d}")
def given_held(context, first, second):
    context.held = {"i-1": first, "i-2": second}


@then("a request is sent to server {server}")
def then_sent(context, server):
    assert chosen_server(context) == server


@then("a request that has {seconds:g} s left is sent to server {server}")
def then_sent_in_time(context, seconds, server):
    assert chosen_server(context, seconds) == server


@given("300 responses of which every fifth took 1.3 s and the others 0.35 to 0.45 s")
def given_responses(context):
    context.response_times = ResponseTimes()
    rng = Random(1)
    for number in range(300):
        seconds = 1.3 if number % 5 == 0 else rng.uniform(0.35, 0.45)
        context.response_times.record("svc", seconds, now=0.0)


@then("a fast response takes {low:g} to {high:g} s")
def then_fast_response(context, low, high):
    assert low <= context.response_times.fast_response_s("svc") <= high


@then(
    "a request that has {seconds:g} s left is sent to a server that has not responded "
    "yet"
)
def then_sent_without_times(context, seconds):
    fast_run_s = ResponseTimes().fast_response_s("svc")
    assert chosen_server(context, seconds, fast_run_s) == "1"
