"""Steps for objects that other programs write into the store."""

from behave import then, when
from entry_harness import send_request, wait_until
from entry_steps import make_settings, start_host

from damasktally.events.catalogue import OBJECT_UNREADABLE

TEXT_OF_BYTES = b"\xff\xfe\x80 not an entry".decode("utf-8", "surrogateescape")
"""Valid JSON by its grammar, which no decoder of UTF-8 text accepts."""


def write(context, kind, name, spec):
    """Write an object into the stand-in store."""
    context.loop_thread.run(context.store.write(kind, name, spec))


@when("another program writes an entry of a server that {fault}")
def when_bad_entry(context, fault):
    """Write an entry that names no server to use."""
    good = context.servers[0].registration()
    status = {**good["Status"], "ColdLeft": "infs"}
    specs = {
        "is text of bytes": TEXT_OF_BYTES,
        "has a port that is too large": {**good, "Addr": "127.0.0.1:70000"},
        "has no content": {},
        "lasts for infinite seconds": {**good, "Status": status},
    }
    write(context, "servers", "i-other", specs[fault])


@when("the second server reports that it drains")
def when_second_drains(context):
    """Write the entry of a server that leaves."""
    server = context.servers[1]
    write(context, "servers", server.id, server.registration("draining"))


@then("the host knows within {limit_s:g} s that the second server drains")
def then_drain_known(context, limit_s):
    """Wait until the view has the server's state."""
    name = context.servers[1].id
    knows = lambda: context.host._view.servers.get(name).server.is_draining
    context.loop_thread.run(wait_until(knows, limit_s))


@then("a host that starts then is ready within {limit_s:g} s, with two servers to use")
def then_next_ready(context, limit_s):
    """Start another host on the same store."""

    async def begin():
        settings = make_settings(context.store.port, "host-2")
        host = await start_host(context, settings)
        await wait_until(lambda: host.is_ready, limit_s)
        return host

    host = context.loop_thread.run(begin())
    usable = {server.id for server in host._view.servers.usable()}
    assert usable == {context.servers[0].id, context.servers[2].id}, usable


@then("the host answers requests")
def then_answers(context):
    """Send requests that any of the servers may get."""
    for number in range(6):
        request = send_request(context.port, f"/read/{number}", object_key=str(number))
        assert context.loop_thread.run(request).status == 200


@then("the event object-unreadable was logged once for {kind:w} and {name}")
def then_logged_once(context, kind, name):
    """Wait for the event, and look for others."""
    number = OBJECT_UNREADABLE.number
    find = lambda: [item for item in context.logged if item.get("event") == number]
    context.loop_thread.run(wait_until(lambda: bool(find()), 2.0))
    assert [(item["kind"], item["object"]) for item in find()] == [(kind, name)]


@when("another program replaces the second server's entry by text of bytes")
def when_entry_replaced(context):
    """Replace the entry of a server that the host knows."""
    write(context, "servers", context.servers[1].id, TEXT_OF_BYTES)


@then("within {limit_s:g} s the second server is not used any more")
def then_not_used(context, limit_s):
    """Wait until the server is not usable."""
    name = context.servers[1].id
    usable = lambda: {item.id for item in context.host._view.servers.usable()}
    context.loop_thread.run(wait_until(lambda: name not in usable(), limit_s))


@when("another program replaces the configuration by text of bytes")
def when_configuration_replaced(context):
    """Replace the configuration by what cannot be decoded."""
    write(context, "config", "main", TEXT_OF_BYTES)
