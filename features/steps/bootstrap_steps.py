"""Steps for a host that starts with only a seed of another data centre.

Such a host has to learn the relays of its own data centre from the seed's reply. If it
does not, it assumes that it is the only host there, and thus the only relay.
"""

from asyncio import get_running_loop, run
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.load_reports import LoadReports
from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.relays import RelayCandidate, choose_relays
from damasktally.decisions.server_limits import ServerLimits
from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.message_builder import FleetMessageBuilder
from damasktally.entry.outbox import OwnState
from damasktally.entry.peers import PeerProtocol
from damasktally.entry.store_topology import StoreTopology
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
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders

HOSTS_PER_DATA_CENTRE = 15
NEW_HOST = "far-new"


def member(name, data_centre, number):
    """Return a host."""
    address = (f"10.0.{number}.1", 7)
    return Member(name, 1, data_centre, data_centre, f"{address[0]}:8080", address)


def listed_hosts(data_centre):
    """Return the listed hosts of a data centre, as in the summary of a relay."""
    hosts = [
        HostSummary(
            f"{data_centre}-{n}",
            1,
            "10.1.1.1:8080",
            f"10.{len(data_centre)}.{n}.1",
            7,
            True,
            1,
        )
        for n in range(HOSTS_PER_DATA_CENTRE)
    ]
    return DataCentreHosts(data_centre, data_centre, hosts)


def whole_fleet_summary(data_centre_hosts):
    """Return a relay's summary of the whole fleet."""
    return RelaySummary(
        relay="near-0",
        started_ms=1,
        sequence=9,
        peer_host="10.4.0.1",
        peer_port=7,
        scope=WHOLE_FLEET,
        data_centre_hosts=data_centre_hosts,
        live_host_count=2 * HOSTS_PER_DATA_CENTRE,
        silent_host_count=0,
        revisions=(1, 1, 1),
        demand={"acme": 2.0},
        admitted={"acme": 40},
        is_complete=True,
        store_age_s=0.1,
        included_heartbeats={},
    )


class SimulatedHost:
    """Exchange messages like a host, but collect the sent ones instead of a network."""

    def __init__(self, own):
        self.members = MemberTable(own)
        self.summaries = SummaryTable()
        heartbeat_history = HeartbeatHistory()
        view = FleetView(Decoders(None, None, "main"), lambda change: None)
        self.topology = FleetTopology(self.members, self.summaries)
        quotas = CustomerQuotas(lambda customer: 0.0)
        get_own_state = lambda: OwnState(True, False, 0.1)
        self.message_builder = FleetMessageBuilder(
            own,
            self.topology,
            self.summaries,
            view,
            quotas,
            heartbeat_history,
            ServerLimits(own.host),
            LoadReports(),
            CrashSuspects("h"),
            get_own_state,
        )
        transfer = SimpleNamespace(handle_peer_revisions=lambda revisions: None)
        store_topology = StoreTopology(
            self.members,
            self.summaries,
            self.topology,
            view.revisions,
            StoreReach(),
            StoreCalls(),
        )
        self.peer_protocol = PeerProtocol(
            self.members,
            self.summaries,
            self.topology,
            store_topology,
            self.message_builder,
            transfer,
            SimpleNamespace(
                record_heartbeat=lambda heartbeat: None,
                record_summary=lambda summary, is_relay: None,
            ),
            lambda record, now: None,
        )
        self.sent = []
        self.peer_protocol.connection_made(
            SimpleNamespace(sendto=lambda data, address: self.sent.append(data))
        )

    def receive(self, message):
        """Receive a message of another host.

        :param message: a heartbeat or a summary, or its encoded form.
        """
        data = (
            message if isinstance(message, bytes) else msgspec.msgpack.encode(message)
        )
        self.peer_protocol.datagram_received(data, ("10.9.9.9", 7))


@given("a host that knows {count:d} hosts in 2 data centres by the summary of a relay")
def given_host_with_relay(context, count):
    """Let a host that is none of the preferred relays get a summary at 0 s."""
    listings = [listed_hosts("near"), listed_hosts("far")]
    names = [host.host for host in listings[0].hosts]
    context.order = rank_relays("near", names)
    own = member(context.order[-1], "near", 99)
    members, context.summaries = MemberTable(own), SummaryTable()
    context.topology = FleetTopology(members, context.summaries)
    first = msgspec.structs.replace(
        whole_fleet_summary(listings), relay=context.order[0]
    )
    assert first.live_host_count == count
    context.summaries.apply_summary(first, 0.0)
    for name in context.order[:2]:
        members.apply_relay_summary(member(name, "near", 1), {}, 0.1, 0.0)
    context.members = members
    context.listings = listings
    relays = context.topology.relays(0.1)
    assert [item.host for item in relays] == context.order[:2]
    members.expect_replies(relays, 0.1)


