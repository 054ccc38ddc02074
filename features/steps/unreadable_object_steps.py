"""Steps for objects that other programs write into the store."""

from time import time

from behave import then, when
from entry_harness import send_request, wait_until
from entry_steps import make_settings, start_host

from damasktally.events.catalogue import OBJECT_UNREADABLE
from damasktally.platform.store import BLOCKED_REQUESTS_KIND, MEMBERS_KIND

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
    raw = context.store.raw_values
    raw |= {"<digits>": b"7" * 5000, "<400 digits>": b"7" * 400, "<1e999>": b"1e999"}
    raw |= {"<1500 arrays>": b"[" * 1500 + b"]" * 1500}
    raw |= {"<60 arrays>": b"[" * 60 + b"]" * 60}
    raw |= {"<surrogate>": b'"\\ud800"', "<byte>": b'"\xff"', "<nul>": b'"a\x00b"'}
    info = good["Info"]
    specs = {
        "has a number of 5,000 digits": {**good, "Weight": "<digits>"},
        "has 400 digits as its slots": {
            **good,
            "Info": {**info, "Slots": "<400 digits>"},
        },
        "has 400 digits as its start": {**good, "born": "<400 digits>"},
        "has 1e999 as its start": {**good, "born": "<1e999>"},
        "has 1,500 nested arrays": {**good, "Notes": "<1500 arrays>"},
        "has 60 nested arrays": {**good, "Notes": "<60 arrays>"},
        "has a lone surrogate": {**good, "Notes": "<surrogate>"},
        "has a byte that is no text": {**good, "Notes": "<byte>"},
        "has a NUL in its text": {**good, "Notes": "<nul>"},
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


@then(
    "a host that starts then is ready within {limit_s:g} s, with {count:w} servers "
    "to use"
)
def then_next_ready(context, limit_s, count):
    """Start another host on the same store, with the first one as its seed."""
    seed = context.settings.listen.peers

    async def begin():
        settings = make_settings(context.store.port, "host-2", seeds=seed)
        host = await start_host(context, settings)
        await wait_until(lambda: host.is_ready, limit_s)
        return host

    host = context.loop_thread.run(begin())
    usable = {server.id for server in host._view.servers.usable()}
    expected = {server.id for server in context.servers}
    if count == "two":
        expected.remove(context.servers[1].id)
    assert usable == expected, usable


@when("another program writes an object of host {name} that {fault}")
def when_bad_host(context, name, fault):
    """Write an object under the name of a host."""
    context.store.raw_values["<digits>"] = b"7" * 5000
    write(context, MEMBERS_KIND, name, {"host": name, "started_ms": "<digits>"})


@then("within {limit_s:g} s the object of host {name} names its region")
def then_host_registered(context, limit_s, name):
    """Wait until the host has replaced the object."""
    region = lambda: context.store.objects[MEMBERS_KIND][name]["Spec"].get("region")
    context.loop_thread.run(wait_until(lambda: region() == "north", limit_s))


@when("another program writes a blocked request with 400 digits as the time of a loss")
def when_bad_block(context):
    """Write a blocked request whose time is out of range."""
    context.store.raw_values["<400 digits>"] = b"7" * 400
    spec = {"lost_ms": {"s-1@1/1": "<400 digits>"}}
    write(context, BLOCKED_REQUESTS_KIND, "a-bad", spec)


@when("a blocked request is stored")
def when_block(context):
    """Write a blocked request."""
    now_ms = int(time() * 1000)
    spec = {"lost_ms": {f"s-{number}@1/1": now_ms - 5000 for number in range(3)}}
    write(context, BLOCKED_REQUESTS_KIND, "b-good", spec)


@then("a host that starts then knows {count:d} blocked request within {limit_s:g} s")
def then_blocks_known(context, count, limit_s):
    """Start another host, and wait until it knows the blocked requests."""

    async def begin():
        host = await start_host(context, make_settings(context.store.port, "host-2"))
        blocked = lambda: host._crash_suspects.blocked_count(host._loop.time())
        await wait_until(lambda: blocked() == count, limit_s)

    context.loop_thread.run(begin())


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
