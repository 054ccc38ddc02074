"""Steps for hosts that lose their links to backend servers."""

from asyncio import create_task, gather, sleep
from collections import Counter
from dataclasses import replace
from random import Random

from behave import given, then, when
from entry_harness import (
    DEFAULT_ROUTES,
    LoopThread,
    StandInServer,
    StandInStore,
    make_configuration,
    send_request,
    wait_until,
)
from entry_steps import port_of, start_host
from relay_steps import gather_all, numbered_settings

from damasktally.decisions.directory import DirectoryEntry, select_addresses
from damasktally.decisions.host_selection import choose_host
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.decisions.service_reachability import ServiceReachability
from damasktally.fleet.model import Member, ReadyHost
from damasktally.http1.connecting import ConnectFailed, connect

SERVICE = "svc"


@given("a service of {count:d} servers that answered lately")
def given_service(context, count):
    """Record an answer."""
    context.count = count
    context.reachability = ServiceReachability()
    context.reachability.record_answered(SERVICE, 0.0)


def fail(context, count, begin, end):
    """Let servers fail one after the other; the last one fails at the end."""
    for number in range(count):
        at = begin + (end - begin) * (number + 1) / count
        context.reachability.record_failure(SERVICE, f"s-{number}", context.count, at)


@when("{failed:d} of them fail within {seconds:g} s, {between}")
def when_fail(context, failed, seconds, between):
    """Record the failures, with an answer after half of them if there is one."""
    if between == "and none answers":
        fail(context, failed, 0.0, seconds)
        return
    fail(context, failed // 2, 0.0, seconds / 2)
    context.reachability.record_answered(SERVICE, seconds / 2)
    fail(context, failed - failed // 2, seconds / 2, seconds)


@then("the service counts as {state}")
def then_state(context, state):
    """Compare the conclusion."""
    assert context.reachability.is_reachable(SERVICE) == (state == "reachable")


@then(
    "it counts as reachable again {first:g}, {second:g}, {third:g}, {fourth:g} "
    "and {fifth:g} s after returns that follow each other"
)
def then_holds(context, first, second, third, fourth, fifth):
    """Lose the service again soon after each return."""
    reachability = context.reachability
    now = 1.0
    for hold_s in (first, second, third, fourth, fifth):
        fail(context, 8, now, now + 1.0)
        now += 1.5
        assert not reachability.record_connected(SERVICE, now)
        assert not reachability.record_connected(SERVICE, now + hold_s - 0.01)
        assert not reachability.is_reachable(SERVICE)
        assert reachability.record_connected(SERVICE, now + hold_s)
        now += hold_s + 0.1


@when("{count:d} requests wait for {seconds:g} s")
def when_wait(context, count, seconds):
    """Send requests that get no response."""
    for _ in range(count):
        context.reachability.record_sent(SERVICE, 0.0)
    context.now = seconds


@then("a connection attempt is due, and the next one {seconds:g} s after it succeeded")
def then_due(context, seconds):
    """Check when the next attempt is due."""
    reachability, now = context.reachability, context.now
    assert reachability.is_probe_due(SERVICE, now)
    reachability.record_connected(SERVICE, now)
    assert not reachability.is_probe_due(SERVICE, now + seconds - 0.01)
    assert reachability.is_probe_due(SERVICE, now + seconds)


@then("none is due while no request waits")
def then_none_due(context):
    """End the requests."""
    for _ in range(3):
        context.reachability.record_ended(SERVICE)
    assert not context.reachability.is_probe_due(SERVICE, 100.0)


class ServerLinks:
    """Stand between a host and its connections to servers, and cut them.

    ``shape`` is one of ``whole``, ``reset`` (open and new connections are reset),
    ``silent`` (open ones carry nothing any more, new ones get no reply) and ``refused``
    (open ones live on, new ones are refused).
    """

    def __init__(self, host):
        self.shape = "whole"
        self._open = []
        host._connection_pool._connector = self.connect

    async def connect(self, address, timeout_s, memory):
        """Open a connection as the host would, unless the cut prevents it."""
        if self.shape == "silent":
            await sleep(timeout_s)
        if self.shape != "whole":
            raise ConnectFailed("No connection.", "End the cut.")
        conn = await connect(address, timeout_s, memory)
        self._open.append(conn)
        return conn

    def cut(self, shape):
        """Begin or end a cut."""
        self.shape = shape
        for conn in self._open:
            if shape == "reset":
                conn._transport._force_close(ConnectionResetError())
            elif shape == "silent":
                conn.data_received = lambda data: None
                conn._transport.write = lambda data: None


SHAPES = {
    "connections are reset": "reset",
    "connections go silent": "silent",
    "only new connections are refused": "refused",
}


@given("a fleet of {hosts:d} hosts and {servers:d} servers")
def given_fleet(context, hosts, servers):
    """Start the fleet in two data centres, and wait until it is complete."""
    start_fleet(
        context,
        hosts,
        [
            StandInServer(f"s-{number}", zone=f"dc-{number % 2}", slots=40)
            for number in range(servers)
        ],
    )


def start_fleet(context, host_count, servers, routes=DEFAULT_ROUTES):
    """Start hosts in two data centres with some servers, and wait for each other."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts, context.servers = [], servers
    context.store = StandInStore()

    async def begin():
        await context.store.start()
        cfg = make_configuration(1, routes)
        await context.store.write("config", "main", cfg)
        for server in servers:
            await server.start()
            await context.store.write("servers", server.id, server.registration())
        settings = [numbered_settings(context, number) for number in range(host_count)]
        await gather(*(start_host(context, item) for item in settings))
        context.links = [ServerLinks(host) for host in context.hosts]
        await wait_until(
            lambda: all(
                host.is_ready
                and len(host._view.servers) == len(servers)
                and host._topology.fleet_size(host._loop.time()) == host_count
                and (host_count == 1 or host._topology.ready_hosts(host._loop.time()))
                for host in context.hosts
            ),
            15.0,
        )

    context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: context.loop_thread.run(gather_all([h.close() for h in context.hosts]))
    )


async def call_hosts(context, hosts, rate, seconds, path="/read/1"):
    """Send requests to hosts in turn; keep when, where and how each one ended."""
    context.tries = getattr(context, "tries", [])
    loop = context.loop_thread.loop

    async def send(number):
        host = hosts[number % len(hosts)]
        sent_at = loop.time()
        try:
            answer = await send_request(
                port_of(host._settings, "callers"),
                path,
                request_id=f"{host._own.host}/{sent_at}/{number}",
                object_key=str(number % 50),
            )
            status = answer.status
        except (OSError, AssertionError):
            status = 0
        context.tries.append((sent_at, host, status, loop.time() - sent_at))

    tasks = []
    for number in range(int(rate * seconds)):
        tasks.append(create_task(send(number)))
        await sleep(1 / rate)
    await gather(*tasks)


def begin_cut(context, hosts, shape):
    """Cut some hosts from all servers."""

    async def cut():
        context.cut_at = context.loop_thread.loop.time()
        context.cut_hosts = hosts
        for links, host in zip(context.links, context.hosts, strict=True):
            if host in hosts:
                links.cut(SHAPES[shape])

    context.loop_thread.run(cut())


@when("the first host loses all servers, {shape}")
def when_first_cut(context, shape):
    """Cut the first host."""
    begin_cut(context, context.hosts[:1], shape)


@when("the first host reaches all servers again")
def when_first_whole(context):
    """End the cut."""
    context.links[0].cut("whole")


@when("callers send {rate:d} requests a second to the first host for {seconds:g} s")
def when_callers_at_first(context, rate, seconds):
    """Send requests to the first host only."""
    context.loop_thread.run(call_hosts(context, context.hosts[:1], rate, seconds))


@then("the first host knows within {seconds:g} s that it reaches {what}")
def then_knows(context, seconds, what):
    """Wait until the host has concluded it."""
    expected = what == "servers"
    monitor = context.hosts[0]._reachability
    context.loop_thread.run(
        wait_until(lambda: monitor.is_reachable(SERVICE) == expected, seconds)
    )


@given("callers sent {rate:d} requests a second to all hosts for {seconds:g} s")
@when("callers send {rate:d} requests a second to all the hosts for {seconds:g} s")
def when_callers_at_all(context, rate, seconds):
    """Send requests to all hosts in turn."""
    context.loop_thread.run(call_hosts(context, context.hosts, rate, seconds))


@when("{count:d} of the hosts lose all servers, {shape}")
def when_some_cut(context, count, shape):
    """Cut the last hosts."""
    begin_cut(context, context.hosts[-count:], shape)


@when("the cut ends")
def when_cut_ends(context):
    """Let new connections succeed again; silent ones stay silent."""
    for links in context.links:
        links.cut("whole")
    context.whole_at = context.loop_thread.loop.time()


@then(
    "from {settle:g} s after the cut at least {percent:d} percent are served "
    "at first try, at cut hosts and at others"
)
def then_served_alike(context, settle, percent):
    """Compare the tries at both kinds of hosts."""
    since = context.cut_at + settle
    for is_cut in (True, False):
        check_served(context, since, percent, is_cut)


@then(
    "from {settle:g} s after the end at least {percent:d} percent are served "
    "at first try, at all hosts"
)
def then_served_after(context, settle, percent):
    """Check the tries at all hosts."""
    check_served(context, context.whole_at + settle, percent, None)


def check_served(context, since, percent, is_cut):
    """Check the share of first tries that were served.

    :param is_cut: whether to count the hosts that are cut off, the others, or ``None``
        for all.
    """
    statuses = Counter(
        status
        for sent_at, host, status, _ in context.tries
        if sent_at >= since and is_cut in (None, host in context.cut_hosts)
    )
    served, total = statuses[200], sum(statuses.values())
    assert total and served * 100 >= percent * total, (is_cut, statuses)


@given("the customer acme may send {rate:d} requests a second and {burst:d} at once")
def given_rate(context, rate, burst):
    """Write a configuration with the limit, and wait until all hosts have it."""

    async def write():
        customer = {"Name": "acme", "ApiKeys": ["k-1"], "RatePerS": rate}
        cfg = make_configuration(
            2, DEFAULT_ROUTES, Tenants=[{**customer, "Burst": burst}]
        )
        await context.store.write("config", "main", cfg)
        await wait_until(
            lambda: all(host._view.configuration.version == 2 for host in context.hosts)
        )
        await sleep(1.0)

    context.loop_thread.run(write())


@when("the first host gets requests until it knows")
def when_knows(context):
    """Send requests until the host has noticed that it is cut off."""
    first = context.hosts[0]

    async def call():
        while first._reachability.is_reachable(SERVICE):
            await call_hosts(context, [first], 20, 0.2, "/open/1")
        await sleep(0.5)

    context.loop_thread.run(call())
    context.tries.clear()


@when("callers send {count:d} payments to the first host within {seconds:g} s")
def when_payments(context, count, seconds):
    """Send requests that may run at most once."""
    for server in context.servers:
        server.received.clear()
    hosts = context.hosts[:1]
    rate = count / seconds
    context.loop_thread.run(call_hosts(context, hosts, rate, seconds, "/pay/1"))


def runs_by_request(context):
    """Return how often each request reached a server."""
    return Counter(
        item.headers["request-id"]
        for server in context.servers
        for item in server.received
    )


@then("each payment that was served ran once, and no other ran")
def then_ran_once(context):
    """Compare the runs at servers with the callers' answers."""
    runs = runs_by_request(context)
    served = sum(status == 200 for _, _, status, _ in context.tries)
    assert set(runs.values()) == {1} and len(runs) == served, (runs, served)


@then("at most {most:d} payments were served, and at least {least:d}")
def then_between(context, most, least):
    """Check the number of served requests."""
    served = sum(status == 200 for _, _, status, _ in context.tries)
    assert least <= served <= most, Counter(item[2] for item in context.tries)


@then("no server received a key or a header of hosts")
def then_no_internal_headers(context):
    """Check all requests that servers received."""
    names = {
        name
        for server in context.servers
        for item in server.received
        for name in item.headers
    }
    assert names and "key" not in names, names
    assert not [name for name in names if name.startswith("damasktally")], names


@when("a caller sends {count:d} requests that claim to be forwarded")
def when_claims(context, count):
    """Send requests with the headers of hosts to the port of callers."""
    extra = (
        "Damasktally-Forwarded-By: h-01\r\nDamasktally-Service: svc\r\n"
        "Damasktally-Attempts-Left: 2\r\nDamasktally-Configuration: 2\r\n"
    )

    async def call():
        port = port_of(context.hosts[0]._settings, "callers")
        return [
            await send_request(port, "/read/1", request_id=f"r-{number}", extra=extra)
            for number in range(count)
        ]

    context.answers = context.loop_thread.run(call())


@then("at least {count:d} of them are refused with {status:d}")
def then_refused_with(context, count, status):
    """Count the answers."""
    found = [answer.status for answer in context.answers]
    assert found.count(status) >= count, found


@when("the second host has an older configuration")
def when_older(context):
    """Let the host miss the newest version."""
    view = context.hosts[1]._view
    view.configuration = replace(view.configuration, version=0)


@then("at least {count:d} payments were served, none by way of the second host")
def then_not_by_second(context, count):
    """Check the answers, and the other host's counter of handled requests."""
    served = sum(status == 200 for _, _, status, _ in context.tries)
    assert served >= count, Counter(item[2] for item in context.tries)
    requests = context.hosts[1]._metrics.requests.labels("answered")
    assert requests._value.get() == 0


@when("all hosts lose all servers, {shape}")
def when_all_cut(context, shape):
    """Cut every host."""
    begin_cut(context, context.hosts, shape)


@then("each payment was refused with a time to come back within {seconds:g} s")
def then_refused_at_once(context, seconds):
    """Check how and when the requests ended."""
    statuses = Counter(status for _, _, status, _ in context.tries)
    assert set(statuses) == {503}, statuses
    slowest = max(duration for _, _, _, duration in context.tries)
    assert slowest <= seconds, slowest
    assert not runs_by_request(context)


@given("{count:d} hosts in 3 regions of which {cut:d} in the first region are cut off")
def given_regions(context, count, cut):
    """Describe the hosts as they report themselves."""
    context.ready_hosts = [
        ReadyHost(
            Member(f"h-{n}", 1, f"r-{n % 3}", f"dc-{n % 6}", "", ("h", 1), 1.0, 2),
            (SERVICE,) if n % 3 == 0 and n // 3 < cut else (),
        )
        for n in range(count)
    ]
    context.cut_count = cut


def forward_requests(context, rate, duration_s, home_regions):
    """Let the cut hosts choose; return how many requests each host got."""
    rng = Random(5)
    received = Counter()
    under_way = {}
    for number in range(int(rate * 5.0)):
        sender = number % context.cut_count
        now = number / rate
        ends = under_way.setdefault(sender, [])
        ends[:] = [item for item in ends if item[0] > now]
        counts = Counter(host for _, host in ends)
        name = choose_host(
            context.ready_hosts,
            SERVICE,
            home_regions,
            "r-0",
            lambda host, counts=counts: counts[host],
            rng,
        )
        assert name is not None
        ends.append((now + duration_s, name))
        received[name] += 1
    return received


@when("they forward {rate:d} requests a second that take {duration:g} s each")
def when_forwarded(context, rate, duration):
    """Choose a host for each request."""
    context.received = forward_requests(context, rate, duration, frozenset())
    context.received_homes = forward_requests(context, 40, duration, frozenset({"r-2"}))


@then("no host gets more than {factor:g} times the mean of the hosts that take them")
def then_shared(context, factor):
    """Compare the loads of the receivers."""
    received = context.received
    mean = sum(received.values()) / len(received)
    assert max(received.values()) <= factor * mean, received
    cut = {
        item.member.host for item in context.ready_hosts if item.unreachable_services
    }
    assert not cut & set(received), received


@then("requests with a home region reach hosts of that region only")
def then_home(context):
    """Check the regions of the receivers."""
    regions = {item.member.host: item.member.region for item in context.ready_hosts}
    assert {regions[name] for name in context.received_homes} == {"r-2"}


@then("the directory names these hosts of one region")
def then_directory(context):
    """Compare the number of addresses for each row."""
    for row in context.table:
        cut = int(row["cut off"])
        entries = [
            DirectoryEntry(f"h-{n}:1", "north", "dc-1", reaches_servers=n >= cut)
            for n in range(int(row["hosts"]))
        ]
        entries.append(DirectoryEntry("h-far:1", "south", "dc-2"))
        named = select_addresses(entries, "north", frozenset(), Random(1))
        assert len(named) == int(row["named"]), (row, named)
        assert "h-far:1" not in named


@when(
    "{count:d} of the hosts lose all servers {times:d} times for {seconds:g} s, {shape}"
)
def when_cut_in_series(context, count, times, seconds, shape):
    """Cut the last hosts again and again under load."""

    async def cut():
        for _ in range(times):
            await sleep(seconds)
            for links in context.links[-count:]:
                links.cut(SHAPES[shape])
            await sleep(seconds)
            for links in context.links[-count:]:
                links.cut("whole")

    async def run():
        load = call_hosts(context, context.hosts, 120, 2 * times * seconds + 2.0)
        await gather(load, cut())

    context.blocked_counts = watch_blocks(context)
    context.loop_thread.run(run())


def watch_blocks(context):
    """Count the requests that each host blocks from now on."""
    counts = Counter()
    for host in context.hosts:
        reports = host._crash_reports
        name, on_blocked = host._own.host, reports.on_blocked

        def count(report, name=name, on_blocked=on_blocked):
            counts[name] += 1
            on_blocked(report)

        reports.on_blocked = count
    return counts


@then("no request was blocked at any host")
def then_none_blocked(context):
    """Check what the hosts blocked."""
    assert not context.blocked_counts, context.blocked_counts
    now = context.loop_thread.loop.time()
    assert not any(host._crash_suspects.blocked_count(now) for host in context.hosts)


@given("connections to {count:d} servers")
def given_connections(context, count):
    """Open two connections to each server."""
    context.breaks = LinkBreaks()
    for number in range(2 * count):
        context.breaks.record_opened(f"s-{number // 2}")


@when("those to {count:d} servers break within {seconds:g} s")
def when_break(context, count, seconds):
    """Break them one after the other."""
    for number in range(2 * count):
        at = seconds * (number // 2) / count
        context.breaks.record_closed(f"s-{number // 2}", True, at)


@then("the loss of the first of them is put down to {cause}")
def then_cause(context, cause):
    """Compare the conclusion."""
    assert context.breaks.is_own_link("s-0", 0.0) == (cause == "the link")
