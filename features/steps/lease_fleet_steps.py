"""Steps for fleets of hosts that use leases, and for the messages between them."""

from asyncio import (
    create_task,
    gather,
    open_connection,
    run_coroutine_threadsafe,
    sleep,
)
from collections import Counter
from dataclasses import dataclass
from json import dumps

from behave import given, then, when
from eliot import add_destinations, remove_destination
from entry_harness import (
    LoopThread,
    StandInStore,
    make_configuration,
    make_route,
    send_request,
    wait_until,
)
from entry_steps import port_of, start_host
from msgspec.structs import replace
from relay_steps import gather_all, numbered_settings
from slot_server import SlotServer

from damasktally.events.explanation import explain_request
from damasktally.standins.ports import free_port

OBJECTIVE = {"TargetLatency": "900ms", "Timeout": "1500ms"}
ROUTES = [
    make_route("urgent", "/urgent/", Prio=0, **OBJECTIVE),
    make_route("later", "/later/", Prio=2, **OBJECTIVE),
    make_route("pay", "/pay/", "non_idempotent", Prio=1, **OBJECTIVE),
    make_route("patient", "/patient/", TargetLatency="4000ms", Timeout="5000ms"),
]
PATHS = ("/urgent/1", "/later/1", "/pay/1")
PRIORITY_PATHS = {0: "/urgent/1", 1: "/pay/1", 2: "/later/1"}
SETTLE_S = 1.6
"""Time in which hosts notice that a manager is gone: its reply is missing, and the
heartbeats that list it as live expire."""
START_LIMIT_S = 15.0


@dataclass
class Try:
    """One request of a caller; the status is 0 if the connection ended."""

    request_id: str
    path: str
    host: object
    status: int = 0
    body: str = ""
    retry_after_s: float | None = None
    took_s: float = 0.0


def with_leases(settings, is_on):
    """Return settings with a lease port, or without one."""
    leases = f"127.0.0.1:{free_port()}" if is_on else ""
    return replace(settings, listen=replace(settings.listen, leases=leases))


@given("{hosts:d} hosts {usage} leases and {servers:d} servers with {slots:d} slots")
def given_lease_fleet(context, hosts, usage, servers, slots):
    """Start the fleet in two data centres, and wait until it is complete."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    start_fleet(context, hosts, servers, slots, lambda number: usage == "with")


@given(
    "{hosts:d} hosts, every other one with leases, "
    "and {servers:d} servers with {slots:d} slots"
)
def given_mixed_fleet(context, hosts, servers, slots):
    """Start a fleet in which hosts of each data centre differ."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    start_fleet(context, hosts, servers, slots, lambda number: number // 2 % 2 == 0)


def start_fleet(context, host_count, server_count, slots, has_leases):
    """Start a store, servers and hosts.

    :param has_leases: returns whether a host, by its number, uses leases.
    """
    context.hosts, context.servers, context.tries = [], [], []
    context.store = StandInStore()
    context.events = []
    add_destinations(context.events.append)
    context.add_cleanup(remove_destination, context.events.append)

    async def begin():
        await context.store.start()
        await context.store.write("config", "main", make_configuration(1, ROUTES))
        for number in range(server_count):
            server = SlotServer(f"s-{number}", zone=f"dc-{number % 2}", slots=slots)
            await server.start()
            context.servers.append(server)
            await context.store.write("servers", server.id, server.registration())
        settings = [
            with_leases(numbered_settings(context, number), has_leases(number))
            for number in range(host_count)
        ]
        await gather(*(start_host(context, item) for item in settings))
        await wait_until(lambda: is_complete(context, host_count), START_LIMIT_S)

    context.loop_thread.run(begin())
    hosts = context.hosts
    context.add_cleanup(
        lambda: context.loop_thread.run(gather_all([h.close() for h in hosts]))
    )


