"""Steps for servers that say in their answers that they leave."""

from behave import then, when
from entry_harness import make_answer, send_request, wait_until
from entry_steps import port_of
from server_limit_steps import preferred_server

LEAVING = "Server-Leaving: 1"


def answer_with(server, status=200, headers=LEAVING):
    """Let a server add headers to its answers.

    :param headers: header lines, separated by ``and``.
    """
    extra = "".join(f"{line}\r\n" for line in headers.split(" and "))
    server.respond = lambda request: make_answer(
        request.headers["request-id"], status, body=server.id, extra=extra
    )


@when("the preferred server answers {status:d} and says that it leaves")
def when_leaves(context, status):
    """Let the preferred server add the header to its answers."""
    answer_with(context.first, status)


@when("the preferred server answers 503 without running it and says that it leaves")
def when_refuses_and_leaves(context):
    """Let the preferred server refuse its requests and add the header."""
    answer_with(context.first, 503, f"{LEAVING} and Not-Run: 1")


@when("every server answers 200 and says that it leaves")
def when_all_leave(context):
    """Let all servers add the header to their answers."""
    for server in context.servers:
        answer_with(server)


@when("the preferred server answers 200 with headers {headers}")
def when_headers(context, headers):
    """Let the preferred server add some headers to its answers."""
    answer_with(context.first, 200, headers)


@when("the preferred server registers as ready again")
def when_ready_again(context):
    """Write the server's entry again, with a change."""
    server = context.first
    context.loop_thread.run(register(context, server, cold_left="1ms"))


@when("the preferred server starts again under its id")
def when_restarted(context):
    """Write the entry of the server's next process."""
    server = context.first
    server.respond = None
    context.loop_thread.run(register(context, server, started=2))


@when("another server takes over the address of the preferred server")
def when_address_taken_over(context):
    """Remove the server's entry, and write one of another id with its address."""

    async def take_over():
        server = context.first
        await context.store.write("servers", server.id, None)
        server.id = "s-next"
        server.respond = None
        server.received.clear()
        await register(context, server, started=5)

    context.loop_thread.run(take_over())


@when("{count:d} callers ask for different objects")
def when_objects_asked(context, count):
    """Send the requests one after the other."""

    async def ask():
        for number in range(count):
            answer = await send_request(
                context.port, "/read/1", object_key=f"{number * 7}"
            )
            assert answer.status == 200, answer

    context.loop_thread.run(ask())


@then("requests reached that address again")
def then_address_used(context):
    """Check that the other server got some."""
    assert context.first.received


async def register(context, server, **fields):
    """Write a server's entry and wait until the host has it."""
    entry = server.registration(**fields)
    await context.store.write("servers", server.id, entry)
    revision = context.store.revision
    await wait_until(lambda: max(context.host._view.revisions.values()) >= revision)


@then("the caller gets none of the headers {names}")
def then_without_headers(context, names):
    """Check the headers of the last answer."""
    assert context.answer.status == 200, context.answer
    found = set(names.split(", ")) & set(context.answer.headers)
    assert not found, found


@when("the preferred server tells one host that it leaves")
def when_tells_one(context):
    """Send a request to one host, of the data centre without servers."""
    context.leaving = preferred_server(context)
    answer_with(context.leaving)
    port = port_of(context.hosts[1]._settings, "callers")
    context.answer = context.loop_thread.run(send_request(port, "/read/1"))
    assert context.answer.status == 200, context.answer


@then("within {seconds:g} s no host considers it usable")
def then_none_usable(context, seconds):
    """Wait until no host may send to the server."""

    def is_usable(host):
        return any(
            server.id == context.leaving.id for server in host._view.servers.usable()
        )

    context.loop_thread.run(
        wait_until(lambda: not any(map(is_usable, context.hosts)), seconds)
    )
