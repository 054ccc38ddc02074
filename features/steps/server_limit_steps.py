"""Steps for servers that name a rate limit for all hosts together."""

from asyncio import create_task, gather, sleep
from bisect import bisect_left

from behave import given, then, when
from entry_harness import StandInServer, make_answer, send_request, wait_until
from entry_steps import port_of

from damasktally.decisions.affinity import rank_servers
from damasktally.decisions.server_limits import ServerLimits
from damasktally.fleet.model import Server
from damasktally.fleet.server_limits import ReportScope, ServerLimitReport
from damasktally.http1.messages import Response
from damasktally.platform.headers import decode_server_report

STEP_S = 0.02
SIMULATED_S = 20.0
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


def make_server(started_ms=1):
    """Return a server that is registered as started at a time."""
    return Server("s", "svc", ("h", 1), "dc-0", 4, False, 0.0, started_ms)


def arrivals_of(names, rate, seconds):
    """Let hosts that know a limit send as often as it lets them; return the times."""
    server = make_server()
    hosts = {name: ServerLimits(name) for name in names}
    for limits in hosts.values():
        report = ServerLimitReport(server.id, server.started_ms, rate, 0.0)
        limits.record(report, ReportScope.OWN, 0.0)
    found = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for limits in hosts.values():
            if limits.is_allowed(server, names, now):
                limits.record_send(server.id, now)
                found.append(now)
    return found


@then(
    "with {counts} hosts and limits of {rates} a second, "
    "no {window:g} s exceed {factor:g} times the limit and {extra:d} requests"
)
def then_limits_hold(context, counts, rates, window, factor, extra):
    """Let hosts that all want to send share limits, and count in every window."""
    for count in map(int, counts.split(", ")):
        names = [f"h-{number}" for number in range(count)]
        for rate in map(float, rates.split(", ")):
            found = arrivals_of(names, rate, SIMULATED_S)
            most = max(
                bisect_left(found, start + window) - index
                for index, start in enumerate(found)
            )
            assert most <= factor * rate * window + extra, (count, rate, most)
            assert len(found) >= 0.8 * rate * SIMULATED_S, (count, rate, len(found))


@then("a limit that an earlier process of a server named does not hold for the next")
def then_restart_ends_limit(context):
    """Start the server again, then let an answer of the earlier process arrive."""
    limits = ServerLimits("h-1")
    limits.record(ServerLimitReport("s", 1, 0.5, 0.0), ReportScope.OWN, 0.0)
    assert limits.is_limited(make_server(1))
    assert not limits.is_limited(make_server(2))
    limits.record(ServerLimitReport("s", 2, 0.7, 0.0), ReportScope.OWN, 1.0)
    assert not limits.record(ServerLimitReport("s", 1, None, 0.0), ReportScope.OWN, 2.0)
    assert limits.is_limited(make_server(2))


@then("of two reports the newer holds, in whatever order they arrive")
def then_newer_report(context):
    """Record a limit and its end in both orders."""
    begin, end = (
        ServerLimitReport("s", 1, rate, age) for rate, age in ((2.0, 1.5), (None, 0.5))
    )
    for order in ((begin, end), (end, begin, end)):
        limits = ServerLimits("h-1")
        for report in order:
            limits.record(report, ReportScope.FLEET, 10.0)
        assert not limits.is_limited(make_server())


@then("reports are passed on outwards only, and not when they are old")
def then_reports_outwards(context):
    """Check which reports messages of each scope carry."""
    limits = ServerLimits("h-1")
    for scope in ReportScope:
        report = ServerLimitReport(f"s-{scope}", 1, 2.0, 0.0)
        limits.record(report, scope, 10.0)
    for scope in ReportScope:
        found = {report.server for report in limits.reports(scope, 11.0)}
        assert found == {f"s-{item}" for item in ReportScope if item <= scope}
    assert not list(limits.reports(ReportScope.FLEET, 16.0))


@then(
    "the end of a limit is passed on for about {seconds:g} s, "
    "however often it is reported"
)
def then_end_forgotten(context, seconds):
    """Report the end of a limit every second, as responses do."""
    limits = ServerLimits("h-1")
    limits.record(ServerLimitReport("s", 1, 0.5, 0.0), ReportScope.OWN, 0.0)
    passed_on = []
    for now in range(1, int(seconds) + 30):
        limits.record(ServerLimitReport("s", 1, None, 0.0), ReportScope.OWN, now)
        limits.keep_only({"s"}, now)
        if list(limits.reports(ReportScope.OWN, now)):
            passed_on.append(now)
    assert abs(passed_on[-1] - seconds) <= 2, passed_on
    assert not limits._limits


@then("{header} is decoded as by these cases")
def then_limit_decoded(context, header):
    """Decode each value in a response."""
    for row in context.table:
        response = Response(
            200, [(header.lower().encode(), row["value"].encode())], b""
        )
        report = decode_server_report(response)
        expected = None if row["limit"] == "none" else float(row["limit"])
        assert report.rate_limit == expected, row
        assert bool(report.unreadable) == (row["readable"] == "no"), row
