"""Steps for relays: their choice, the counts they forward, and fleets that use them."""

from asyncio import gather, sleep
from json import dumps
from math import inf
from random import Random

from behave import given, then, when
from boundary_steps import make_heartbeat, make_member_table
from decision_steps import agreed_excess
from entry_harness import (
    DEFAULT_ROUTES,
    LoopThread,
    StandInServer,
    StandInStore,
    make_configuration,
    wait_until,
)
from entry_steps import make_settings, start_host
from msgspec.structs import replace

from damasktally.decisions.counter_totals import CounterTotals
from damasktally.decisions.customer_bucket import MAX_ADMITTED_AHEAD, CustomerBucket
from damasktally.decisions.heartbeat_history import (
    MAX_HEARTBEATS_KEPT,
    HeartbeatHistory,
)
from damasktally.decisions.quota import (
    RELAYED_LAG_S,
    SURGE_PROPAGATION_S,
    CustomerQuotas,
)
from damasktally.decisions.quota_report import QuotaReport, ReportHistory
from damasktally.decisions.relays import (
    RelayCandidate,
    RelayState,
    choose_relays,
    has_live_relay,
)
from damasktally.entry.delta import SENDS_PER_CHANGE, DeltaSelector
from damasktally.entry.host_listings import OTHER_REGION_HOST_LIMIT
from damasktally.entry.settings import HostSection, LimitsSection
from damasktally.fleet.model import Customer
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import MAX_KEPT_VIEW_DELTAS, Decoders
from damasktally.platform.codec import decode_configuration, decode_server

SIMULATION_STEP_S = 0.01
REPORT_INTERVAL_S = 0.2
STEADY_LOAD_S = 20.0
SURGE_DURATION_S = 12.0


@then(
    "the {count:d} most capable of {hosts:d} hosts are relays "
    "in whatever order they are listed"
)
def then_most_capable(context, count, hosts):
    """Choose relays from the same hosts in several orders."""
    known = [RelayCandidate(f"h-{n}", 2.0 if n < count else 0.4) for n in range(hosts)]
    rng = Random(3)
    choices = set()
    for _ in range(20):
        rng.shuffle(known)
        choices.add(tuple(choose_relays("dc-1", known)))
    assert len(choices) == 1, choices
    assert set(choices.pop()) == {f"h-{n}" for n in range(count)}
    context.candidates = known


@then("a relay that is down is replaced by the next host")
def then_replaced(context):
    """Choose again without the primary relay."""
    first, second = choose_relays("dc-1", context.candidates)
    alive = [item for item in context.candidates if item.host != first]
    after = choose_relays("dc-1", alive)
    assert after[0] == second and first not in after, after


@then("a host relies on relays by these cases")
def then_relies_on_relays(context):
    """Compare the decision with each row of the table."""
    for row in context.table:
        has_lost_store = row["lost the store"] == "yes"
        state = RelayState(
            float(row["silent"]), float(row["store age"]), has_lost_store
        )
        assert has_live_relay([state]) == (row["relies"] == "yes"), row
    assert not has_live_relay([])


@then("totals are kept when a counter restarts")
def then_totals_survive_restart(context):
    """Let a counter grow, restart from zero and end."""
    counters = CounterTotals()
    counters.add(("h", 1), {"c": 100})
    counters.add(("h", 1), {"c": 104})
    counters.add(("h", 2), {"c": 0})
    counters.add(("h", 2), {"c": 3})
    counters.keep_only(set())
    assert counters.totals == {"c": 7}, counters.totals
    counters.add(("h", 2), {"c": 9})
    assert counters.totals == {"c": 7}, counters.totals


@then("totals switch to a standby relay without counting requests twice")
def then_standby_takes_over(context):
    """Add the counts of one of two relays with the same growth, then the other's."""
    counters = CounterTotals()
    for count in (10, 12, 15):
        counters.add(("first", 1), {"c": count})
        counters.set_baseline(("second", 1), {"c": 500 + count})
    counters.add(("second", 1), {"c": 518})
    assert counters.totals == {"c": 8}, counters.totals


