"""Steps about a host that starts knowing only a host of another data centre."""

from asyncio import get_running_loop, run
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import CustomerQuotas
from damasktally.entry.message_builder import FleetMessageBuilder, OwnState
from damasktally.entry.peers import PeerNetwork
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    DataCentreHosts,
    HostSummary,
    RelaySummary,
    SummaryTable,
)
from damasktally.fleet.view import Decoders, FleetView

HOSTS_A_CELL = 15
STARTER = "far-new"


def member(name, cell, number):
    """Return a host."""
    address = (f"10.0.{number}.1", 7)
    return Member(name, 1, cell, cell, f"{address[0]}:8080", address)


def cell_note(cell):
    """Return what relays tell of a data centre."""
    hosts = [
        HostSummary(
            f"{cell}-{n}", 1, "10.1.1.1:8080", f"10.{len(cell)}.{n}.1", 7, True, 1
        )
        for n in range(HOSTS_A_CELL)
    ]
    return DataCentreHosts(cell, cell, hosts)


def fleet_summary(cells):
    """Return what a relay tells of the whole fleet."""
    return RelaySummary(
        relay="near-0",
        started_ms=1,
        sequence=9,
        peer_host="10.4.0.1",
        peer_port=7,
        scope=WHOLE_FLEET,
        data_centre_hosts=cells,
        live_host_count=2 * HOSTS_A_CELL,
        silent_host_count=0,
        revisions=(1, 1, 1),
        demand={"acme": 2.0},
        admitted={"acme": 40},
        is_complete=True,
        store_age_s=0.1,
        included_heartbeats={},
    )


class Network:
    """Hold a host's part in the exchange, without a network."""

    def __init__(self, own):
        self.members = MemberTable(own)
        self.summaries = SummaryTable()
        counts = HeartbeatHistory()
        self.topology = FleetTopology(self.members, self.summaries, counts)
        view = FleetView(Decoders(None, None, "main"), lambda change: None)
        quotas = CustomerQuotas(lambda customer: 0.0)
        describe = lambda: OwnState(True, False, 0.1)
        self.message_builder = FleetMessageBuilder(
            own, self.topology, self.summaries, view, quotas, counts, describe
        )
        transfer = SimpleNamespace(handle_peer_revisions=lambda revisions: None)
        self.network = PeerNetwork(
            self.members,
            self.summaries,
            self.topology,
            self.message_builder,
            transfer,
            lambda: None,
        )
        self.sent = []
        self.network.connection_made(
            SimpleNamespace(sendto=lambda data, address: self.sent.append(data))
        )

    def hear(self, message):
        """Take a message of another host."""
        data = (
            message if isinstance(message, bytes) else msgspec.msgpack.encode(message)
        )
        self.network.datagram_received(data, ("10.9.9.9", 7))


@given("a host that relays told of 30 hosts in 2 data centres")
def given_informed(context):
    context.cells = [cell_note("near"), cell_note("far")]


@when("a new host of the other data centre sends it {count:d} heartbeats")
def when_heartbeats(context, count):
    async def play():
        seed = Network(member("near-9", "near", 9))
        seed.hear(fleet_summary(context.cells))
        starter = Network(member(STARTER, "far", 77))
        now = get_running_loop().time()
        for _ in range(count):
            seed.sent.clear()
            seed.hear(starter.message_builder.build_heartbeat(now))
        context.answers = [
            msgspec.msgpack.decode(data, type=Heartbeat | RelaySummary)
            for data in seed.sent
        ]
        for data in seed.sent:
            starter.hear(data)
        context.relays = [m.host for m in starter.topology.relays(now)]
        context.size = starter.topology.fleet_size(now)
        starter.sent.clear()
        starter.network.send_due_messages([])
        context.sent = len(starter.sent)
        context.ended = len(seed.sent)

    run(play())


@then("the last one is answered with the hosts of its data centre")
def then_named(context):
    told = [item for item in context.answers if isinstance(item, RelaySummary)]
    assert len(told) == 1, context.answers
    named = {
        note.host
        for cell in told[0].data_centre_hosts
        if cell.data_centre == "far"
        for note in cell.hosts
    }
    assert named == {f"far-{n}" for n in range(HOSTS_A_CELL)}, named


@then("the new host addresses the relays of its own data centre")
def then_relays(context):
    assert STARTER not in context.relays, context.relays
    assert all(name.startswith("far-") for name in context.relays), context.relays
    assert context.size >= 2 * HOSTS_A_CELL, context.size
    assert context.sent >= 1, context.sent