def is_complete(context, host_count):
    """Return whether all hosts know all others as ready, and all servers."""
    return all(
        host.is_ready
        and len(host._view.servers) == len(context.servers)
        and len(host._topology.ready_hosts(host._loop.time())) == host_count - 1
        for host in context.hosts
    )


async def call(context, number, path, host=None):
    """Send one request to one of the hosts, and keep how it ended."""
    loop = context.loop_thread.loop
    host = host or context.hosts[number % len(context.hosts)]
    item = Try(f"{path[1:4]}-{number}-{len(context.hosts)}", path, host)
    context.tries.append(item)
    began = loop.time()
    try:
        answer = await send_request(
            port_of(host._settings, "callers"),
            path,
            request_id=item.request_id,
            object_key=str(number % 40),
            key=f"k-{number % 7}" if path in PATHS else "k-1",
            deadline_ms=2000 if path in PATHS else 5000,
        )
    except (OSError, AssertionError, EOFError):
        return
    item.status, item.body = answer.status, answer.body.decode()
    item.took_s = loop.time() - began
    if "retry-after" in answer.headers:
        item.retry_after_s = float(answer.headers["retry-after"])


async def load(context, rate, seconds, at_time=()):
    """Send requests of all priorities in turn.

    :param at_time: pairs of a time in seconds and what to do then.
    """
    pending, tasks = list(at_time), []
    for number in range(int(rate * seconds)):
        if pending and number / rate >= pending[0][0]:
            await pending.pop(0)[1]()
        tasks.append(create_task(call(context, number, PATHS[number % 3])))
        await sleep(1 / rate)
    await gather(*tasks)


def make_customers():
    """Return seven customers without a limit."""
    return [
        {"Name": f"c-{number}", "ApiKeys": [f"k-{number}"], "RatePerS": 0, "Burst": 0}
        for number in range(7)
    ]


@when("callers load the servers to {percent:d} percent for {seconds:g} s")
def when_loaded(context, percent, seconds, at_time=()):
    """Load the servers with requests of three priorities."""
    context.percent = percent
    rate = percent / 100 * sum(s.slots / s.run_s for s in context.servers)

    async def run():
        cfg = make_configuration(2, ROUTES, Tenants=make_customers())
        await context.store.write("config", "main", cfg)
        await wait_until(
            lambda: all(h._view.configuration.version == 2 for h in context.hosts)
        )
        await load(context, rate, seconds, at_time)

    run_long(context, run(), seconds)


def run_long(context, coro, seconds):
    """Run a coroutine that takes longer than a step usually may."""
    future = run_coroutine_threadsafe(coro, context.loop_thread.loop)
    future.result(seconds + 20.0)


def turned_away(context):
    """Return how many requests the servers turned away."""
    return sum(server.turned_away for server in context.servers)


def lease_counts(context):
    """Return how many leases all hosts asked for, by outcome."""
    counts = Counter()
    for host in context.hosts:
        for metric in host._metrics.leases.collect():
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    counts[sample.labels["outcome"]] += sample.value
    return counts


def dropped_count(host, cause):
    """Return how many lease messages a host dropped for a cause."""
    return host._metrics.lease_messages_dropped.labels(cause)._value.get()


@when(
    "the same load meets {hosts:d} hosts without leases, which do not know each "
    "other's loads, for {seconds:g} s"
)
def when_same_without(context, hosts, seconds):
    """Repeat the load with a new fleet; keep both results.

    Its hosts are as those of 0.8.0: each knows its own requests and reports only.
    """
    context.with_leases = turned_away(context), context.tries, context.servers
    slots, servers = context.servers[0].slots, len(context.servers)
    context.loop_thread.run(gather_all([host.close() for host in context.hosts]))
    start_fleet(context, hosts, servers, slots, lambda number: False)
    for host in context.hosts:
        host._candidates.loads.record_shared_report = lambda report, now: False
    when_loaded(context, context.percent, seconds)
    context.without_leases = turned_away(context)


