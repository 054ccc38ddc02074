"""Steps for fleets whose hosts pass on the loads of servers."""

from asyncio import get_running_loop, run, sleep
from statistics import mean

import msgspec
from behave import given, then, when
from bootstrap_steps import (
    SimulatedHost,
    listed_hosts,
    member,
    whole_fleet_summary,
)
from entry_harness import make_answer, send_request, wait_until
from entry_steps import port_of

from benchmarks.server_loads import STEP_S, LoadFleet, ModelServer, make_server
from damasktally.decisions.load_reports import LoadOutbox
from damasktally.fleet.members import Heartbeat
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.server_loads import ServerLoadReport
from damasktally.fleet.summaries import RelaySummary

FILLING_RATE = 80
"""Requests a second to a server that can serve 60."""
FILLED_LOAD = 30
FILLED_REPORT = f"Server-Load: {FILLED_LOAD},0,40,250"
SENDING_RATE = 25


@given("{hosts:d} hosts in {data_centres:d} data centres that pass on loads")
def given_load_fleet(context, hosts, data_centres):
    """Create the model of a fleet, and of one whose hosts pass on nothing."""
    context.fleet_sizes = hosts, data_centres
    context.fleet = LoadFleet(hosts, data_centres)


def fill_server(fleet, seconds):
    """Fill a server by one data centre's hosts; return the others' errors and shares.

    :returns: differences between estimates and load, and by step and host, estimates
        divided by the load; both from 1 s after the begin.
    """
    server = ModelServer(make_server())
    fleet.servers = [server]
    fillers = [host for host in fleet.hosts if host.data_centre == 0]
    others = [host for host in fleet.hosts if host.data_centre]
    errors, shares = [], []
    for step in range(round(seconds / STEP_S)):
        fleet.advance()
        if fleet.rng.random() < FILLING_RATE * STEP_S:
            fleet.request(fleet.rng.choice(fillers), server)
        if step * STEP_S < 1.0:
            continue
        estimates = [host.loads.estimate("s", fleet.now) for host in others]
        errors += [abs(estimate - server.total) for estimate in estimates]
        shares.append([estimate / server.total for estimate in estimates])
    return errors, shares


@when("the hosts of one data centre fill a server for {seconds:g} s")
def when_filled(context, seconds):
    """Fill a server in both fleets."""
    context.errors, context.shares = fill_server(context.fleet, seconds)
    alone = LoadFleet(*context.fleet_sizes, is_sharing=False)
    context.errors_alone, _ = fill_server(alone, seconds)


@then(
    "every other host sees on average at least {share:g} of its load "
    "from 1 s after the begin"
)
def then_load_seen(context, share):
    """Check the mean of each host's estimates, in relation to the load."""
    lowest = min(map(mean, zip(*context.shares, strict=True)))
    assert lowest >= share, lowest


@then(
    "the others' mean error is at most {ratio:g} of that of hosts that pass on nothing"
)
def then_error_smaller(context, ratio):
    """Compare the errors of both fleets."""
    errors = mean(context.errors), mean(context.errors_alone)
    assert errors[0] <= ratio * errors[1], errors


@when("no host sends to it for {seconds:g} s")
def when_no_requests(context, seconds):
    """Let time pass after the last request has ended."""
    server = context.fleet.servers[0]
    while server.total:
        context.fleet.advance()
    for _ in range(round(seconds / STEP_S) + 1):
        context.fleet.advance()


@then("every host sees none of its load")
def then_no_load(context):
    """Check all hosts."""
    fleet = context.fleet
    estimates = {host.loads.estimate("s", fleet.now) for host in fleet.hosts}
    assert estimates == {0.0}, estimates


@when(
    "a server that gets {rate:d} requests a second is {factor:g} times as slow "
    "as usual for {slow_ms:d} ms"
)
def when_slow(context, rate, factor, slow_ms):
    """Let hosts send at random for 4 s, and record the slowdowns that they know."""
    fleet = context.fleet
    begin, end = 2.0, 2.0 + slow_ms / 1000
    server = ModelServer(make_server(), slow=(begin, end, factor))
    fleet.servers = [server]
    context.known = []
    while fleet.now < 4.0:
        fleet.advance()
        if fleet.rng.random() < rate * STEP_S:
            fleet.request(fleet.rng.choice(fleet.hosts), server)
        known = [host.loads.slowdown("s", fleet.now) for host in fleet.hosts]
        context.known.append((fleet.now - begin, fleet.now - end, known))


