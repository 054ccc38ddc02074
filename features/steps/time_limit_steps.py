"""Steps about requests that have too little time left for a run."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from behave import given, then, when
from boundary_steps import find_logged
from eliot import add_destinations, remove_destination
from entry_harness import ReceivedRequest, StandInServer, make_route, send_request
from entry_steps import port_of
from server_cut_steps import start_fleet

from damasktally.events.catalogue import REQUEST_ENDED

ROUTES = [
    make_route("read", "/read/"),
    make_route("pay", "/pay/", "non_idempotent", Timeout="1200ms"),
    make_route("report", "/report/", Timeout="4000ms"),
]


@dataclass(frozen=True)
class Kind:
    """A kind of request that callers send.

    :param deadline_ms: milliseconds that its callers allow.
    """

    path: str
    method: str = "GET"
    deadline_ms: int = 5000


KINDS = {
    "read": Kind("/read/1"),
    "payment": Kind("/pay/1", "POST"),
    "glance": Kind("/read/1", deadline_ms=700),
    "report": Kind("/report/full"),
    "summary": Kind("/report/summary", deadline_ms=1000),
}
SINGULAR = {"summaries": "summary"}


@dataclass(frozen=True)
class Try:
    """What became of a request.

    :param sent_s: seconds from the begin of the load until it was sent.
    """

    kind: str
    request_id: str
    sent_s: float
    status: int
    took_s: float


@dataclass
class WorkServer(StandInServer):
    """Stand-in server whose work takes another time for some paths."""

    delay_by_path: dict[str, float] = field(default_factory=dict)

    def delay_for(self, request: ReceivedRequest) -> float:
        """Return the seconds that a request takes."""
        path = request.line.split(" ")[1]
        return self.delay_by_path.get(path, self.delay_s)


def kind_of(words):
    """Return the name of a kind of request, given in the plural."""
    return SINGULAR.get(words, words.removesuffix("s"))


@given("{hosts:d} hosts, and {servers:d} servers that answer in {seconds:g} s")
def given_hosts(context, hosts, servers, seconds):
    """Start a fleet, and keep what it logs."""
    context.logged = []
    add_destinations(context.logged.append)
    context.cleanups.append(lambda: remove_destination(context.logged.append))
    context.tries = []
    context.numbers = count()
    stand_ins = [
        WorkServer(f"s-{number}", zone=f"dc-{number % 2}", delay_s=seconds)
        for number in range(servers)
    ]
    start_fleet(context, hosts, stand_ins, ROUTES)


@given("servers take {seconds:g} s for {kinds}")
def given_work(context, seconds, kinds):
    """Set how long the work for a kind of request takes."""
    for server in context.servers:
        server.delay_by_path[KINDS[kind_of(kinds)].path] = seconds


@when("all servers answer in {seconds:g} s")
def when_all_answer(context, seconds):
    """Set how long work takes from now on."""
    set_delay(context, seconds)


def set_delay(context, seconds):
    """Set how long the work for all requests takes."""
    for server in context.servers:
        server.delay_s = seconds


async def send_one(context, host, name, began_at):
    """Send a request, and keep what became of it."""
    loop = get_running_loop()
    number = next(context.numbers)
    kind, sent_at = KINDS[name], loop.time()
    answer = await send_request(
        port_of(host._settings, "callers"),
        kind.path,
        kind.method,
        request_id=f"{name}-{number}",
        deadline_ms=kind.deadline_ms,
        object_key=str(number % 50),
    )
    took_s = loop.time() - sent_at
    context.tries.append(
        Try(name, f"{name}-{number}", sent_at - began_at, answer.status, took_s)
    )


async def send_many(context, name, rate, seconds):
    """Send requests of one kind to all hosts in turn, and wait for their answers."""
    began_at = get_running_loop().time()
    tasks = []
    for number in range(int(rate * seconds)):
        host = context.hosts[number % len(context.hosts)]
        tasks.append(create_task(send_one(context, host, name, began_at)))
        await sleep(
            max(0.0, began_at + (number + 1) / rate - get_running_loop().time())
        )
    await gather(*tasks)


async def slow_down(context, seconds, begin_s, end_s):
    """Let servers take longer for a while."""
    usual_s = context.servers[0].delay_s
    await sleep(begin_s)
    set_delay(context, seconds)
    await sleep(end_s - begin_s)
    set_delay(context, usual_s)


def run_all(context, *calls):
    """Run some coroutines at the same time; their load may last long."""

    async def run():
        await gather(*calls)

    context.loop_thread.run(run(), timeout_s=60.0)


@when("each host gets a {kind:w}, and servers take {seconds:g} s for it")
def when_each_gets_one(context, kind, seconds):
    """Send the first request of a kind to each host."""
    send_to_each(context, kind, 1, seconds)


@when("each host gets {count:d} {kinds:w}, and servers take {seconds:g} s for them")
def when_each_gets(context, count, kinds, seconds):
    """Send the first requests of a kind to each host."""
    send_to_each(context, kind_of(kinds), count, seconds)


def send_to_each(context, name, count, seconds):
    """Send requests to each host that take some time, then forget the answers."""
    set_delay(context, seconds)
    calls = [
        send_one(context, host, name, 0.0)
        for host in context.hosts
        for _ in range(count)
    ]
    run_all(context, *calls)
    context.tries.clear()


@when("{count:d} callers read at once")
def when_read_at_once(context, count):
    """Send reads to the first host."""
    host = context.hosts[0]
    run_all(context, *(send_one(context, host, "read", 0.0) for _ in range(count)))


@when("callers send {rate:d} {kinds:w} a second for {seconds:g} s")
def when_sent(context, rate, kinds, seconds):
    """Send requests of one kind."""
    run_all(context, send_many(context, kind_of(kinds), rate, seconds))


@when(
    "callers send {rate:d} {kinds:w} and {other_rate:d} {others:w} a second "
    "for {seconds:g} s"
)
def when_both_sent(context, rate, kinds, other_rate, others, seconds):
    """Send requests of two kinds."""
    run_all(
        context,
        send_many(context, kind_of(kinds), rate, seconds),
        send_many(context, kind_of(others), other_rate, seconds),
    )


@when(
    "callers send {rate:d} {kinds:w} a second for {seconds:g} s, and servers take "
    "{slow_s:g} s from {begin_s:g} to {end_s:g} s"
)
def when_sent_in_spell(context, rate, kinds, seconds, slow_s, begin_s, end_s):
    """Send requests of one kind, while servers are slow for a part of the time."""
    run_all(
        context,
        send_many(context, kind_of(kinds), rate, seconds),
        slow_down(context, slow_s, begin_s, end_s),
    )


def tries_of(context, kinds, since_s=0.0):
    """Return the requests of a kind that were sent from some time on."""
    name = kind_of(kinds)
    return [
        item for item in context.tries if item.kind == name and item.sent_s >= since_s
    ]


def check_served(tries, percent):
    """Check how many requests got the answer of a server."""
    statuses = Counter(item.status for item in tries)
    assert statuses[200] * 100 >= percent * len(tries) > 0, statuses


@then("all {kinds:w} are served")
def then_all_served(context, kinds):
    """Check the answers to all requests of a kind."""
    check_served(tries_of(context, kinds), 100)


@then("at least {percent:d} percent of the {kinds:w} are served")
def then_served(context, percent, kinds):
    """Check the answers to requests of a kind."""
    check_served(tries_of(context, kinds), percent)


@then("all {kinds:w} that are sent from {since_s:g} s on are served")
def then_late_served(context, kinds, since_s):
    """Check the answers to the requests that were sent at the end."""
    check_served(tries_of(context, kinds, since_s), 100)


@then("at most {count:d} {kinds:w} run in vain")
def then_in_vain(context, count, kinds):
    """Count requests that a server received and whose callers got no answer of it."""
    received = {
        request.headers["request-id"]
        for server in context.servers
        for request in server.received
    }
    tries = tries_of(context, kinds)
    in_vain = sum(item.status != 200 and item.request_id in received for item in tries)
    print(f"{in_vain} of {len(tries)} {kinds} ran in vain")
    assert in_vain <= count, (in_vain, Counter(item.status for item in tries))


@then("{kinds:w} that are refused get their answer within {seconds:g} s")
def then_refused_at_once(context, kinds, seconds):
    """Check how long refused callers waited."""
    refused = [item for item in tries_of(context, kinds) if item.status == 503]
    assert all(item.took_s <= seconds for item in refused), max(
        item.took_s for item in refused
    )


@then("a line has the reason no-time and these figures")
def then_figures_logged(context):
    """Check the inputs of the decision."""
    records = find_logged(context, REQUEST_ENDED, reason="no-time")
    assert records, Counter(item.status for item in context.tries)
    for row in context.table:
        assert row["figure"] in records[0]["inputs"], records[0]["inputs"]