@then(
    "the servers turned away at most a fifth with leases, of at least {least:d} without"
)
def then_fewer_turned_away(context, least):
    """Compare the two runs; the load has to bring the case about."""
    count, without = context.with_leases[0], context.without_leases
    assert without >= least, without
    assert count * 5 <= without, (count, without)


@then(
    "with leases priority {first:d} was served no less often than priority {second:d}"
)
def then_priorities(context, first, second):
    """Compare the shares of two priorities."""
    shares = []
    for priority in (first, second):
        path = PRIORITY_PATHS[priority]
        found = [item for item in context.with_leases[1] if item.path == path]
        shares.append(sum(item.status == 200 for item in found) / len(found))
    assert shares[0] >= shares[1], shares


@then("with leases at least {percent:d} percent of priority {priority:d} were served")
def then_share_served(context, percent, priority):
    """Check the share of one priority."""
    path = PRIORITY_PATHS[priority]
    found = [item for item in context.with_leases[1] if item.path == path]
    served = sum(item.status == 200 for item in found)
    assert served * 100 >= percent * len(found), (served, len(found))


def check_answers(tries, servers):
    """Check that no answer is wrong and that no refusal is of a request that ran."""
    runs = Counter()
    for server in servers:
        runs.update(server.runs)
    for item in tries:
        if item.status == 200:
            assert item.body == item.request_id, item
            assert runs[item.request_id] >= 1, item
        elif item.status in (429, 503):
            assert runs[item.request_id] == 0, item
            assert item.retry_after_s is not None, item
        else:
            assert item.status in (0, 502, 504), item
        if item.path == "/pay/1":
            assert runs[item.request_id] <= 1, item


@then("no answer was wrong, and no refused request was run")
def then_answers_right(context):
    """Check all requests against the servers' own records."""
    if hasattr(context, "with_leases"):
        check_answers(context.with_leases[1], context.with_leases[2])
    check_answers(context.tries, context.servers)


@when(
    "callers load the servers to {percent:d} percent for {seconds:g} s, and the host "
    "that manages most of them is killed after {after:g} s"
)
def when_manager_killed(context, percent, seconds, after):
    """Let the busiest manager end without a word to the others."""

    async def kill():
        managers = Counter(manager_of(context.hosts[0], s) for s in context.servers)
        name = managers.most_common(1)[0][0]
        context.killed = next(h for h in context.hosts if h._own.host == name)
        context.granted_before = lease_counts(context)["granted"]
        context.killed_at = context.loop_thread.loop.time()
        context.killed._leases._endpoint.close()
        context.killed._peer_protocol.close()
        await context.killed.close()

    when_loaded(context, percent, seconds, [(after, kill)])


def manager_of(host, server):
    """Return the name of the host that a host takes for a server's manager."""
    managers = host._leases.gate._client._managers
    member = managers.find(server.id, server.zone, host._loop.time())
    return member.host if member is not None else None


@then("requests of the other hosts were answered, and other managers granted leases")
def then_others_went_on(context):
    """Check that only requests at the killed host were cut."""
    for item in context.tries:
        assert item.status in (200, 503) or item.host is context.killed, item
    assert lease_counts(context)["granted"] > context.granted_before
    for server in context.servers:
        names = {
            manager_of(host, server)
            for host in context.hosts
            if host is not context.killed
        }
        assert names.isdisjoint({context.killed._own.host, None}), names


@then("all hosts take the same host of a server's data centre for its manager")
def then_managers_agree(context):
    """Ask every host about every server."""
    for server in context.servers:
        names = {manager_of(host, server) for host in context.hosts}
        assert len(names) == 1, names
        name = names.pop()
        host = next(h for h in context.hosts if h._own.host == name)
        assert host._own.data_centre == server.zone, (name, server)


@then("no host asked for a lease")
def then_no_lease(context):
    """Check the hosts' metrics."""
    assert not lease_counts(context), lease_counts(context)


