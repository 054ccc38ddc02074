"""Steps for servers that ask hosts for a pause."""

from asyncio import create_task, gather, sleep
from collections import Counter
from functools import partial
from random import Random

from behave import given, then, when
from entry_harness import make_answer, send_request
from entry_steps import port_of
from leaving_server_steps import answer_with

from damasktally.decisions.affinity import (
    MAX_EXTENDED_SERVERS_PER_REGION,
    rank_servers,
)
from damasktally.decisions.server_limits import ServerLimits
from damasktally.decisions.server_pauses import ServerPauses
from damasktally.fleet.model import Server
from damasktally.fleet.server_limits import ReportScope, ServerLimitReport
from damasktally.http1.messages import Response
from damasktally.platform.headers import decode_server_report


@when("the {which} server answers 503 without running it and asks for {seconds:g} s")
def when_asks_for_pause(context, which, seconds):
    """Let a server refuse its requests with a time."""
    server = context.first if which == "preferred" else context.second
    answer_with(server, 503, f"Not-Run: 1 and Retry-After: {seconds}")


@when("the preferred server answers as usual")
def when_as_usual(context):
    """End the refusals."""
    context.first.respond = None


@then("the caller is asked to return after {least:g} to {most:g} s")
def then_retry_after(context, least, most):
    """Check the time in a refusal."""
    assert least <= float(context.answer.headers["retry-after"]) <= most, context.answer


@then("these answers ask for a pause or do not")
def then_pause_decoded(context):
    """Decode each row."""
    for row in context.table:
        headers = [
            (b"retry-after", value.encode()) for value in row["values"].split(", ")
        ]
        report = decode_server_report(Response(int(row["status"]), headers, b""))
        pauses = ServerPauses()
        pauses.record("s", 1, report.pause_s or 0.0, 0.0)
        expected = 0.0 if row["pause"] == "none" else float(row["pause"])
        assert pauses.remaining_s(make_server("s"), 0.0) == expected, row
        assert bool(report.unreadable) == (row["readable"] == "no"), row


def make_server(name):
    """Return a server."""
    return Server(name, "svc", ("h", 1), "dc-0", 4, False, 0.0, 1)


@then(
    "a pause of {first:g} s and one of {second:g} s that is asked for later "
    "end after {end}"
)
def then_longest(context, first, second, end):
    """Record two pauses, half a second apart."""
    pauses = ServerPauses()
    pauses.record("s", 1, first, 0.0)
    pauses.record("s", 1, second, 0.5)
    expected = max(first, 0.5 + second)
    assert pauses.remaining_s(make_server("s"), 0.5) == expected - 0.5


