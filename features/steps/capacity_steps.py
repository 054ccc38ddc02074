"""Steps about what the log tells of a service's capacity."""

from behave import given, then, when

from damasktally.entry.capacity_log import CapacityLog
from damasktally.fleet.model import Server
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import Decoders, FleetView

SLOTS = 4


def server(name, data_centre, cold_s=0.0):
    """Return a server of one service."""
    return Server(
        id=name,
        service="cart",
        address=("10.0.0.1", 1),
        data_centre=data_centre,
        slots=SLOTS,
        is_draining=False,
        warmup_left_s=cold_s,
        started_ms=1,
    )


def note(context):
    """Let a second pass, and look at the capacity."""
    context.now += 1.0
    context.told.clear()
    context.log.log_changes(context.now)


@given("a service of 20 servers with 4 slots in two data centres")
def given_service(context):
    decoders = Decoders(lambda spec: None, lambda name, spec: spec, "main")
    context.view = FleetView(decoders, lambda change: None)
    names = {f"i-{n}": server(f"i-{n}", f"dc-{n % 2}") for n in range(20)}
    context.view.replace(Topic.SERVERS, 1, names, "store", 0.0)
    context.told = []
    context.log = CapacityLog(context.view, lambda *told: context.told.append(told))
    context.now = 0.0
    note(context)
    assert [told[2].slots for told in context.told] == [80]


@when("one server leaves")
def when_leaves(context):
    context.view.apply(Topic.SERVERS, 2, [("i-0", None)], "store", context.now)
    note(context)


@when("a data centre with 10 servers is evacuated")
def when_evacuated(context):
    changes = [("dc-1", "")]
    context.view.apply(Topic.EVACUATIONS, 3, changes, "store", context.now)
    note(context)


@when("{count:d} servers are added that are cold for {cold_s:g} s")
def when_added(context, count, cold_s):
    names = [f"new-{n}" for n in range(count)]
    added = [(name, server(name, "dc-0", cold_s)) for name in names]
    context.view.apply(Topic.SERVERS, 4, added, "store", context.now)
    note(context)


@when("{seconds:d} s have passed for the view")
def when_passed(context, seconds):
    context.now += seconds
    note(context)


@then("nothing is told of its capacity")
def then_nothing(context):
    assert not context.told, context.told


@then(
    "{slots:d} slots are told, with {cold:d} cold and {evacuated:d} evacuated servers"
)
def then_told(context, slots, cold, evacuated):
    assert len(context.told) == 1, context.told
    found = context.told[0][2]
    assert (found.slots, found.cold, found.evacuated) == (slots, cold, evacuated), found