@then("hosts asked for leases")
def then_some_lease(context):
    """Check the hosts' metrics."""
    assert lease_counts(context)["granted"], lease_counts(context)


@when("one host's requests fill the only server, and {count:d} more wait")
def when_waiting(context, count):
    """Fill the slots without leases and then with leases; the next requests wait.

    The manager learns from reports alone of the requests without a lease.
    """
    context.server = context.servers[0]
    host = context.hosts[0]

    async def fill():
        context.fillers = []
        for number in range(2 * context.server.slots):
            item = call(context, number, "/patient/1", host)
            context.fillers.append(create_task(item))
            await sleep(0.01)
        context.writers = []
        for number in range(count):
            _, writer = await open_connection(
                "127.0.0.1", port_of(host._settings, "callers")
            )
            writer.write(
                b"GET /patient/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k-1\r\n"
                b"Request-Id: w-%d\r\nDeadline-Ms: 5000\r\n"
                b"Affinity-Key: 7\r\nContent-Length: 0\r\n\r\n" % number
            )
            context.writers.append(writer)
        await wait_until(lambda: waiting_count(context) == count)

    context.server.run_s = 0.7
    context.loop_thread.run(fill())


def waiting_count(context):
    """Return how many requests wait at the managers of all hosts."""
    return sum(
        sum(host._leases.manager._leases.waiting_by_priority().values())
        for host in context.hosts
    )


@when("the callers that wait leave")
def when_callers_leave(context):
    """Close the connections."""

    async def leave():
        for writer in context.writers:
            writer.close()

    context.loop_thread.run(leave())


@then("nothing waits any more within {seconds:g} s, and none of them is run")
def then_nothing_waits(context, seconds):
    """Check the managers, and the server's record after all has ended."""

    async def check():
        await wait_until(lambda: waiting_count(context) == 0, seconds)
        await gather(*context.fillers)
        await sleep(0.2)

    context.loop_thread.run(check())
    assert not [name for name in context.server.runs if name.startswith("w-")]


@when("the server says in the store that it drains")
def when_server_drains(context):
    """Rewrite the server's entry."""
    entry = context.server.registration(state="draining")
    context.loop_thread.run(context.store.write("servers", context.server.id, entry))


@when("the managers lose all lease messages")
def when_messages_lost(context):
    """Close the lease ports of all hosts; they go on announcing them."""

    async def close():
        for host in context.hosts:
            host._leases._endpoint.close()
            host._leases._endpoint._own_address = ("", 0)

    context.loop_thread.run(close())


@then(
    "every refusal and answer came within {seconds:g} s of what it takes without leases"
)
def then_not_held_up(context, seconds):
    """Check that missing replies cost one timeout."""
    longest = 0.9 + seconds
    for item in context.tries:
        if item.status == 200:
            assert item.took_s <= longest + 0.6, item
        else:
            assert item.took_s <= longest, item
    counts = lease_counts(context)
    assert counts["granted"] == 0 and counts["no-reply"], counts


@when("its data centre is evacuated")
def when_zone_evacuated(context):
    """Evacuate the data centre of the only server, once all hosts know its requests."""
    zone = context.server.zone

    async def evacuate():
        await context.store.write("evacuations", zone, {})
        await wait_until(
            lambda: all(zone in host._view.evacuated for host in context.hosts)
        )

    context.loop_thread.run(evacuate())


@then("the explanation of a request that waited says how long and behind how many")
def then_wait_explained(context):
    """Explain a request from the lines that its host logged."""

    async def finish():
        await wait_until(lambda: waiting_count(context) == 0)
        await gather(*context.fillers)
        await sleep(0.2)

    context.loop_thread.run(finish())
    lines = [dumps(event) for event in context.events]
    explained = " ".join(explain_request("w-1", lines))
    assert "ended with 503" in explained and "waited-too-long" in explained, explained
    assert "lease-wait-ended" in explained and "waited_ms" in explained, explained
    assert "behind 1" in explained and "waited for a lease" in explained, explained
