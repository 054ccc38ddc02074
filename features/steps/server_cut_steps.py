"""Steps for hosts that lose their links to backend servers."""

from asyncio import create_task, gather, sleep
from collections import Counter

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

from damasktally.decisions.service_reachability import ServiceReachability
from damasktally.http1.outbound import ConnectFailed, connect

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
                conn._transport.abort()
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
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts, context.servers = [], []
    context.store = StandInStore()

    async def begin():
        await context.store.start()
        cfg = make_configuration(1, DEFAULT_ROUTES)
        await context.store.write("config", "main", cfg)
        for number in range(servers):
            server = StandInServer(f"s-{number}", zone=f"dc-{number % 2}", slots=40)
            await server.start()
            context.servers.append(server)
            await context.store.write("servers", server.id, server.registration())
        settings = [numbered_settings(context, number) for number in range(hosts)]
        await gather(*(start_host(context, item) for item in settings))
        context.links = [ServerLinks(host) for host in context.hosts]
        await wait_until(
            lambda: all(
                host.is_ready
                and len(host._view.servers) == servers
                and len(host._topology.ready_hosts(host._loop.time())) == hosts - 1
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