@given(
    "a host that knew of {count:d} hosts in 2 data centres by its relay, "
    "and becomes the relay"
)
def given_next_relay(context, count):
    """Let a host get the summary of its relay, which lists it."""
    context.listings = [listed_hosts("near"), listed_hosts("far")]
    context.fleet_summary = whole_fleet_summary(context.listings)


def build_as_next_relay(context, age_s, far_summary=None):
    """Return the first summary of the fleet that the next relay builds.

    :param age_s: how long ago the summary of the relay before arrived.
    :param far_summary: summary of the other data centre that arrived since.
    """

    async def build():
        now = get_running_loop().time()
        host = SimulatedHost(member("near-2", "near", 2))
        host.summaries.apply_summary(context.fleet_summary, now - age_s)
        if far_summary is not None:
            host.summaries.apply_summary(far_summary, now)
        return host.message_builder.build_fleet_summary(now)

    return run(build())


@then(
    "its first summary counts {count:d} hosts, lists those of both, "
    "and has the whole demand"
)
def then_summary_complete(context, count):
    """Build the summary 2 s after the last one of the relay before."""
    summary = build_as_next_relay(context, 2.0)
    assert summary.live_host_count + summary.silent_host_count >= count, summary
    listed = {item.data_centre: len(item.hosts) for item in summary.data_centre_hosts}
    assert listed["far"] == HOSTS_PER_DATA_CENTRE, listed
    assert summary.demand["acme"] >= 2.0, summary.demand


@then(
    "a summary of the other data centre takes the place of what the relay before knew"
)
def then_replaced(context):
    """Let the other data centre have fewer hosts and another demand."""
    far = msgspec.structs.replace(
        context.fleet_summary,
        relay="far-0",
        scope="far",
        data_centre_hosts=[
            msgspec.structs.replace(
                context.listings[1], hosts=context.listings[1].hosts[:4]
            )
        ],
        live_host_count=4,
        demand={"acme": 0.5},
    )
    summary = build_as_next_relay(context, 2.0, far)
    assert summary.live_host_count + summary.silent_host_count <= 5, summary
    listed = {item.data_centre: len(item.hosts) for item in summary.data_centre_hosts}
    assert listed["far"] == 4, listed
    assert summary.demand["acme"] == 0.5, summary.demand


@then("{seconds:d} s after the last summary of the relay before nothing is left of it")
def then_forgotten(context, seconds):
    """Build the summary later."""
    summary = build_as_next_relay(context, float(seconds))
    assert summary.live_host_count + summary.silent_host_count == 1, summary
    assert not summary.demand, summary.demand


def rank_relays(data_centre, names):
    """Return all hosts of a data centre in the order in which they become relays."""
    names, ranked = list(names), []
    while names:
        candidates = [RelayCandidate(name, 1.0) for name in names]
        ranked.append(choose_relays(data_centre, candidates)[0])
        names.remove(ranked[-1])
    return ranked


def receive_from_next_relay(context, sequence, listing, count, now):
    """Let a summary of the next relay arrive."""
    relay = context.order[2]
    summary = msgspec.structs.replace(
        whole_fleet_summary(listing),
        relay=relay,
        sequence=sequence,
        live_host_count=count,
    )
    context.summaries.apply_summary(summary, now)
    context.members.apply_relay_summary(member(relay, "near", 3), {}, 0.1, now)
    context.topology.invalidate()


@when(
    "both relays of its data centre are silent, and the next relay knows few hosts yet"
)
def when_relays_change(context):
    """Let the next relay list itself only, from 2.3 s on."""
    listing = [msgspec.structs.replace(context.listings[0], hosts=[])]
    context.samples = []
    for step in range(20):
        now = 2.3 + step * 0.25
        receive_from_next_relay(context, step + 1, listing, 1, now)
        topology = context.topology
        context.samples.append(
            (
                topology.fleet_size(now),
                topology.is_relay(now),
                [item.host for item in topology.relays(now)],
            )
        )