@given(
    "{count:d} servers of which {share:d} percent pause for {seconds:g} s, "
    "one after the other"
)
def given_pausing_servers(context, count, share, seconds):
    """Choose when each server begins to refuse requests."""
    context.servers = [make_server(f"s-{number}") for number in range(count)]
    context.pause_s = seconds
    context.refuses_from = {
        f"s-{number}": 1.0 + 0.2 * number for number in range(count * share // 100)
    }


@when("a host gets {rate:d} requests a second for {seconds:g} s")
def when_host_gets_requests(context, rate, seconds):
    """Send each request to the first of the usable servers in its own order."""
    rng = Random(3)
    pauses = ServerPauses()
    context.sent = {server.id: [] for server in context.servers}
    context.pauses = {}
    context.refusals = []
    context.request_count = int(rate * seconds)
    for number in range(context.request_count):
        now = number / rate
        order = rng.sample(context.servers, len(context.servers))
        usable = [item for item in order if not pauses.is_paused(item, now)]
        for server in usable:
            context.sent[server.id].append(now)
            begins = context.refuses_from.get(server.id)
            if begins is None or now < begins or server.id in context.pauses:
                break
            context.pauses[server.id] = now
            pauses.record(server.id, 1, context.pause_s, now)
        else:
            context.refusals.append((now, pauses.earliest_end_s(order, now)))


@given("each of {count:d} objects was asked for once")
@when("each of {count:d} objects is asked for again")
def when_objects_asked(context, count):
    """Ask for one object after the other; keep the answers of each round."""
    context.rounds = getattr(context, "rounds", [])

    async def ask():
        return [
            await send_request(context.port, "/read/1", object_key=f"object-{number}")
            for number in range(count)
        ]

    context.rounds.append(context.loop_thread.run(ask()))


@given("{count:d} of the servers ask for {seconds:g} s")
def given_pausing(context, count, seconds):
    """Let some servers refuse all requests with a time."""
    context.pausing = {server.id for server in context.servers[:count]}
    for server in context.servers[:count]:
        answer_with(server, 503, f"Not-Run: 1 and Retry-After: {seconds}")


@then("all are served, none by a server that pauses")
def then_all_served(context):
    """Check the answers of the last round."""
    statuses = Counter(answer.status for answer in context.rounds[-1])
    assert set(statuses) == {200}, statuses
    found = {answer.body.decode() for answer in context.rounds[-1]}
    assert not found & context.pausing, found


@then("those of other servers are served by the same one as at first")
def then_same_servers(context):
    """Compare the servers of the first and the last round."""
    for first, last in zip(context.rounds[0], context.rounds[-1], strict=True):
        if first.body.decode() not in context.pausing:
            assert first.body == last.body, (first, last)


@given("{count:d} servers in 2 regions, and {objects:d} objects")
def given_ranked_objects(context, count, objects):
    """Divide the servers among the regions."""
    names = [f"s-{number}" for number in range(count)]
    context.names = names
    context.by_region = {
        "north": [make_server(name) for name in names[::2]],
        "south": [make_server(name) for name in names[1::2]],
    }
    context.keys = [f"object-{number}".encode() for number in range(objects)]


@when("the first {count:d} of them pause")
def when_first_pause(context, count):
    """Leave out the servers that pause from each object's extended ranking."""
    pausing = set(context.names[:count])
    context.preferred, context.usable = [], []
    for key in context.keys:
        short = rank_servers(key, "north", context.by_region, 2)
        extended = rank_servers(
            key, "north", context.by_region, 2, MAX_EXTENDED_SERVERS_PER_REGION
        )
        context.preferred.append([name for name in short if name not in pausing])
        context.usable.append([name for name in extended if name not in pausing])


@then(
    "each object has {count:d} servers that do not, "
    "the first of its preferred ones before others"
)
def then_enough(context, count):
    """Compare the extended rankings with the short ones."""
    for preferred, usable in zip(context.preferred, context.usable, strict=True):
        assert len(usable) >= count, usable
        assert usable[: len(preferred)] == preferred, (preferred, usable)


@then(
    "no server that does not pause is the first choice "
    "of more than {factor:d} times the mean"
)
def then_spread(context, factor):
    """Count the objects by their first server."""
    counts = Counter(usable[0] for usable in context.usable)
    mean = len(context.usable) / 10
    assert len(counts) == 10 and max(counts.values()) <= factor * mean, counts


@then("no server gets more than {count:d} requests within a pause")
def then_few_in_pause(context, count):
    """Count the requests from half a second after the refusal to the pause's end."""
    for server, began in context.pauses.items():
        inside = [
            at
            for at in context.sent[server]
            if began + 0.5 <= at < began + context.pause_s
        ]
        assert len(inside) <= count, (server, len(inside))
    assert len(context.pauses) == len(context.refuses_from)


@then("at least {percent:d} percent of the requests find a server")
def then_found(context, percent):
    """Check how many requests were refused."""
    found = context.request_count - len(context.refusals)
    assert found * 100 >= percent * context.request_count, found


@then("refused requests are told of a time at which a server wants work")
def then_told(context):
    """Check the time against the ends of the pauses."""
    for now, wait_s in context.refusals:
        ends = [began + context.pause_s for began in context.pauses.values()]
        assert any(abs(now + wait_s - end) < 0.001 for end in ends), (now, wait_s)


@then(
    "a pause of {seconds:g} s holds when the server's entry is missing "
    "after {missing:g} s and back after {back:g} s"
)
def then_pause_outlasts(context, seconds, missing, back):
    """Forget what is not registered, then look again."""
    pauses = ServerPauses()
    pauses.record("s", 1, seconds, 0.0)
    pauses.keep_only(set(), missing)
    assert pauses.is_paused(make_server("s"), back)
    pauses.keep_only(set(), seconds + 1)
    assert not pauses._pauses


@then(
    "a limit holds when the server's entry is missing "
    "after {missing:g} s and back after {back:g} s"
)
def then_limit_outlasts(context, missing, back):
    """Forget what is not registered, then look again."""
    limits = ServerLimits("h-1")
    limits.record(ServerLimitReport("s", 1, 0.5, 0.0), ReportScope.OWN, 0.0)
    limits.keep_only(set(), missing)
    assert limits.is_limited(make_server("s")), back
    limits.keep_only(set(), 100.0)
    assert limits.limited_count() == 0


@given("new connections to servers take {seconds:g} s")
def given_slow_connections(context, seconds):
    """Delay the connections of the first host."""
    pool = context.hosts[0]._connection_pool
    connect = pool._connector

    async def connect_slowly(address, timeout_s, memory):
        await sleep(seconds)
        return await connect(address, timeout_s, memory)

    pool._connector = connect_slowly


@when(
    "{count:d} callers ask for one object at once, "
    "and its server asks for {seconds:g} s at the first request"
)
def when_ask_at_once(context, count, seconds):
    """Send the requests so that one of them has its connection first."""
    port = port_of(context.hosts[0]._settings, "callers")
    context.pausing_server = None

    def respond(server, request):
        if context.pausing_server is None:
            context.pausing_server = server
            server.received.clear()
            server.received.append(request)
        if server is not context.pausing_server:
            return server.default_answer(request)
        extra = f"Not-Run: 1\r\nRetry-After: {seconds}\r\n"
        return make_answer(request.headers["request-id"], 503, extra=extra)

    async def call():
        await send_request(port, "/read/1")
        for server in context.servers:
            server.respond = partial(respond, server)
        calls = [
            send_request(port, "/read/1", request_id=f"r-{number}")
            for number in range(count)
        ]
        context.answers = await gather(*calls)

    context.loop_thread.run(call())


@then("that server received 1 request, and all callers were served")
def then_one_received(context):
    """Check the server's requests and the answers."""
    assert len(context.pausing_server.received) == 1, context.pausing_server.received
    statuses = Counter(answer.status for answer in context.answers)
    assert set(statuses) == {200}, statuses


@given(
    "the servers ask for pauses of {least:g} to {most:g} s at one in {share:d} requests"
)
def given_random_pauses(context, least, most, share):
    """Let servers refuse requests at random; keep arrivals and pauses by host."""
    rng = Random(11)
    context.arrivals_by_link, context.asked = {}, []
    loop = context.loop_thread.loop

    def respond(server, request):
        request_id = request.headers["request-id"]
        link = (request_id.partition("/")[0], server.id)
        context.arrivals_by_link.setdefault(link, []).append(loop.time())
        if rng.randrange(share):
            return server.default_answer(request)
        pause_s = round(rng.uniform(least, most), 2)
        context.asked.append((link, loop.time(), pause_s))
        extra = f"Not-Run: 1\r\nRetry-After: {pause_s}\r\n"
        return make_answer(request_id, 503, extra=extra)

    for server in context.servers:
        server.respond = partial(respond, server)


@given("the servers' entries are rewritten every {seconds:g} s")
def given_rewritten(context, seconds):
    """Write each entry again, with a change, until the scenario ends."""

    async def rewrite():
        for number in range(1000):
            await sleep(seconds)
            for server in context.servers:
                entry = server.registration()
                entry["Status"]["Seq"] = number + 2
                await context.store.write("servers", server.id, entry)

    context.loop_thread.loop.call_soon_threadsafe(
        lambda: setattr(context, "rewriting", create_task(rewrite()))
    )


@then("the servers asked at least {count:d} times")
def then_asked(context, count):
    """Check that the load brought the case about."""
    assert len(context.asked) >= count, len(context.asked)


@then(
    "no host sent a server more than {most:d} requests "
    "from {settle:g} s after it was asked to the end"
)
def then_pauses_kept(context, most, settle):
    """Count the arrivals within each pause."""
    for link, asked_at, pause_s in context.asked:
        inside = [
            at - asked_at
            for at in context.arrivals_by_link[link]
            if asked_at + settle <= at < asked_at + pause_s
        ]
        assert len(inside) <= most, (link, pause_s, inside)


@then("at least {percent:d} percent of the tries were served")
def then_tries_served(context, percent):
    """Check the callers' answers."""
    statuses = Counter(status for _, _, status, _ in context.tries)
    assert statuses[200] * 100 >= percent * sum(statuses.values()), statuses