@then("every host knows a slowdown of at least {least:g} within {seconds:g} s")
def then_slowdown_known(context, least, seconds):
    """Check the largest slowdown that each host knew in that time."""
    rows = [known for since, _, known in context.known if 0 <= since <= seconds]
    assert min(map(max, zip(*rows, strict=True))) >= least


@then("every host knows none {seconds:g} s after the end")
def then_slowdown_over(context, seconds):
    """Check the slowdowns that hosts knew from then on."""
    rows = [known for _, since, known in context.known if since >= seconds]
    assert rows and {value for known in rows for value in known} == {1.0}


@when("a server with {slots:d} slots gets {rate:d} requests a second for {seconds:g} s")
def when_quiet(context, slots, rate, seconds):
    """Send requests evenly, by random hosts."""
    fleet = context.fleet
    server = ModelServer(make_server(slots=slots))
    fleet.servers = [server]
    interval = round(1 / rate / STEP_S)
    for step in range(round(seconds / STEP_S)):
        fleet.advance()
        if step % interval == 0:
            fleet.request(fleet.rng.choice(fleet.hosts), server)


@then("no message carried a load")
def then_nothing_passed_on(context):
    """Check all hosts."""
    assert not any(host.received_reports for host in context.fleet.hosts)


def answer_with_load(context, load_line):
    """Let all servers report a load."""
    for server in context.servers:
        server.respond = lambda request: make_answer(
            request.headers["request-id"], body="x", extra=f"{load_line}\r\n"
        )


async def send_for(host, seconds, observe=lambda: None):
    """Send requests for different objects to a host one by one."""
    port = port_of(host._settings, "callers")
    for number in range(round(seconds * SENDING_RATE)):
        answer = await send_request(port, "/read/1", object_key=f"{number * 7}")
        assert answer.status == 200, answer
        observe()
        await sleep(1 / SENDING_RATE)


def known_loads(context):
    """Return the estimate and slowdown of each server at each host."""
    now = context.loop_thread.loop.time()
    return {
        (host._own.host, server.id): (
            host._candidates.loads.estimate(server.id, now),
            host._candidates.loads.slowdown(server.id, now),
        )
        for host in context.hosts
        for server in context.servers
    }


def report_count(host):
    """Return how many load reports the metric of their age counts."""
    samples = next(iter(host._metrics.load_report_age.collect())).samples
    return next(item.value for item in samples if item.name.endswith("_count"))


@when(
    "one host fills the servers, which are 2.5 times as slow as usual, "
    "for {seconds:g} s"
)
def when_one_host_fills(context, seconds):
    """Send to one host, then once to another; record what all hosts know meanwhile."""
    answer_with_load(context, FILLED_REPORT)
    context.seen = dict.fromkeys(known_loads(context), (0.0, 1.0))

    def observe():
        for key, values in known_loads(context).items():
            highest = zip(context.seen[key], values, strict=True)
            context.seen[key] = tuple(map(max, highest))

    async def fill():
        await send_for(context.hosts[1], seconds, observe)
        context.count_before = report_count(context.hosts[-2])
        await send_for(context.hosts[-2], 1 / SENDING_RATE)

    context.loop_thread.run(fill())


@then("every host has seen at least half of their load, and a slowdown of {least:g}")
def then_all_saw(context, least):
    """Check each host and server."""
    missed = {
        key: (load, slowdown)
        for key, (load, slowdown) in context.seen.items()
        if load < FILLED_LOAD / 2 or slowdown < least
    }
    assert not missed, missed


@then("the metric of the age of load reports shows the request of another host")
def then_metric(context):
    """Check the host that got one request, without a report of its own before."""
    assert context.count_before == 0
    assert report_count(context.hosts[-2]) == 1


@when("the servers are not busy any more, and one host hears it")
def when_not_busy(context):
    """Let each server respond to the host again."""
    answer_with_load(context, "Server-Load: 0,0,40,100")
    context.loop_thread.run(send_for(context.hosts[1], 0.4))


