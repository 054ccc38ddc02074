"""Steps for server selection, queues and look-ups: pure decisions on a fixed clock."""

from collections import Counter
from ipaddress import ip_address, ip_network
from random import Random
from threading import Thread

from behave import given, then, when
from common import wait_until

from damasktally.escrow.slots import SlotTable
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.resources.kinds import SteeringPolicy
from damasktally.resources.view import View
from damasktally.steering.candidate_selection import Candidate, select_candidate
from damasktally.steering.dispatcher import Dispatcher, NoSlot, Waiter
from damasktally.steering.fair_queue import FairQueue
from damasktally.steering.health import HealthTable, slots_during_warmup
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts

CLOCK_STEP_S = 0.001


def make_candidate(name, region="here", latency=1.0, free=5, in_use=0, load=0.5):
    """Return a server that can be selected."""
    return Candidate(name, region, latency, free, in_use, load)


def count_selections(context, policy, count):
    """Return how often each server is selected."""
    rng = Random(1)
    return Counter(
        select_candidate(context.candidates, "here", policy, rng).server
        for _ in range(count)
    )


@given("servers with free slots here at 90 % load and in another region at 0 %")
def near_and_far_servers(context):
    context.candidates = [
        make_candidate("near", in_use=9, free=1, load=0.9),
        make_candidate("far", "there", 12.0, load=0.0),
    ]


@then("a server of this region is selected {count:d} times out of {total:d}")
def check_near_selected(context, count, total):
    assert count_selections(context, SteeringPolicy(), total)["near"] == count


@given("2 equal servers")
def equal_servers(context):
    context.candidates = [make_candidate("a"), make_candidate("b")]


@then("each is selected between {least:d} and {most:d} times out of {total:d}")
def check_equal_selections(context, least, most, total):
    found = count_selections(context, SteeringPolicy(), total)
    assert all(least <= count <= most for count in found.values()), found
    assert len(found) == 2


@given("a near server that is busy and a farther one in the region that is idle")
def busy_and_idle_servers(context):
    context.candidates = [
        make_candidate("near", latency=0.1, in_use=4, free=1),
        make_candidate("idle", latency=1.0),
    ]


@then("with a latency weight of {weight:g} the near one is selected")
def check_latency_weight(context, weight):
    policy = SteeringPolicy(latency_weight=weight)
    assert count_selections(context, policy, 20) == {"near": 20}


@then("with a headroom weight of {weight:g} the idle one is selected")
def check_headroom_weight(context, weight):
    policy = SteeringPolicy(headroom_weight=weight)
    assert count_selections(context, policy, 20) == {"idle": 20}


@given("a server that reported a load of {load:g}")
def report_load(context, load):
    context.now = 0.0
    context.health = HealthTable(lambda: context.now, Random(1))
    context.health.record_load("s", load)


@when("{seconds:g} s have passed")
def advance_clock(context, seconds):
    context.now += seconds


@then("its load estimate is about {estimate:g}")
def check_load_estimate(context, estimate):
    assert abs(context.health.estimate_load("s", context.now) - estimate) < 0.01


def make_dispatcher(context, slots, max_wait=500, eject=0.5):
    """Return a dispatcher that owns all slots of a pool's servers."""
    objects = [
        ("Pool", "p", {"eject_fraction": eject, "warmup_s": 0}),
        *(
            (
                "BackendServer",
                f"s{n}",
                {
                    "pool": "p",
                    "address": "127.0.0.1:1",
                    "region": "here",
                    "data_centre": "d",
                    "slots": count,
                },
            )
            for n, count in enumerate(slots)
        ),
    ]
    events = [
        ChangeEvent(object=StoredObject(kind=k, name=n, revision=i + 1, spec=s))
        for i, (k, n, s) in enumerate(objects)
    ]
    view = View().apply(events)
    table = SlotTable(longest_request_s=30.0, share_expires_at=1e9)
    for n, count in enumerate(slots):
        table.set_share(f"s{n}", "p", count)

    def clock():
        # Each reading advances the clock, so that service times are above zero.
        context.now += CLOCK_STEP_S
        return context.now

    health = HealthTable(clock, Random(1))
    return Dispatcher("here", "d", clock, Random(1), table, health, lambda: view)


def make_waiter(customer, weight=1.0):
    """Return a request that needs a slot."""
    return Waiter(customer, weight, 5.0, SteeringPolicy(), frozenset())


@given("a pool of {count:d} servers that all fail, of which half may be ejected")
def failing_pool(context, count):
    context.now = 0.0
    context.dispatcher = make_dispatcher(context, [1] * count)
    for _ in range(5):
        for n in range(count):
            context.dispatcher.record_failure("p", f"s{n}")


@then("{count:d} of them are ejected")
def check_ejected(context, count):
    health = context.dispatcher.health
    assert sum(health.is_ejected(f"s{n}", context.now) for n in range(4)) == count


@then("after {seconds:d} s none is")
def check_ejections_ended(context, seconds):
    context.now += seconds
    health = context.dispatcher.health
    assert not any(health.is_ejected(f"s{n}", context.now) for n in range(4))


