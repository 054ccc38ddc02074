"""Steps for the limit on the connections of a port."""

import re

from behave import given, then, when

from damasktally.http1.open_connections import ConnectionState, OpenConnections

CONDUCTS = {
    "connect": (),
    "connects": (),
    "are asked": (ConnectionState.BUSY,),
    "is answered": (ConnectionState.BUSY, ConnectionState.IDLE),
    "are answered": (ConnectionState.BUSY, ConnectionState.IDLE),
    "is ended": (ConnectionState.ENDED,),
}
"""States of a connection after it was opened, by what a history says of it."""


class FakeConnection:
    """A connection that records whether it was closed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_closed = False

    def abort(self) -> None:
        """Close the connection."""
        self.is_closed = True


@given("room for {count:d} connections")
def given_room(context, count):
    """Create the connections of a port."""
    context.connections = OpenConnections(count)
    context.room = count
    context.by_name = {}


def open_connection(context, name: str) -> FakeConnection:
    """Return a connection, which is opened if it is new."""
    if name not in context.by_name:
        context.by_name[name] = FakeConnection(name)
        context.connections.add(context.by_name[name])
    return context.by_name[name]


def play(context, history: str) -> None:
    """Play a history such as "a and b are answered, c connects"."""
    for part in re.findall(r"((?:\w(?:, | and )?)+) ([a-z ]+?)(?:, |$)", history):
        names, conduct = part
        for name in re.findall(r"\b\w\b", names):
            conn = open_connection(context, name)
            for state in CONDUCTS[conduct]:
                context.connections.mark(conn, state)


@when("the port sees: {history}")
def when_history(context, history):
    """Play the history at once."""
    play(context, history)


@when("{count:d} new connections are opened one after the other")
def when_flood(context, count):
    """Open many connections that send nothing."""
    for number in range(count):
        open_connection(context, f"new {number}")


def closed_names(context) -> list[str]:
    """Return the names of the closed connections."""
    return sorted(name for name, conn in context.by_name.items() if conn.is_closed)


@then("the port closes {name:w} alone")
def then_one_closed(context, name):
    """Check that it is the only one."""
    assert closed_names(context) == [name], closed_names(context)
    assert len(context.connections) == context.room


@then("the port closes a and b alone")
def then_two_closed(context):
    """Check that no others are."""
    assert closed_names(context) == ["a", "b"], closed_names(context)


@then("{count:d} of them are closed, and a is not")
def then_strangers_closed(context, count):
    """Check that the newest ones are left."""
    closed = closed_names(context)
    assert len(closed) == count and "a" not in closed, closed
    assert context.connections.evicted_count == count
    assert not context.by_name["new 49"].is_closed
