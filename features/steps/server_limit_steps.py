"""Steps for servers that name a rate limit for all hosts together."""

from asyncio import create_task, gather, sleep

from behave import given, then, when
from entry_harness import StandInServer, make_answer, send_request, wait_until
from entry_steps import port_of

from damasktally.decisions.affinity import rank_servers

TOLD_DELAY_S = 0.5
"""A host is bound by a limit this long after it forwarded a response that names it."""


@given("{count:d} more servers beside the first")
def given_more_servers(context, count):
    """Register more servers and wait until all hosts know them and each other."""

    async def add():
        context.servers = []
        for number in range(count):
            server = StandInServer(f"s-{number + 2}", zone="dc-0", slots=40)
            await server.start()
            context.servers.append(server)
            await context.store.write("servers", server.id, server.registration())
        await context.store.write("servers", "s-1", None)
        names = {server.id for server in context.servers}
        size = len(context.hosts)
        await wait_until(
            lambda: all(
                host._view.servers.ids() == names
                and host._topology.fleet_size(host._loop.time()) == size
                for host in context.hosts
            ),
            15.0,
        )

    context.loop_thread.run(add())


def preferred_server(context):
    """Return the server that is preferred for the affinity key of the requests."""
    known = [
        record.server
        for record in (
            context.hosts[0]._view.servers.get(item.id) for item in context.servers
        )
    ]
    name = rank_servers(b"7", "north", {"north": known}, 1)[0]
    return next(server for server in context.servers if server.id == name)


@when("the preferred server names a limit of {limit:g} a second")
def when_limit(context, limit):
    """Let the preferred server name a limit, and record when each host was told."""
    context.limit = limit
    context.told_at = {}
    context.arrivals = []
    context.first_named_at = None
    context.limited = preferred_server(context)
    loop = context.loop_thread.loop

    def respond(request):
        now = loop.time()
        host = request.headers["request-id"].partition("/")[0]
        context.arrivals.append((now, host))
        if context.limit is None:
            return make_answer(request.headers["request-id"], body="x")
        context.first_named_at = context.first_named_at or now
        context.told_at.setdefault(host, now)
        return make_answer(
            request.headers["request-id"],
            body="x",
            extra=f"Server-Limit: {context.limit}\r\n",
        )

    context.limited.respond = respond


@when("it names no limit any more")
def when_no_limit(context):
    """End the limit."""
    context.limit = None
    context.ended_at = context.loop_thread.loop.time()


@when("callers send {rate:d} requests a second to all hosts for {seconds:g} s")
def when_callers_send(context, rate, seconds):
    """Send requests to the hosts in turn."""
    context.statuses = []

    async def send(number):
        host = context.hosts[number % len(context.hosts)]
        answer = await send_request(
            port_of(host._settings, "callers"),
            "/read/1",
            request_id=f"{host._own.host}/{number}",
        )
        context.statuses.append(answer.status)

    async def run():
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(create_task(send(number)))
            await sleep(1 / rate)
        await gather(*tasks)

    context.loop_thread.run(run())
    context.load_ended_at = context.loop_thread.loop.time()


@then(
    "no {window:g} s after the first {settle:g} s bring it more than "
    "{factor:g} times its limit and {extra:d} requests"
)
def then_within_limit(context, window, settle, factor, extra):
    """Count the requests of hosts that were told, in each window."""
    counted = [
        at
        for at, host in context.arrivals
        if at >= context.told_at[host] + TOLD_DELAY_S
        and at >= context.first_named_at + settle
    ]
    allowed = factor * context.limit * window + extra
    most = max(
        (sum(start <= at < start + window for at in counted) for start in counted),
        default=0,
    )
    assert most <= allowed, (most, allowed)


@then("it gets at least {count:d} request in the last {seconds:g} s")
def then_still_used(context, count, seconds):
    """Check that a limited server is used, too."""
    since = context.load_ended_at - seconds
    got = sum(at >= since for at, _ in context.arrivals)
    assert got >= count, got


@then("at least {percent:d} percent of the callers are served")
def then_served(context, percent):
    """Check the callers' answers."""
    served = context.statuses.count(200)
    assert served * 100 >= percent * len(context.statuses), served


@then("all hosts send to it again")
def then_all_send(context):
    """Check that each host sent it a request after the limit had ended."""
    hosts = {host for at, host in context.arrivals if at >= context.ended_at}
    assert len(hosts) == len(context.hosts), sorted(hosts)
