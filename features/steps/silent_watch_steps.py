"""Steps for connections to the store that return nothing any more."""

from asyncio import create_task, sleep
from contextlib import suppress
from time import monotonic

from behave import then, when
from entry_harness import DEFAULT_ROUTES, make_configuration, make_route, wait_until

KIND_BY_TOPIC = {
    "configuration": "config",
    "evacuations": "evacuations",
    "servers": "servers",
}
CHURN_INTERVAL_S = 0.4
SETTLING_S = 1.0
"""Time in which the host's watches begin to wait."""


@when("one watch waits in vain for changes of the {topic:w}")
def when_one_silent(context, topic):
    """Silence the connection on which the host waits for changes now."""

    async def silence():
        await sleep(SETTLING_S)
        context.store.silence_watches(KIND_BY_TOPIC[topic])

    context.loop_thread.run(silence())


@when("each watch waits in vain for changes of the {topic:w}")
def when_all_silent(context, topic):
    """Silence the waiting watch, and all later ones that wait for the next change."""
    when_one_silent(context, topic)
    context.store.silent_kinds.add(KIND_BY_TOPIC[topic])


@when("the entries of servers stay")
def when_servers_stay(context):
    """Change nothing."""


@when("the entries of servers keep moving")
def when_servers_move(context):
    """Write the entry of another server again and again."""

    async def churn():
        number = 0
        while True:
            await sleep(CHURN_INTERVAL_S)
            number += 1
            spec = context.servers[0].registration(started=number)
            await context.store.write("servers", "moving", spec)

    async def begin():
        context.churn = create_task(churn())
        await sleep(2 * CHURN_INTERVAL_S)

    context.loop_thread.run(begin())


@when("the operator or a server changes the {topic:w}")
def when_changed(context, topic):
    """Write a new version, an evacuation, or the state of a server."""
    server = context.servers[0]
    routes = [*DEFAULT_ROUTES, make_route("new", "/new/")]
    changes = {
        "configuration": ("config", "main", make_configuration(2, routes)),
        "evacuations": ("evacuations", "dc-2", {}),
        "servers": ("servers", server.id, server.registration("draining")),
    }
    context.loop_thread.run(context.store.write(*changes[topic]))
    context.changed_at = monotonic()


@then("the host knows the change of the {topic:w} within {limit_s:g} s")
def then_known(context, topic, limit_s):
    """Wait until the change is in the host's view."""
    view = context.host._view
    server = context.servers[0].id
    checks = {
        "configuration": lambda: view.configuration.version == 2,
        "evacuations": lambda: "dc-2" in view.evacuated,
        "servers": lambda: view.servers.get(server).server.is_draining,
    }
    with suppress(AssertionError):
        context.loop_thread.run(wait_until(checks[topic], limit_s))
    took_s = monotonic() - context.changed_at
    assert checks[topic](), f"not known after {took_s:.2f} s"
