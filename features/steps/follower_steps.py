"""Steps for the relays that follow the store, and for those that rely on them."""

from math import inf
from random import Random
from zlib import compress

import msgspec
from behave import given, then, when
from entry_harness import make_configuration, make_route

from damasktally.decisions.relays import (
    MAX_RELAY_STORE_AGE_S,
    choose_store_followers,
)
from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.state_messages import (
    ResponseFrames,
    StateRequest,
    StateResponse,
    decode_response,
    encode_response,
)
from damasktally.entry.store_topology import StoreTopology
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import MemberTable
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import (
    DataCentreHosts,
    HostSummary,
    RelaySummary,
    SummaryTable,
)
from damasktally.fleet.topics import Topic

REGIONS = ("a", "b", "c")
DATA_CENTRES_PER_REGION = 3
HOSTS_PER_DATA_CENTRE = 4
OWN_HOST = "b-3.h0"


def make_summary(data_centre, store_age_s, sequence=1, revision=1):
    """Return a data centre's summary by its primary relay."""
    hosts = [
        HostSummary(f"{data_centre}.h{n}", 1, "10.0.0.1:80", "10.0.0.1", 7, True, 9 - n)
        for n in range(HOSTS_PER_DATA_CENTRE)
    ]
    return RelaySummary(
        relay=f"{data_centre}.h0",
        started_ms=1,
        sequence=sequence,
        peer_host="10.0.0.1",
        peer_port=7,
        scope=data_centre,
        data_centre_hosts=[DataCentreHosts(data_centre[0], data_centre, hosts)],
        live_host_count=HOSTS_PER_DATA_CENTRE,
        silent_host_count=0,
        revisions=(revision, 1, 1),
        demand={},
        admitted={},
        is_complete=True,
        store_age_s=store_age_s,
        included_heartbeats={},
    )


def make_topology(own_name):
    """Return what the primary relay of a data centre derives, and its summaries."""
    data_centre = own_name.split(".")[0]
    own = Member(
        own_name, 1, data_centre[0], data_centre, "10.0.0.1:80", ("10.0.0.1", 7), 9.0
    )
    summaries = SummaryTable()
    members = MemberTable(own)
    revisions = dict.fromkeys(Topic, 1)
    fleet = FleetTopology(members, summaries)
    topology = StoreTopology(
        members, summaries, fleet, revisions, StoreReach(), StoreCalls()
    )
    return topology, summaries


def data_centre_names(counts):
    """Yield region and data centre for the number of data centres in each region."""
    for region, count in zip(REGIONS, counts, strict=True):
        for number in range(1, count + 1):
            yield region, f"{region}-{number}"


@then("these relays follow the store")
def then_followers(context):
    """Choose the followers of each row."""
    for row in context.table:
        counts = [int(text) for text in row["data centres in each region"].split(",")]
        relays = {
            (region, name): [f"{name}.p", f"{name}.s"]
            for region, name in data_centre_names(counts)
        }
        expected = row["followers"].split(", ")
        assert choose_store_followers(relays) == expected, (row, relays)


@given("a relay whose data centre is not among those that follow the store")
def given_other_relay(context):
    """Create a relay of the last data centre of its region, which hears from all."""
    context.topology, context.summaries = make_topology(OWN_HOST)
    counts = [DATA_CENTRES_PER_REGION] * len(REGIONS)
    for _, name in data_centre_names(counts):
        if name != "b-3":
            context.summaries.apply_summary(make_summary(name, inf), 10.0)
    assert context.topology._topology.is_relay(10.0)
    assert not context.topology.should_follow_store(10.0)
    assert not context.topology.has_store_following_relay(10.0)


@when("a relay elsewhere reports that it reached the store {age_s:g} s ago")
def when_relay_reports(context, age_s):
    """Apply the summary of a relay that follows the store."""
    context.summaries.apply_summary(make_summary("a-1", age_s, 2), 10.0)


@then(
    "after {later_s:g} s the state of the relay is {age_s:g} s old, "
    "and it relies on the other"
)
def then_state_age(context, later_s, age_s):
    """Check the age that the relay reports."""
    now = 10.0 + later_s
    assert abs(context.topology.relayed_store_age_s(now) - age_s) < 0.01
    assert context.topology.has_store_following_relay(now)