@then("within {seconds:g} s no host sees load or a slowdown there")
def then_none_seen(context, seconds):
    """Wait until all hosts see servers without load."""
    context.loop_thread.run(
        wait_until(lambda: set(known_loads(context).values()) == {(0.0, 1.0)}, seconds)
    )


@when(
    "all servers report a load below half of their slots, "
    "and callers send for {seconds:g} s"
)
def when_servers_quiet(context, seconds):
    """Record the messages between hosts while callers send."""
    answer_with_load(context, "Server-Load: 19,0,40,140")
    context.datagrams = []
    for host in context.hosts:
        host._peer_protocol._send_datagram = recording(context, host)

    async def send():
        await send_for(context.hosts[0], seconds / 2)
        await send_for(context.hosts[1], seconds / 2)

    context.loop_thread.run(send())


def recording(context, host):
    """Return a function that records and sends a datagram of a host."""
    send = host._peer_protocol._send_datagram

    def record(address, data):
        context.datagrams.append(data)
        send(address, data)

    return record


@then("no message between hosts carried a load")
def then_no_loads_sent(context):
    """Decode the recorded messages."""
    decoder = msgspec.msgpack.Decoder(Heartbeat | RelaySummary)
    messages = [decoder.decode(data) for data in context.datagrams]
    assert len(messages) > len(context.hosts), len(messages)
    assert not any(message.server_loads for message in messages)


@then("a heartbeat for one host alone does not count as one of those for all")
def then_single_not_counted(context):
    """Build a heartbeat with all entries, as for a new host, then one for all."""

    async def build():
        host, now = (
            SimulatedHost(member("near-9", "near", 9)),
            get_running_loop().time(),
        )
        builder, report = host.message_builder, ServerLoadReport("s", 1, 6, 0, 100, 0)
        builder._load_reports.record(report, 6, ReportScope.OWN, now)
        counts = [
            len(builder.build_heartbeat(now, is_complete).server_loads)
            for is_complete in (True, False, False)
        ]
        assert counts == [1, 1, 0], counts

    run(build())


@then("a summary that a host forwards later carries no loads")
def then_forwarded_without_loads(context):
    """Let a host that is no relay forward a summary with ages as they were."""
    loads = (ServerLoadReport("s", 1, 6, 0, 100, 10),)
    summary = whole_fleet_summary([listed_hosts("near"), listed_hosts("far")])

    async def forward():
        host = SimulatedHost(member("near-9", "near", 9))
        host.receive(msgspec.structs.replace(summary, server_loads=loads))
        now = get_running_loop().time()
        forwarded = host.message_builder.build_bootstrap_summary(now)
        assert forwarded.relay == summary.relay
        assert forwarded.server_loads == ()

    run(forward())


@when("another host passes on a load of {subject}")
def when_passed_on(context, subject):
    """Hand a report to the host as a relay's summary does."""
    server, started = context.first.id, context.first.registration()["born"]
    if subject == "another process of the preferred server":
        started += 1
    elif subject == "an unknown server":
        server = "s-unknown"
    report = ServerLoadReport(server, started, FILLED_LOAD, 0, 100, 0)

    async def receive():
        context.host._server_reports.record_loads([report], ReportScope.FLEET)

    context.loop_thread.run(receive())


def load_and_messages(context):
    """Return the load of all servers as the host sees it, and what it would send."""
    now, candidates = context.loop_thread.loop.time(), context.host._candidates
    names = [server.id for server in context.servers] + ["s-unknown"]
    loads = [candidates.loads.estimate(name, now) for name in names]
    return sum(loads), candidates.load_reports.take(
        LoadOutbox(), ReportScope.FLEET, now
    )


@then("the host sees no load and passes on none")
def then_load_ignored(context):
    """Check all servers."""
    assert load_and_messages(context) == (0, ())


@then("the host sees that load and passes it on")
def then_load_taken(context):
    """Check the preferred server."""
    load, sent = load_and_messages(context)
    assert load > 0.5 * FILLED_LOAD and len(sent) == 1, (load, sent)
