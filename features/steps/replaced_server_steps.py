"""Steps for servers whose addresses respond for other servers."""

from behave import given, then, when
from entry_harness import StandInServer

from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders
from damasktally.platform.codec import decode_configuration, decode_server

SERVER = "s-1"
TICK_S = 0.25
FIRST_PORT, OTHER_PORT = 4001, 4002
FIRST_START_MS, OTHER_START_MS = 1, 2


def register(context, port, started_ms):
    """Write the server's registration into the view."""
    context.revision += 1
    spec = StandInServer(SERVER, port=port).registration(started=started_ms)
    context.view.apply(
        Topic.SERVERS, context.revision, [(SERVER, spec)], "store", context.now
    )


@given("a registered server to which a request is on its way")
def given_registered(context):
    """Register a server, and keep what a request to it was sent with."""
    context.revision, context.now = 1, 100.0
    decoders = Decoders(decode_configuration, decode_server, "main")
    context.view = FleetView(decoders, lambda change: None)
    register(context, FIRST_PORT, FIRST_START_MS)
    context.sent_to = context.view.servers.get(SERVER).server


@when("the server registers {change}")
def when_registers(context, change):
    """Register the server with another start, address or both."""
    register(
        context,
        OTHER_PORT if "another address" in change else FIRST_PORT,
        OTHER_START_MS if "another process" in change else FIRST_START_MS,
    )


@when("the request is rejected by another server at the address")
def when_rejected(context):
    """Take in a response with status 421."""
    context.view.drop_server(context.sent_to, context.now)


@when("its registration is removed")
def when_removed(context):
    """Remove the registration."""
    context.revision += 1
    context.view.apply(
        Topic.SERVERS, context.revision, [(SERVER, None)], "store", context.now
    )


@when("its registration goes on for {seconds:g} s")
@when("{seconds:g} s more pass")
def when_time_passes(context, seconds):
    """Let the host do its frequent work until some time has passed."""
    end = context.now + seconds
    while context.now < end:
        context.now = min(end, context.now + TICK_S)
        context.view.return_dropped_servers(context.now)


@then("the server is in use")
def then_in_use(context):
    """Check that requests may be sent to it."""
    assert [item.id for item in context.view.servers.usable()] == [SERVER]


@then("the server is not in use")
def then_not_in_use(context):
    """Check that no request is sent to it."""
    assert not context.view.servers.usable()