@then("sums less the own counts are the others' counts, for any included heartbeat")
def then_own_counts_subtracted(context):
    """Subtract each of several recorded heartbeats from sums."""
    history = HeartbeatHistory()
    for sequence in range(1, 6):
        history.record(sequence, {"c": 1.0}, {"c": 10 * sequence})
    for sequence in range(1, 6):
        own = history.sent_counts(sequence)
        report = QuotaReport(
            ("r", 1),
            {"c": 77 + 10 * sequence},
            {"c": 4.0},
            own_admitted=own.admitted,
            own_demand=own.demand,
        )
        assert others_demand_and_count(report) == (3.0, 77), (sequence, report)
    report = QuotaReport(("r", 1), {"c": 5}, {"c": 4.0})
    assert others_demand_and_count(report) == (4.0, 5), report


def others_demand_and_count(report):
    """Return what a report says of the other hosts' requests of a customer."""
    bucket = CustomerBucket(0.0, 0.0)
    ReportHistory().apply_all([report], {"c": bucket})
    return bucket.other_demand, bucket.reported_counts[report.identity]


@then("sums with a heartbeat that is no longer recorded are not used")
def then_old_heartbeat_unknown(context):
    """Subtract a heartbeat that is older than the history."""
    history = HeartbeatHistory()
    for sequence in range(1, MAX_HEARTBEATS_KEPT + 2):
        history.record(sequence, {}, {})
    assert history.sent_counts(1) is None
    assert history.sent_counts(2) is not None


@then("an entry is sent 3 times after it changed, and as zero when it is removed")
def then_changes_repeated(context):
    """Check in which of several messages a changed entry stands."""
    selector = DeltaSelector()
    assert selector.select({"a": 1, "b": 1}, False) == ({"a": 1, "b": 1}, True)
    sent = [selector.select({"a": 2, "b": 1}, False)[0].get("a") for _ in range(6)]
    assert sent.count(2) == SENDS_PER_CHANGE, sent
    assert selector.select({"a": 2}, False)[0]["b"] == 0


@then("a message for one host alone does not count as one of those for all")
def then_message_for_one_host(context):
    """Select complete messages for one host between two messages for all."""
    selector = DeltaSelector()
    selector.select({"a": 1}, False)
    for _ in range(10):
        assert selector.select({"a": 2}, True) == ({"a": 2}, True)
    assert selector.select({"a": 2}, False)[0] == {"a": 2}


@given("a large fleet of {hosts:d} hosts and a customer with a rate of {rate:g}")
def given_large_fleet(context, hosts, rate):
    """Define the size of the fleet and a customer whose burst equals its rate."""
    context.host_count = hosts
    context.customer = Customer("c", frozenset(), rate, rate, None, frozenset())


@when("it requests {asked:g} of its rate, and {surge:g} times that after a while")
def when_surge(context, asked, surge):
    """Simulate Poisson arrivals at hosts whose counts are forwarded by two relays."""
    rng = Random(11)
    customer, hosts = context.customer, context.host_count
    quotas = [CustomerQuotas(agreed_excess) for _ in range(hosts)]
    next_update_at = [rng.random() * REPORT_INTERVAL_S for _ in range(hosts)]
    history = []
    context.admitted, context.steady_asked, context.steady_refused = [], 0, 0
    step, end_s, last_total = 0, STEADY_LOAD_S + SURGE_DURATION_S, 0
    while (now := step * SIMULATION_STEP_S) < end_s:
        step += 1
        if step % round(REPORT_INTERVAL_S / SIMULATION_STEP_S) == 0:
            counts = [(quota.admitted(), quota.demand()) for quota in quotas]
            total = sum(item[0].get("c", 0) for item in counts)
            usual = asked * customer.rate * REPORT_INTERVAL_S
            is_urgent = total - last_total > 4 * max(1.0, usual)
            lag_s = SURGE_PROPAGATION_S if is_urgent else RELAYED_LAG_S
            last_total = total
            history.append((now + lag_s - REPORT_INTERVAL_S, counts))
        for index, quota in enumerate(quotas):
            if now >= next_update_at[index]:
                next_update_at[index] += REPORT_INTERVAL_S
                report = newest_report(history, index, now)
                quota.update_shares([customer], report, 0, now, RELAYED_LAG_S)
        is_steady = now < STEADY_LOAD_S
        rate = asked * customer.rate * (1.0 if is_steady else surge)
        for _ in range(poisson(rng, rate * SIMULATION_STEP_S)):
            is_admitted = quotas[rng.randrange(hosts)].take(customer, now)
            if is_admitted:
                context.admitted.append(now)
            if is_steady and now > 2.0:
                context.steady_asked += 1
                context.steady_refused += not is_admitted


