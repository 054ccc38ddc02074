"""Steps for a host that gets newer state from peers over TCP."""

from asyncio import StreamReader, StreamWriter, create_task, sleep, start_server
from random import Random
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from eliot import add_destinations, remove_destination
from entry_harness import (
    DEFAULT_ROUTES,
    LoopThread,
    ignore_disconnects,
    make_configuration,
    make_route,
    wait_until,
)

from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.follower_role import FollowerRole
from damasktally.entry.state_transfer import StateTransfer
from damasktally.entry.store_sync import StoreSync
from damasktally.entry.topic_reader import KIND_BY_TOPIC
from damasktally.events.catalogue import RELAY_FAILED
from damasktally.fleet.members import MemberRecord
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import SummaryTable
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders
from damasktally.http1.response_memory import ResponseMemory
from damasktally.platform.codec import decode_configuration, decode_server
from damasktally.platform.store import StoreClient
from damasktally.standins.ports import free_port

KNOWN_REVISION = 10
TICK_S = 0.2
SLOW_PARTS = 20
SLOW_INTERVAL_S = 0.12


class Peer:
    """Stand-in for another host, which names a revision and may not send it."""

    def __init__(self, name, revision, conduct):
        self.name = name
        self.revision = revision
        self.conduct = conduct
        self.port = free_port()
        self.requests = 0
        self.open_requests = 0

    async def start(self):
        """Listen, unless the process has ended."""
        if self.conduct != "ended":
            serve = ignore_disconnects(self._serve)
            self.server = await start_server(serve, "127.0.0.1", self.port)

    def record(self, now):
        """Return the record of a host whose last message arrived just now."""
        address = ("127.0.0.1", self.port)
        member = Member(self.name, 1, "north", "dc-1", "127.0.0.1:1", address, 1.0)
        revisions = {Topic.CONFIGURATION: self.revision}
        return MemberRecord(member, now, has_been_seen=True, revisions=revisions)

    async def _serve(self, reader: StreamReader, writer: StreamWriter):
        self.requests += 1
        self.open_requests += 1
        length = int.from_bytes(await reader.readexactly(4), "big")
        await reader.readexactly(length)
        if self.conduct == "silent":
            await reader.read(1)
        else:
            await self._respond(writer)
        self.open_requests -= 1
        writer.close()

    async def _respond(self, writer):
        routes = [*DEFAULT_ROUTES, make_route("new", "/new/")]
        specs = {"main": make_configuration(self.revision, routes)}
        data = msgspec.msgpack.encode({"revision": self.revision, "specs": specs})
        data = len(data).to_bytes(4, "big") + data
        parts = SLOW_PARTS if self.conduct == "slow" else 1
        size = -(-len(data) // parts)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if parts > 1:
                await sleep(SLOW_INTERVAL_S)


@given("a host that relies on peers and is at revision 10 of the configuration")
def given_host(context):
    """Create what a host uses to get state from peers."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.peers = []
    decoders = Decoders(decode_configuration, decode_server, "main")
    context.view = FleetView(decoders, lambda change: None)
    specs = {"main": make_configuration(1, DEFAULT_ROUTES)}
    context.view.replace(Topic.CONFIGURATION, KNOWN_REVISION, specs, "store", 0.0)
    members = SimpleNamespace(
        live_records=lambda now: [peer.record(now) for peer in context.peers]
    )
    topology = SimpleNamespace(is_full_mesh=lambda now: False)
    store_topology = SimpleNamespace(expects_changes_from_store=lambda now: False)

    async def create():
        return StateTransfer(
            members,
            SummaryTable(),
            topology,
            store_topology,
            context.view,
            lambda topic: None,
            Random(3),
        )

    context.transfer = context.loop_thread.run(create())


@given("peers that name these revisions: {text}")
def given_peers(context, text):
    """Start a peer for each item of a list."""
    first = len(context.peers)
    for number, item in enumerate(text.split(", ")):
        revision, conduct = item.split()
        peer = Peer(f"p-{first + number}", int(revision), conduct)
        context.loop_thread.run(peer.start())
        context.peers.append(peer)


@when("it hears of them")
def when_hears(context):
    """Let the host look for newer state as often as it does while it runs."""

    async def tick():
        while True:
            context.transfer.catch_up(context.loop_thread.loop.time())
            await sleep(TICK_S)

    async def begin():
        context.ticks = create_task(tick())

    context.loop_thread.run(begin())


@then("it has revision {revision:d} within {limit_s:g} s")
def then_has_revision(context, revision, limit_s):
    """Wait for the revision, or a newer one."""
    reached = lambda: context.view.revisions[Topic.CONFIGURATION] >= revision
    context.loop_thread.run(wait_until(reached, limit_s))


@then("it made 1 request in all")
def then_one_request(context):
    """Count what all peers received."""
    assert sum(peer.requests for peer in context.peers) == 1


@then("in {seconds:g} s it asks at most {count:d} peers at a time")
def then_few_at_a_time(context, seconds, count):
    """Count the requests that wait for a response."""

    async def observe():
        most = 0
        for _ in range(int(seconds / 0.02)):
            most = max(most, sum(peer.open_requests for peer in context.peers))
            await sleep(0.02)
        return most

    most = context.loop_thread.run(observe())
    assert 1 < most <= count, most


@then("in {seconds:g} s at most {count:d} requests fail")
def then_few_fail(context, seconds, count):
    """Count the requests that the host logs as failed."""
    record = []
    add_destinations(record.append)
    context.add_cleanup(lambda: remove_destination(record.append))
    context.loop_thread.run(sleep(seconds))
    failed = [item for item in record if item.get("event") == RELAY_FAILED.number]
    assert 2 <= len(failed) <= count, len(failed)


@given("a host that relies on peers, and knows what the store has")
def given_relying_host(context):
    """Start to follow the role of a host whose relays reach the store."""
    decoders = Decoders(decode_configuration, decode_server, "main")
    context.view = FleetView(decoders, lambda change: None)
    role = FollowerRole(
        is_fleet_known=lambda: True,
        should_follow_store=lambda: False,
        should_check_watches=lambda: False,
        has_store_following_relay=lambda: True,
        have_relays_lost_store=lambda: False,
        is_relay=lambda: False,
        relays_age_s=lambda: 60.0,
    )

    async def begin():
        calls = StoreCalls()
        client = StoreClient(
            ("127.0.0.1", context.store.port),
            calls,
            lambda purpose: None,
            ResponseMemory(),
            lambda problem: None,
            lambda kind, name: None,
        )
        for topic, kind in KIND_BY_TOPIC.items():
            listing = await client.list_objects(kind)
            context.view.replace(topic, listing.revision, listing.specs, "peer", 0.0)
        sync = StoreSync(
            client,
            context.view,
            lambda topic: None,
            role,
            StoreReach(),
            calls,
            Random(1),
        )
        sync.start()
        return sync

    context.sync = context.loop_thread.run(begin())
    context.add_cleanup(lambda: context.loop_thread.run(context.sync.stop()))


@when("the operator writes a version, and only the host's peers know of it")
def when_version_withheld(context):
    """Let the host hear of a revision that it gets from nobody."""
    routes = [*DEFAULT_ROUTES, make_route("new", "/new/")]

    async def write():
        cfg = make_configuration(2, routes)
        await context.store.write("config", "main", cfg)
        context.store.calls.clear()
        hear_of_newer(context, context.store.revision)

    context.loop_thread.run(write())


def hear_of_newer(context, revision):
    """Record that another host has a newer revision."""
    now = context.loop_thread.loop.time()
    context.view.staleness.record_newer(Topic.CONFIGURATION, revision, now)


@then("the host has version 2 within {limit_s:g} s")
def then_has_version(context, limit_s):
    """Wait for the version."""
    has_version = lambda: context.view.configuration.version == 2
    context.loop_thread.run(wait_until(has_version, limit_s))


@then("it made 1 call to the store for it, and follows the store no more than before")
def then_one_call(context):
    """Check the calls that the store got."""
    context.loop_thread.run(sleep(0.5))
    assert len(context.store.calls) == 1, context.store.calls
    assert not context.sync._watch_tasks


@when("the store refuses all calls, and peers name a still newer revision")
def when_store_refuses(context):
    """Refuse the host's calls from now on."""
    context.store.refusal_status = 503
    context.store.calls.clear()
    hear_of_newer(context, context.store.revision + 5)


@when("the store answers again, without that revision")
def when_store_answers(context):
    """Answer calls for a revision that the store does not have."""
    context.store.refusal_status = 0
    context.loop_thread.run(sleep(1.5))
    context.store.calls.clear()


@then("in {seconds:g} s the host makes at most {count:d} calls to the store")
def then_few_calls(context, seconds, count):
    """Check that the calls are spread."""
    context.loop_thread.run(sleep(seconds))
    assert 1 <= len(context.store.calls) <= count, context.store.calls
