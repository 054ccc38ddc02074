"""Steps for lease messages and for a host that asks, without a fleet."""

import socket
from asyncio import create_task, sleep
from itertools import pairwise
from random import Random
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from entry_harness import LoopThread, wait_until
from lease_fleet_steps import dropped_count, manager_of

from damasktally.decisions.lease_terms import LeaseOutcome
from damasktally.decisions.load import ServerLoads
from damasktally.entry.leases.client import (
    LeaseClient,
    LeaseNeed,
    LeaseResult,
    lease_address,
)
from damasktally.entry.leases.gate import LeaseGate, max_wait_s
from damasktally.entry.leases.manager_selection import LeaseManagerSelector
from damasktally.entry.leases.messages import LeaseEnd, LeaseReply, LeaseRequest
from damasktally.entry.metrics import EntryMetrics
from damasktally.fleet.members import MemberTable
from damasktally.fleet.model import Member, Server
from damasktally.fleet.summaries import DataCentreHosts, HostSummary

MESSAGES = LeaseRequest | LeaseReply | LeaseEnd
STARTED_MS = 1_792_386_136_272


def make_member(name, data_centre="dc-0", port=7, capacity=1.0):
    """Return a host that announces a lease port."""
    region = "north" if data_centre == "dc-0" else "south"
    address = ("127.0.0.1", 9)
    return Member(name, 1, region, data_centre, "", address, capacity, 0, port)


def make_server(name="s-1", data_centre="dc-0", slots=6, started_ms=1):
    """Return a server."""
    return Server(name, "svc", ("h", 1), data_centre, slots, False, 0.0, started_ms)


def make_request(number=1, host="edge-north-b-12", **fields):
    """Return a request for a lease with names as long as they usually are."""
    values = {
        "started_ms": STARTED_MS,
        "server": "i-ea38890fe1",
        "server_started_ms": STARTED_MS,
        "slots": 6,
        "priority": 1,
        "customer": "customer-12",
        "wait_ms": 400,
        "run_ms": 120,
        **fields,
    }
    return LeaseRequest(host, number=number, **values)


@then("a request takes at most {asked:d} bytes, a reply {reply:d} and an end {end:d}")
def then_small(context, asked, reply, end):
    """Encode typical messages."""
    number = (1 << 31) + 5
    messages = (
        (make_request(number), asked),
        (LeaseReply(number, LeaseOutcome.QUEUED, 250, 12), reply),
        (LeaseEnd("edge-north-b-12", STARTED_MS, number, 6, 3), end),
    )
    for message, most in messages:
        size = len(msgspec.msgpack.encode(message))
        assert size <= most, (message, size)


@then("fields that a newer version appends to lease messages are ignored")
def then_newer_fields(context):
    """Decode messages with one more field."""
    for message in (
        make_request(),
        LeaseReply(1, LeaseOutcome.GRANTED, 0),
        LeaseEnd("h", 1, 2),
    ):
        values = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        data = msgspec.msgpack.encode([*values, "newer"])
        assert msgspec.msgpack.decode(data, type=MESSAGES) == message


@then("every truncated lease message, and values out of range, cannot be decoded")
def then_truncated(context):
    """Cut messages at each length, and set values that no host sends."""
    data = msgspec.msgpack.encode(make_request())
    wrong = [data[:length] for length in range(len(data))]
    for fields in ({"slots": 0}, {"wait_ms": -1}, {"run_ms": 1 << 40}):
        wrong.append(msgspec.msgpack.encode(make_request(**fields)))
    wrong.append(msgspec.msgpack.encode(["r", 1, 9, 0]))
    for item in wrong:
        try:
            decoded = msgspec.msgpack.decode(item, type=MESSAGES)
        except msgspec.MsgspecError:
            continue
        raise AssertionError(decoded)


@when("a host gets lease messages that it must not take into account")
def when_wrong_messages(context):
    """Send datagrams to the manager of a server, and to a host that is not."""
    server = context.servers[0]
    name = manager_of(context.hosts[0], server)
    manager = next(h for h in context.hosts if h._own.host == name)
    other = next(h for h in context.hosts if h._own.host != name)
    context.manager, context.other = manager, other
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.settimeout(2.0)
    sock.bind(("127.0.0.1", 0))
    context.add_cleanup(sock.close)
    known = manager._view.servers.get(server.id).server

    def exchange(host, message):
        data = (
            message if isinstance(message, bytes) else msgspec.msgpack.encode(message)
        )
        sock.sendto(data, lease_address(host._own))
        if isinstance(message, LeaseRequest):
            return msgspec.msgpack.decode(sock.recv(200), type=MESSAGES)
        return None

    def ask(number, **fields):
        place = {"server": known.id, "server_started_ms": known.started_ms}
        return make_request(number, host="x", **{**place, **fields})

    context.replies = [
        exchange(manager, ask(1)),
        exchange(manager, ask(1)),
        exchange(other, ask(2)),
        exchange(manager, ask(1, started_ms=STARTED_MS + 1)),
        exchange(
            manager,
            ask(
                3,
                started_ms=STARTED_MS + 1,
                server_started_ms=known.started_ms - 1,
            ),
        ),
    ]
    exchange(manager, LeaseEnd("x", STARTED_MS + 1, 1))
    sock.sendto(msgspec.msgpack.encode(ask(7)), lease_address(manager._own))
    replayed = ask(1, started_ms=STARTED_MS + 1)
    sock.sendto(msgspec.msgpack.encode(replayed), lease_address(manager._own))
    exchange(manager, msgspec.msgpack.encode(ask(9))[:20])
    exchange(manager, b"")
    exchange(manager, LeaseReply(77, LeaseOutcome.GRANTED, 0))