def poisson(rng, mean):
    """Return a random number of arrivals, Poisson distributed.

    :param mean: expected number of arrivals.
    """
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def newest_report(history, index, now):
    """Return the newest report of all other hosts that has arrived by now."""
    for known_at, counts in reversed(history):
        if known_at <= now:
            others = [item for other, item in enumerate(counts) if other != index]
            admitted = sum(item[0].get("c", 0) for item in others)
            demand = sum(item[1].get("c", 0.0) for item in others)
            hosts = len(others)
            return [QuotaReport(("r", 1), {"c": admitted}, {"c": demand}, hosts)]
    return []


@then("at most {percent:g} percent of the requests before the surge are refused")
def then_few_refused(context, percent):
    """Check the refusals while the customer stayed below its rate."""
    allowed = percent / 100 * context.steady_asked
    assert context.steady_refused <= allowed, (
        context.steady_refused,
        context.steady_asked,
    )


def numbered_settings(context, number):
    """Return the settings of one host.

    The first four, two in each data centre, have the most cores.
    """
    data_centre = number % 2
    zones = {"dc-0": "north", "dc-1": "south"}
    settings = make_settings(context.store.port, data_centres=dumps(zones))
    return with_location(
        settings, f"h-{number:02d}", data_centre, 3.0 if number < 4 else 0.5
    )


def with_location(settings, name, number, cores):
    """Return settings with another name, data centre and number of cores."""
    region = ("north", "south")[number]
    return replace(
        settings,
        host=HostSection(name, region, f"dc-{number}"),
        limits=LimitsSection(cores=cores),
    )


async def start_store(context):
    """Start the store with a configuration and a server."""
    context.store = StandInStore()
    await context.store.start()
    cfg = make_configuration(1, DEFAULT_ROUTES)
    await context.store.write("config", "main", cfg)
    server = StandInServer("s-1", zone="dc-0")
    await server.start()
    await context.store.write("servers", "s-1", server.registration())


@given("{count:d} hosts in 2 data centres")
def given_fleet(context, count):
    """Start the fleet."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts = []
    context.version = 1

    async def begin():
        await start_store(context)
        settings = [numbered_settings(context, number) for number in range(count)]
        await gather(*(start_host(context, item) for item in settings))

    context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: context.loop_thread.run(gather_all([h.close() for h in context.hosts]))
    )


async def gather_all(calls):
    """Wait for several calls."""
    await gather(*calls)


def store_followers(context):
    """Return the names of hosts that follow the store."""
    return {host._own.host for host in context.hosts if host._store_sync._watch_tasks}


def directory_hosts(host):
    """Return the names of the other hosts that a host's directory may list."""
    hosts = host._topology.ready_hosts(host._loop.time())
    return {item.member.host for item in hosts}


@then(
    "within {seconds:g} s only the relays follow the store, "
    "and every host knows its region"
)
def then_relays_follow(context, seconds):
    """Wait until only the four strong hosts follow the store."""
    regions = {}
    for host in context.hosts:
        regions.setdefault(host._own.region, set()).add(host._own.host)

    def knows(host):
        known = directory_hosts(host)
        same_region = regions[host._own.region]
        return (
            same_region - known == {host._own.host}
            and len(known - same_region) >= OTHER_REGION_HOST_LIMIT
        )

    def settled():
        relays = {"h-00", "h-01", "h-02", "h-03"}
        return store_followers(context) == relays and all(map(knows, context.hosts))

    context.loop_thread.run(wait_until(settled, seconds))