@then(
    "of {slots:d} slots a server that warms up for {warm:d} s fills "
    "{a:d}, {b:d} and {c:d} after 0, 5 and 10 s"
)
def check_warmup(context, slots, warm, a, b, c):
    found = [slots_during_warmup(slots, 100.0, warm, 100.0 + at) for at in (0, 5, 10)]
    assert found == [a, b, c], found


@given("customers ana with weight {a:g} and bea with weight {b:g} that always wait")
def weighted_customers(context, a, b):
    context.weights = {"ana": a, "bea": b}
    context.queue = FairQueue()
    for name in context.weights:
        for _ in range(1_000):
            context.queue.push(name, object())


@when("{count:d} slots with equal service times become free")
def free_slots(context, count):
    context.served = Counter()
    for _ in range(count):
        name = context.queue.order_customers()[0]
        context.queue.pop(name)
        context.queue.charge(name, 1.0, context.weights[name])
        context.served[name] += 1


@then("bea got about {factor:d} times as many as ana")
def check_weighted_service(context, factor):
    ratio = context.served["bea"] / context.served["ana"]
    assert abs(ratio - factor) < 0.1, context.served


@given("a pool of 1 busy slot whose queue holds {size:d}")
def busy_pool(context, size):
    context.now = 0.0
    context.max_queue = size
    context.dispatcher = make_dispatcher(context, [1])
    context.slot_holder = make_waiter("ana")
    context.dispatcher.acquire("p", context.slot_holder, 1.0, size)
    context.finished = []


def queue_request(context, customer):
    """Queue a request in a thread of its own."""

    def wait():
        request = make_waiter(customer)
        found = context.dispatcher.acquire("p", request, 5.0, context.max_queue)
        context.finished.append((customer, isinstance(found, NoSlot)))
        if not isinstance(found, NoSlot):
            context.dispatcher.release("p", request)

    Thread(target=wait, daemon=True).start()


@when("ana tries to queue {count:d} requests and then bea tries one")
def flood_queue(context, count):
    for _ in range(count):
        queue_request(context, "ana")
    half = context.max_queue // 2
    wait_until(lambda: len(context.finished) == count - half, what="ana's refusals")
    queue_request(context, "bea")
    wait_until(
        lambda: context.dispatcher.queued_requests() == half + 1,
        what="bea's queued request",
    )


@then("ana has {count:d} waiting and bea's request waits too")
def check_waiting(context, count):
    waiting = context.dispatcher.pools["p"].waiters.items_by_customer
    assert len(waiting["ana"]) == count and len(waiting["bea"]) == 1
    assert all(refused for _, refused in context.finished)
    context.finished.clear()


@then("when the slot is free bea's request is among the next {count:d}")
def check_next_requests(context, count):
    context.dispatcher.release("p", context.slot_holder)
    wait_until(lambda: len(context.finished) >= count, what="the next requests")
    assert "bea" in [name for name, _ in context.finished[:count]], context.finished


@given("12 entry hosts in 3 regions, one of them full")
def entry_hosts(context):
    context.hosts = [
        EntryHost(f"h{n}", f"a{n}", f"r{n % 3}", f"r{n % 3}-{n // 3 % 2}", 1.0)
        for n in range(12)
    ]
    context.hosts[4] = EntryHost("h4", "a4", "r1", "r1-1", 0.0)


def ranked_names(context, region, customer, count=12):
    """Return the names of the hosts that a look-up returns."""
    policy = SteeringPolicy(lookup_hosts=count)
    latency = {"r0": 12.0, "r1": 12.0, "r2": 12.0}
    found = rank_hosts(context.hosts, region, "", customer, latency, policy)
    return [host.host for host in found]


@then("a caller of r1 gets hosts of r1 first, the full one last of them")
def check_ranking(context):
    found = ranked_names(context, "r1", "ana")
    assert set(found[:4]) == {"h1", "h4", "h7", "h10"} and found[3] == "h4", found


@then("two callers of one customer in one region get the same first host")
def check_affinity(context):
    assert (
        ranked_names(context, "r2", "ana")[0] == ranked_names(context, "r2", "ana")[0]
    )


@then("eight customers do not all get the same first host")
def check_spread(context):
    assert len({ranked_names(context, "r2", f"c{n}")[0] for n in range(8)}) > 1


@then("{count:d} random tables of nested blocks agree with a linear scan")
def check_random_tables(context, count):
    rng = Random(1)
    for _ in range(count):
        blocks = {}
        for number in range(rng.randrange(1, 30)):
            bits = rng.randrange(0, 33)
            start = rng.getrandbits(8) << 24 >> (32 - bits) << (32 - bits)
            blocks[str(ip_network((start & 0xFFFFFFFF, bits)))] = f"d{number}"
        table = ClientTable(blocks.items())
        for _ in range(50):
            address = str(ip_address(rng.getrandbits(8) << 24 | rng.getrandbits(2)))
            assert table.find(address) == find_by_scan(blocks, address), (
                blocks,
                address,
            )


def find_by_scan(blocks, address):
    """Return the data centre of the longest block that holds an address."""
    parsed = ip_address(address)
    holding = [ip_network(b) for b in blocks if parsed in ip_network(b)]
    if not holding:
        return None
    return blocks[str(max(holding, key=lambda network: network.prefixlen))]