@then("it counts and drops them, and tells the sender only what is true")
def then_counted(context):
    """Check the replies and the metrics."""
    outcomes = [reply.outcome for reply in context.replies]
    assert outcomes == [
        LeaseOutcome.GRANTED,
        LeaseOutcome.GRANTED,
        LeaseOutcome.NOT_MANAGER,
        LeaseOutcome.GRANTED,
        LeaseOutcome.REFUSED,
    ], outcomes
    expected = {"undecodable": 2, "old-start": 1, "replayed": 1, "unexpected-reply": 1}

    def counts():
        return {cause: dropped_count(context.manager, cause) for cause in expected}

    context.loop_thread.run(wait_until(lambda: sum(counts().values()) >= 5))
    assert counts() == expected, counts()
    assert dropped_count(context.other, "not-manager") == 1


class ScriptedManager:
    """Manager that replies to each message as a script says.

    :param script: for each request that arrives, the outcomes that are sent back, each
        with its delay in seconds.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests, self.ends = [], []
        self.member = make_member("m")
        self.address = lease_address(self.member)

    def start(self, loop):
        """Create the client that asks this manager."""
        self.loop = loop
        managers = SimpleNamespace(find=lambda *place: self.member)
        self.client = LeaseClient(make_member("h"), managers, self.receive, Random(1))

    def receive(self, member, message):
        """Take a message, and send what the script says."""
        if isinstance(message, LeaseEnd):
            self.ends.append(message)
            return
        self.requests.append((self.loop.time(), message))
        for delay_s, outcome in self.script.pop(0) if self.script else ():
            reply = LeaseReply(message.number, outcome, 120, 3)
            self.loop.call_later(delay_s, self.client.handle_reply, reply, self.address)


OUTCOMES = {outcome.name.lower(): outcome for outcome in LeaseOutcome}


def parse_script(text):
    """Return a script: messages are separated by ``;``, their replies by ``,``."""
    if text == "nothing":
        return []
    return [
        [
            (float(part.split("@")[1]) / 1000, OUTCOMES[part.split("@")[0].strip()])
            for part in replies.split(",")
            if part.strip()
        ]
        for replies in text.split(";")
    ]


@given("a host that asks a manager")
def given_asking_host(context):
    """Start an event loop."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)


@then("for each script of replies the wait ends as it should")
def then_scripts(context):
    """Run each row: replies as ``outcome@delay in ms``."""
    for row in context.table:
        manager = ScriptedManager(parse_script(row["replies"]))

        async def ask(manager=manager):
            loop = context.loop_thread.loop
            manager.start(loop)
            began = loop.time()
            need = LeaseNeed(1, "c", 0.4, 0.1)
            lease = await manager.client.acquire(make_server(), need)
            return lease, loop.time() - began

        lease, took_s = context.loop_thread.run(ask())
        assert lease.result is LeaseResult(row["result"]), (row, lease)
        assert len(manager.requests) == int(row["asked"]), (row, manager.requests)
        assert len(manager.ends) == int(row["ends"]), (row, manager.ends)
        least, most = (float(part) / 1000 for part in row["took"].split(" to "))
        assert least <= took_s <= most, (row, took_s)
        assert len({message for _, message in manager.requests}) == 1


@then("a manager that does not reply is asked again after 1 s, and not before")
def then_silent_manager(context):
    """Ask often while the manager is silent."""
    manager = ScriptedManager([])

    async def ask():
        manager.start(context.loop_thread.loop)
        results = []
        need = LeaseNeed(1, "c", 0.4, 0.1)
        for _ in range(14):
            lease = await manager.client.acquire(make_server(), need)
            results.append(lease.result)
            await sleep(0.1)
        return results

    results = context.loop_thread.run(ask())
    assert results.count(LeaseResult.NO_REPLY) == 2, results
    times = [time for time, _ in manager.requests]
    assert max(later - time for time, later in pairwise(times)) >= 1.0, times