@then("all hosts derive the same fleet size")
def then_same_size(context):
    """Compare the fleet sizes that the hosts have derived."""
    sizes = {host._topology.fleet_size(host._loop.time()) for host in context.hosts}
    assert sizes == {len(context.hosts)}, sizes


@when("the operator writes a new configuration")
def when_new_configuration(context):
    """Write the next version of the configuration."""
    context.version += 1
    cfg = make_configuration(context.version, DEFAULT_ROUTES)
    context.store_followers = store_followers(context)
    context.loop_thread.run(context.store.write("config", "main", cfg))


@then("within {seconds:g} s all hosts have it")
def then_all_have(context, seconds):
    """Wait until all hosts have the version."""

    def version_of(host):
        cfg = host._view.configuration
        return cfg.version if cfg is not None else None

    have = lambda host: version_of(host) == context.version
    try:
        context.loop_thread.run(
            wait_until(lambda: all(map(have, context.hosts)), seconds)
        )
    except AssertionError as exc:
        lacking = {
            host._own.host: (version_of(host), host._view.revisions)
            for host in context.hosts
            if not have(host)
        }
        raise AssertionError(
            f"{lacking} lack version {context.version}; "
            f"{sorted(store_followers(context))} follow the store"
        ) from exc


@then("within {seconds:g} s all hosts have it, most of them from a relay")
def then_most_have_from_relay(context, seconds):
    """Wait until all hosts have the version; less than half follow the store."""
    then_all_have(context, seconds)
    assert len(store_followers(context)) < len(context.hosts) / 2, store_followers(
        context
    )


@when("both relays of a data centre are killed")
def when_relays_killed(context):
    """End the two strong hosts of the first data centre without a last heartbeat."""
    killed = [host for host in context.hosts if host._own.host in ("h-00", "h-02")]
    context.hosts = [host for host in context.hosts if host not in killed]
    context.killed_hosts = {host._own.host for host in killed}

    async def kill():
        for host in killed:
            host._peer_protocol._transport.abort()
            await host.close()

    context.loop_thread.run(kill())


@then("within {seconds:g} s other hosts of that data centre follow the store instead")
def then_taken_over(context, seconds):
    """Wait until two other hosts of the data centre follow the store."""

    def taken_over():
        local = [h for h in context.hosts if h._own.data_centre == "dc-0"]
        return sum(bool(host._store_sync._watch_tasks) for host in local) >= 2

    context.loop_thread.run(wait_until(taken_over, seconds))


@then(
    "in the next {seconds:g} s at most {count:d} hosts follow the store at any time, "
    "and {last:d} at last"
)
def then_no_rush(context, seconds, count, last):
    """Sample which hosts follow the store, and how many hosts each one counts."""
    samples = []
    context.smallest_fleet_sizes = []

    async def sample():
        for _ in range(int(seconds / 0.05)):
            samples.append(len(store_followers(context)))
            context.smallest_fleet_sizes.append(
                min(h._topology.fleet_size(h._loop.time()) for h in context.hosts)
            )
            await sleep(0.05)

    context.loop_thread.run(sample())
    assert max(samples) <= count and samples[-1] == last, samples


@then("no host counted fewer than {count:d} hosts meanwhile")
def then_size_kept(context, count):
    """Check the samples."""
    assert min(context.smallest_fleet_sizes) >= count, context.smallest_fleet_sizes


@then("look-ups return none of the killed hosts within {seconds:g} s")
def then_not_named(context, seconds):
    """Wait until no host lists them."""
    are_unlisted = lambda: (
        not any(directory_hosts(host) & context.killed_hosts for host in context.hosts)
    )
    context.loop_thread.run(wait_until(are_unlisted, seconds))