@then("its hosts rely on it for as long")
def then_hosts_rely(context):
    """Check a host that gets the relay's summary of the fleet."""
    topology, _ = make_topology("b-3.h1")
    members = topology._members
    relay = context.topology._own
    for later_s, relies in ((1.0, True), (2.5, False)):
        now = 10.0 + later_s
        age_s = context.topology.relayed_store_age_s(now)
        members.add(relay, now)
        members.apply_relay_summary(relay, {}, age_s, now)
        topology.invalidate()
        assert topology.has_store_following_relay(now) == relies, (later_s, age_s)


@when("that relay names a revision that this one lacks, and goes on reaching the store")
def when_relay_is_ahead(context):
    """Apply summaries of the relay for 3 s, in which this one gets nothing."""
    for tick in range(15):
        now = 11.0 + 0.2 * tick
        context.summaries.apply_summary(make_summary("a-1", 0.4, 3 + tick, 2), now)
        context.topology.invalidate()
        context.topology._topology.is_relay(now)


@then("the state of the relay is as old as what it has, until it has that revision")
def then_age_of_what_it_has(context):
    """Check the age before and after the relay gets the revision."""
    now = 14.0
    assert context.topology.relayed_store_age_s(now) > MAX_RELAY_STORE_AGE_S
    assert not context.topology.has_store_following_relay(now)
    context.topology._revisions[Topic.CONFIGURATION] = 2
    context.topology.invalidate()
    assert context.topology.relayed_store_age_s(now) < 1.0
    assert context.topology.has_store_following_relay(now)


@when("two relays hear only from each other")
def when_only_each_other(context):
    """Let two relays report ages to each other for 5 s."""
    names = ("a-3", "b-3")
    pairs = {name: make_topology(f"{name}.h0") for name in names}
    context.ages = []

    def report_age_s(name, now):
        # Only the first one ever reached the store, once.
        own_age_s = now - 20.0 if name == "a-3" else inf
        return min(own_age_s, pairs[name][0].relayed_store_age_s(now))

    for tick in range(25):
        now = 20.0 + 0.2 * tick
        for name, other in (names, names[::-1]):
            summary = make_summary(other, report_age_s(other, now), tick + 1)
            pairs[name][1].apply_summary(summary, now)
        context.ages.append(min(report_age_s(name, now) for name in names))


@then("their ages of the store's state grow with time")
def then_ages_grow(context):
    """Check that no report makes the state young again."""
    assert all(
        later - earlier > 0.19
        for earlier, later in zip(context.ages, context.ages[1:], strict=False)
    ), context.ages


def large_response(routes=2100):
    """Return a response with a configuration of many routes."""
    rng = Random(1)
    names = [f"r-{rng.randrange(36**7):x}" for _ in range(routes)]
    cfg = make_configuration(3, [make_route(name, f"/{name}/") for name in names])
    return StateResponse(7, specs={"main": cfg})


@then(
    "a configuration of {routes:d} routes takes at most {percent:d} percent "
    "of its size, and is read again"
)
def then_compressed(context, routes, percent):
    """Encode and decode a response."""
    response = large_response(routes)
    frame = encode_response(response)
    plain = msgspec.msgpack.encode(response)
    assert len(frame) * 100 <= percent * len(plain), (len(frame), len(plain))
    assert decode_response(frame) == response
    small = StateResponse(7, specs={"main": 1})
    assert encode_response(small) == msgspec.msgpack.encode(small)


@then("a host that knows no compression gets it as before")
def then_plain_for_older(context):
    """Decode the request of an older host, and a response without compression."""
    old = msgspec.msgpack.encode({"topic": "servers", "known": 4})
    request = msgspec.msgpack.decode(old, type=StateRequest)
    assert not request.accepts_compressed
    response = large_response()
    assert decode_response(msgspec.msgpack.encode(response)) == response


@then("a response that is cut, corrupt or far too long when decompressed is refused")
def then_bad_refused(context):
    """Decode responses whose compressed part is damaged or expands without end."""
    good = msgspec.msgpack.decode(encode_response(large_response()), type=StateResponse)
    bomb = compress(bytes(20 * 1024 * 1024))
    for compressed in (good.compressed[:-20], b"junk" + good.compressed, bomb):
        frame = msgspec.msgpack.encode(StateResponse(7, compressed=compressed))
        try:
            decode_response(frame)
        except ValueError:
            continue
        raise AssertionError(compressed[:20])


@then("a response is encoded once for all hosts of a revision")
def then_encoded_once(context):
    """Count how often a response is built."""
    frames = ResponseFrames()
    built = []

    def build():
        built.append(1)
        return large_response(10)

    for _ in range(14):
        frames.get((Topic.CONFIGURATION, 3, 7), build)
    frames.get((Topic.CONFIGURATION, 3, 8), build)
    assert len(built) == 2, built
