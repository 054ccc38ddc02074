"""Steps for lists of several pages."""

from behave import given, then, when
from entry_harness import wait_until
from entry_steps import make_settings, start_host


@given("a store of {count:d} servers that lists {page_size:d} at a time")
def given_large_store(context, count, page_size):
    """Add entries of servers that are sorted after the present ones."""
    entry = context.servers[0].registration()

    async def fill():
        for number in range(count - len(context.servers)):
            entry_name = f"t-{number:03d}"
            address = f"127.0.0.1:{20000 + number}"
            await context.store.write("servers", entry_name, {**entry, "Addr": address})

    context.loop_thread.run(fill())
    context.store.page_size = page_size


@when("the first server starts to drain between two pages of a host's first list")
def when_drains_between_pages(context):
    """Start a host whose list of servers meets the change."""
    server = context.servers[0]
    draining = server.registration("draining")
    context.store.writes_between_pages = [("servers", server.id, draining)]
    settings = make_settings(context.store.port, "host-2")
    context.second_host = context.loop_thread.run(start_host(context, settings))


@then("that host knows within {limit_s:g} s that the first server drains")
def then_known(context, limit_s):
    """Wait until the view has the server's state."""
    servers = context.second_host._view.servers
    name = context.servers[0].id
    knows = lambda: (record := servers.get(name)) and record.server.is_draining
    context.loop_thread.run(wait_until(knows, limit_s))
