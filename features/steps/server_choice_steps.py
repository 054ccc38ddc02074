"""Steps about the choice between two servers by load, speed and the time left."""

from math import inf

from behave import given, then

from damasktally.decisions.server_selection import choose_server
from damasktally.fleet.model import Server

FAST_RUN_S = 0.4
SERVERS = [Server(f"i-{n}", "svc", ("", 0), "a", 6, False, 0, 1) for n in (1, 2)]


def chosen_server(context, seconds_left=inf):
    """Return the number of the chosen server, or ``none``."""
    held = getattr(context, "held", {})
    slowdowns = getattr(context, "slowdowns", {})
    selected = choose_server(
        SERVERS,
        lambda server: held.get(server.id, 0),
        priority=0,
        slowdown=lambda server: slowdowns.get(server.id, 1.0),
        max_relative_time=seconds_left / FAST_RUN_S,
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