@then("for 5 s the host counts at least {count:d} hosts and is no relay")
def then_size_kept(context, count):
    """Check the samples of 5 s."""
    assert all(size >= count for size, _, _ in context.samples), context.samples
    assert not any(is_relay for _, is_relay, _ in context.samples), context.samples


@then("it agrees with the other hosts on the next relays")
def then_next_relays(context):
    """Check whom it takes for relays at last."""
    assert context.samples[0][2] == context.order[2:4], context.samples[0]


def receive_heartbeat(context, started_ms, stopped):
    """Let a heartbeat of the first relay arrive."""
    relay = member(context.order[0], "near", 1)
    heartbeat = Heartbeat(
        host=relay.host,
        started_ms=started_ms,
        region=relay.region,
        data_centre=relay.data_centre,
        caller_address=relay.caller_address,
        peer_host="10.0.1.1",
        peer_port=7,
        sequence=99,
        ready=not stopped,
        stopped=stopped,
        revisions=(1, 1, 1),
        demand={},
        admitted={},
    )
    context.members.apply_heartbeat(heartbeat, 0.2)
    context.topology.invalidate()


@when("its first relay says that it stops")
def when_relay_stops(context):
    """Let its last heartbeat arrive."""
    receive_heartbeat(context, 1, stopped=True)


@when("the next process of that relay sends a heartbeat")
def when_relay_starts(context):
    """Let the first heartbeat of the next process arrive."""
    receive_heartbeat(context, 2, stopped=False)


@then("the host's relays are the {first} and the {second} of the data centre")
def then_relays_are(context, first, second):
    """Compare with the order in which hosts become relays."""
    places = {"first": 0, "second": 1, "third": 2}
    expected = [context.order[places[first]], context.order[places[second]]]
    found = [item.host for item in context.topology.relays(0.25)]
    assert found == expected, (found, expected)


@when("the summaries of the next relay list {count:d} hosts from then on")
def when_fewer_hosts(context, count):
    """Go on with a fleet that has become smaller."""
    listing = [context.listings[0]]
    for step in range(32):
        receive_from_next_relay(context, 100 + step, listing, count, 7.5 + step * 0.25)


@then("after {seconds:g} s the host counts {count:d} hosts")
def then_fewer_counted(context, seconds, count):
    """Check that the earlier size is forgotten."""
    now = 7.5 + seconds + 0.5
    context.topology.invalidate()
    assert context.topology.fleet_size(now) == count


@given("a host that received a summary of 30 hosts in 2 data centres")
def given_seed_with_summary(context):
    context.data_centre_hosts = [listed_hosts("near"), listed_hosts("far")]


@when("a new host of the other data centre sends it {count:d} heartbeats")
def when_new_host_sends(context, count):
    async def exchange():
        seed = SimulatedHost(member("near-9", "near", 9))
        seed.receive(whole_fleet_summary(context.data_centre_hosts))
        new_host = SimulatedHost(member(NEW_HOST, "far", 77))
        now = get_running_loop().time()
        for _ in range(count):
            seed.sent.clear()
            seed.receive(new_host.message_builder.build_heartbeat(now))
        context.answers = [
            msgspec.msgpack.decode(data, type=Heartbeat | RelaySummary)
            for data in seed.sent
        ]
        for data in seed.sent:
            new_host.receive(data)
        context.relays = [m.host for m in new_host.topology.relays(now)]
        context.fleet_size = new_host.topology.fleet_size(now)
        new_host.sent.clear()
        new_host.peer_protocol.send_due_messages([])
        context.sent = len(new_host.sent)
        context.answer_count = len(seed.sent)

    run(exchange())


@then("the reply to the last one lists the hosts of its data centre")
def then_hosts_listed(context):
    summaries = [item for item in context.answers if isinstance(item, RelaySummary)]
    assert len(summaries) == 1, context.answers
    names = {
        host.host
        for listing in summaries[0].data_centre_hosts
        if listing.data_centre == "far"
        for host in listing.hosts
    }
    assert names == {f"far-{n}" for n in range(HOSTS_PER_DATA_CENTRE)}, names


@then("the new host sends heartbeats to the relays of its own data centre")
def then_local_relays_addressed(context):
    assert NEW_HOST not in context.relays, context.relays
    assert all(name.startswith("far-") for name in context.relays), context.relays
    assert context.fleet_size >= 2 * HOSTS_PER_DATA_CENTRE, context.fleet_size
    assert context.sent >= 1, context.sent
