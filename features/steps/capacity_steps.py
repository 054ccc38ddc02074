"""Steps that check the log events about the capacity of a service."""

from behave import given, then, when

from damasktally.entry.capacity_log import CapacityLog
from damasktally.fleet.model import Server
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders

SLOTS = 4


def make_server(name, data_centre, warmup_s=0.0):
    """Return a server of the service with a number of seconds of warm-up left."""
    return Server(
        id=name,
        service="cart",
        address=("10.0.0.1", 1),
        data_centre=data_centre,
        slots=SLOTS,
        is_draining=False,
        warmup_left_s=warmup_s,
        started_ms=1,
    )


def log_capacity_changes(context):
    """Advance the clock by one second and log the changes of capacity."""
    context.now += 1.0
    context.logged.clear()
    context.log.log_changes(context.now)


@given("a service of 20 servers with 4 slots in two data centres")
def given_service(context):
    decoders = Decoders(lambda spec: None, lambda name, spec: spec, "main")
    context.view = FleetView(decoders, lambda change: None)
    names = {f"i-{n}": make_server(f"i-{n}", f"dc-{n % 2}") for n in range(20)}
    context.view.replace(Topic.SERVERS, 1, names, "store", 0.0)
    context.logged = []
    context.log = CapacityLog(
        context.view, lambda *logged: context.logged.append(logged)
    )
    context.now = 0.0
    log_capacity_changes(context)
    assert [logged[2].slots for logged in context.logged] == [80]


@when("one server leaves")
def when_leaves(context):
    context.view.apply(Topic.SERVERS, 2, [("i-0", None)], "store", context.now)
    log_capacity_changes(context)


@when("a data centre with 10 servers is evacuated")
def when_evacuated(context):
    changes = [("dc-1", "")]
    context.view.apply(Topic.EVACUATIONS, 3, changes, "store", context.now)
    log_capacity_changes(context)


@when("{count:d} servers are added that warm up for {warmup_s:g} s")
def when_added(context, count, warmup_s):
    names = [f"new-{n}" for n in range(count)]
    added = [(name, make_server(name, "dc-0", warmup_s)) for name in names]
    context.view.apply(Topic.SERVERS, 4, added, "store", context.now)
    log_capacity_changes(context)


@when("{seconds:d} s have passed for the view")
def when_passed(context, seconds):
    context.now += seconds
    log_capacity_changes(context)


@then("no change of its capacity is logged")
def then_no_capacity_logged(context):
    assert not context.logged, context.logged


@then(
    "{slots:d} slots are logged, "
    "with {warming_up:d} servers warming up and {evacuated:d} evacuated"
)
def then_capacity_logged(context, slots, warming_up, evacuated):
    assert len(context.logged) == 1, context.logged
    found = context.logged[0][2]
    assert (found.slots, found.warming_up, found.evacuated) == (
        slots,
        warming_up,
        evacuated,
    ), found