@then("within {seconds:g} s {count:d} hosts of each data centre follow the store")
def then_few_follow(context, seconds, count):
    """Wait until the hosts that replaced the relays for a while have stopped."""

    def settled():
        data_centres = [
            host._own.data_centre
            for host in context.hosts
            if host._store_sync._watch_tasks
        ]
        return [data_centres.count(name) for name in ("dc-0", "dc-1")] == [count, count]

    context.loop_thread.run(wait_until(settled, seconds))


@when("both relays of a data centre lose the store")
def when_relays_disconnected(context):
    """Let all calls of the two relays to the store fail, including waiting watches."""

    async def cut():
        for host in context.hosts:
            if host._own.host in ("h-00", "h-02"):
                host._store._address = ("127.0.0.1", 9)
                host._store_sync.reconnect()

    context.loop_thread.run(cut())


@when("a host starts that cannot reach the store and knows one seed")
def when_host_starts_without_store(context):
    """Start a host whose store address has no listener."""
    seed = context.hosts[5]._settings.listen.peers

    async def begin():
        settings = make_settings(9, seeds=seed)
        context.new_host = await start_host(
            context, with_location(settings, "late", 0, 0.5)
        )

    context.loop_thread.run(begin())


@then(
    "within {seconds:g} s it knows the configuration "
    "and counts at least {count:d} hosts"
)
def then_host_knows_fleet(context, seconds, count):
    """Wait until it has the configuration and the fleet size from its seed."""
    host = context.new_host

    def knows():
        size = host._topology.fleet_size(host._loop.time())
        return host._view.configuration is not None and size >= count

    context.loop_thread.run(wait_until(knows, seconds))


def empty_view():
    """Return a view without any objects."""
    decoders = Decoders(decode_configuration, decode_server, "main")
    return FleetView(decoders, lambda change: None)


@then("edits since a revision result in the same view as the whole topic")
def then_edits(context):
    """Update views that stopped at each revision by edits alone."""
    rng = Random(5)
    source = empty_view()
    copies = {}
    source.replace(Topic.EVACUATIONS, 1, {"z-0": {}}, "store", 0.0)
    for revision in range(2, 40):
        copy = empty_view()
        copy.replace(Topic.EVACUATIONS, *source.snapshot(Topic.EVACUATIONS), "p", 0.0)
        copies[source.revisions[Topic.EVACUATIONS]] = copy
        name = f"z-{rng.randrange(5)}"
        edit = (name, {} if rng.random() < 0.6 else None)
        if rng.random() < 0.3:
            specs = {f"z-{n}": {"at": revision} for n in range(rng.randrange(4))}
            source.replace(Topic.EVACUATIONS, revision, specs, "store", 0.0)
        else:
            source.apply(Topic.EVACUATIONS, revision, [edit], "store", 0.0)
    newest, specs = source.snapshot(Topic.EVACUATIONS)
    for known, copy in copies.items():
        edits = source.edits_since(Topic.EVACUATIONS, known)
        copy.apply(Topic.EVACUATIONS, newest, edits, "p", 0.0)
        assert copy.snapshot(Topic.EVACUATIONS) == (newest, specs), known
        assert copy.evacuated == source.evacuated


@then("a host that knows a server of between two lists gets the whole topic")
def then_whole_topic(context):
    """List a topic before an object is written and after it was removed."""
    view = empty_view()
    view.replace(Topic.EVACUATIONS, 1, {"z": {}}, "store", 0.0)
    view.replace(Topic.EVACUATIONS, 9, {"z": {}}, "store", 0.0)
    view.apply(Topic.EVACUATIONS, 10, [("y", {})], "store", 0.0)
    assert view.edits_since(Topic.EVACUATIONS, 5) is None
    assert view.edits_since(Topic.EVACUATIONS, 1) == [("y", {})]
    assert view.edits_since(Topic.EVACUATIONS, 9) == [("y", {})]


@then("edits from before the first kept delta are not returned")
def then_no_edits(context):
    """Apply more changes than the view keeps."""
    view = empty_view()
    view.replace(Topic.EVACUATIONS, 1, {"z": {}}, "store", 0.0)
    for revision in range(2, MAX_KEPT_VIEW_DELTAS + 4):
        view.apply(Topic.EVACUATIONS, revision, [("z", {"n": revision})], "s", 0.0)
    assert view.edits_since(Topic.EVACUATIONS, 2) is None
    assert view.edits_since(Topic.EVACUATIONS, 3) is not None