@then("a reply of another host, or to another number, grants nothing")
def then_foreign_reply(context):
    """Send replies that do not belong to the question."""
    manager = ScriptedManager([])

    async def ask():
        manager.start(context.loop_thread.loop)
        need = LeaseNeed(1, "c", 0.4, 0.1)
        task = create_task(manager.client.acquire(make_server(), need))
        await sleep(0.01)
        number = manager.requests[0][1].number
        granted = LeaseReply(number, LeaseOutcome.GRANTED, 0)
        assert not manager.client.handle_reply(granted, ("127.0.0.1", 8))
        other = LeaseReply(number + 1, LeaseOutcome.GRANTED, 0)
        assert not manager.client.handle_reply(other, manager.address)
        return await task

    assert context.loop_thread.run(ask()).result is LeaseResult.NO_REPLY


@then("a caller that leaves, or a task that is cancelled, ends the wait at the manager")
def then_leave(context):
    """Let the caller leave, and cancel the task, while a request waits."""

    async def ask(is_cancelled):
        manager = ScriptedManager([[(0.0, LeaseOutcome.QUEUED)]])
        manager.start(context.loop_thread.loop)
        need, leave = LeaseNeed(1, "c", 0.4, 0.1), []
        task = create_task(manager.client.acquire(make_server(), need, leave.append))
        await sleep(0.05)
        if is_cancelled:
            task.cancel()
            await sleep(0.01)
        else:
            leave[0]()
            assert (await task).result is LeaseResult.CALLER_LEFT
        assert len(manager.ends) == 1
        assert not manager.client._pending

    for is_cancelled in (False, True):
        context.loop_thread.run(ask(is_cancelled))


@then("the longest wait follows from objective, deadline and run time")
def then_max_wait(context):
    """Compute each row, in milliseconds since the first byte."""
    for row in context.table:
        objective, deadline, now, run, wait = (
            float(row[name]) / 1000
            for name in ("objective", "deadline", "now", "run", "wait")
        )
        req = SimpleNamespace(first_byte_at=50.0)
        route = SimpleNamespace(target_latency_s=objective)
        found = max_wait_s(req, route, 50.0 + deadline, 50.0 + now, run)
        assert abs(found - wait) < 1e-6, (row, found)


@then("a server with 6 slots is contended in these cases")
def then_contended(context):
    """Compare the decision with each row."""

    async def check():
        for row in context.table:
            loads, server = ServerLoads(), make_server()
            port = 7 if row["port"] == "yes" else 0
            client = SimpleNamespace(is_enabled=bool(port))
            gate = LeaseGate(client, loads, EntryMetrics())
            for _ in range(int(row["own"])):
                loads.begin(server.id)
            if row["rejected"] != "never":
                gate.record_rejection(server.id, 100.0 - float(row["rejected"]))
            expected = row["contended"] == "yes"
            assert gate.is_contended(server, 100.0) == expected, row

    context.loop_thread.run(check())


def find_managers(own, is_full_mesh, is_relay, listed, direct, servers):
    """Return the managers that a host finds, given what it knows."""
    members = MemberTable(own)
    records = [
        SimpleNamespace(member=member, ready=is_ready) for member, is_ready in direct
    ]
    members.live_records = lambda now: records
    listings = [
        DataCentreHosts(
            "north" if name == "dc-0" else "south",
            name,
            [
                HostSummary(
                    m.host,
                    1,
                    "",
                    "127.0.0.1",
                    9,
                    ready,
                    m.capacity,
                    0,
                    (),
                    m.lease_port,
                )
                for m, ready in hosts
            ],
        )
        for name, hosts in listed.items()
    ]
    topology = SimpleNamespace(
        is_full_mesh=lambda now: is_full_mesh,
        is_relay=lambda now: is_relay,
        relayed_records=lambda now: [
            SimpleNamespace(received_at=now, data_centre_hosts=listings)
        ],
    )
    managers = LeaseManagerSelector(members, topology, lambda: True)
    found = [managers.find(server, "dc-0", 1.0) for server in servers]
    return [member.host if member else None for member in found]


@then("relays, other hosts and other regions find the same managers among the first 8")
def then_same_managers(context):
    """Compare what hosts find that know a data centre in different ways."""
    hosts = [
        (make_member(f"h-{n:02d}", capacity=9 - n / 2, port=0 if n == 2 else 7), n != 3)
        for n in range(14)
    ]
    servers = [f"s-{number}" for number in range(60)]
    near = {"dc-0": hosts}
    far = {"dc-0": hosts[:8]}
    relay = find_managers(hosts[0][0], False, True, {}, hosts[1:], servers)
    plain = find_managers(hosts[9][0], False, False, near, [], servers)
    other = make_member("x", "dc-1")
    remote = find_managers(other, False, False, far, [], servers)
    mesh = find_managers(other, True, False, {}, hosts, servers)
    assert relay == plain == remote == mesh
    assert set(relay) == {f"h-{n:02d}" for n in (0, 1, 4, 5, 6, 7)}, set(relay)
    old = [(make_member(f"o-{n}", port=0), True) for n in range(3)]
    assert find_managers(other, True, False, {}, old, servers[:1]) == [None]