@then("a heartbeat with only the changed entries keeps the others")
def then_partial(context):
    """Apply partial heartbeats of one run of a host and of its next."""
    hosts = make_member_table()
    hosts.apply_heartbeat(make_heartbeat(admitted={"a": 1, "b": 2}), 0.0)
    hosts.apply_heartbeat(
        make_heartbeat(sequence=2, admitted={"b": 3}, is_complete=False), 0.2
    )
    assert hosts.records()[0].admitted == {"a": 1, "b": 3}
    hosts.apply_heartbeat(
        make_heartbeat(started=6, sequence=1, admitted={"b": 0}, is_complete=False), 0.4
    )
    assert hosts.records()[0].admitted == {"b": 0}


@then("a host that does not reply in time is unresponsive")
def then_unresponsive(context):
    """Let a host miss the time for its reply."""
    hosts = make_member_table()
    hosts.apply_heartbeat(make_heartbeat(), 0.0)
    record = hosts.records()[0]
    assert not record.is_unresponsive(inf)
    hosts.expect_replies([record.member], 10.0)
    assert not record.is_unresponsive(11.7)
    assert record.is_unresponsive(11.9)


@then("it stays so when no messages go to it any more, until it sends one")
def then_stays_unresponsive(context):
    """Stop expecting replies of an unresponsive host, as another relay took over."""
    hosts = make_member_table()
    hosts.apply_heartbeat(make_heartbeat(), 0.0)
    member = hosts.records()[0].member
    hosts.expect_replies([member], 10.0)
    hosts.expect_replies([], 12.0)
    assert hosts.records()[0].is_unresponsive(12.2)
    hosts.apply_heartbeat(make_heartbeat(sequence=2), 12.5)
    assert not hosts.records()[0].is_unresponsive(12.6)
    hosts.expect_replies([], 12.6)
    assert not hosts.records()[0].is_unresponsive(20.0)


@then("it may be tried again after 10 s, and a responsive one at any time")
def then_tried_again(context):
    """Expect replies again, later."""
    hosts = make_member_table()
    hosts.apply_heartbeat(make_heartbeat(), 0.0)
    member = hosts.records()[0].member
    hosts.expect_replies([member], 10.0)
    hosts.expect_replies([], 11.0)
    assert not hosts.records()[0].is_unresponsive(30.0)
    hosts.expect_replies([member], 40.0)
    hosts.expect_replies([], 42.0)
    assert hosts.records()[0].is_unresponsive(49.9)
    hosts.expect_replies([], 50.1)
    assert not hosts.records()[0].is_unresponsive(50.2)


@then("a single host admits no more than the bucket and the agreed excess")
def then_one_host_within_limit(context):
    """Request many tokens at the same moment."""
    customer = Customer("c", frozenset(), 5.0, 5.0, None, frozenset())
    quotas = CustomerQuotas(agreed_excess)
    for tick in range(40):
        quotas.update_shares([customer], [], 0, tick * 0.25)
    admitted = sum(quotas.take(customer, 9.75) for _ in range(100))
    assert admitted <= customer.burst + agreed_excess(customer), admitted


@then("no host of a large fleet admits more than 3 requests ahead of its share")
def then_few_admitted_ahead(context):
    """Send a surge to one host of a fleet whose bucket is full."""
    customer = Customer("c", frozenset(), 20.0, 20.0, None, frozenset())
    quotas = CustomerQuotas(agreed_excess)
    report = QuotaReport(("r", 1), {"c": 0}, {"c": 12.0}, 86)
    for tick in range(40):
        quotas.update_shares([customer], [report], 0, tick * 0.2, RELAYED_LAG_S)
    admitted = sum(quotas.take(customer, 7.8) for _ in range(100))
    assert 1 <= admitted <= MAX_ADMITTED_AHEAD, admitted
