"""Steps for decisions, over many simulated hosts where a rule is for all hosts."""

from random import Random

from behave import given, then, when
from hypothesis import example, settings, strategies
from hypothesis import given as for_all

from damasktally.decisions.affinity import AffinityRanking, rank_servers
from damasktally.decisions.customer_bucket import host_share
from damasktally.decisions.directory import DirectoryEntry, select_addresses
from damasktally.decisions.load import ServerLoads
from damasktally.decisions.outlier_detection import OutlierDetector
from damasktally.decisions.quota import CustomerQuotas, excess_limit
from damasktally.decisions.quota_report import QuotaReport
from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.retry_budget import RetryBudget
from damasktally.decisions.server_selection import MAX_CANDIDATE_SERVERS, choose_server
from damasktally.decisions.warmup_limiter import WarmupLimiter, warmup_tokens
from damasktally.decisions.watch_checks import WatchChecks
from damasktally.decisions.weighted_round_robin import WeightedRoundRobin
from damasktally.fleet.model import Customer, Server, WeightedService
from damasktally.fleet.topics import Topic

STEP_S = 0.005
TICK_S = 0.25
WARM_UP_S = 10.0
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
OBJECTS = [str(number).encode() for number in range(600)]


@given(
    "a customer with a rate and burst of {rate:g} "
    "that sends {requested:g} requests a second"
)
def given_customer(context, rate, requested):
    """Create a customer."""
    context.customer = Customer("c", frozenset(), rate, rate, None, frozenset())
    context.requested_per_s = requested


def agreed_excess(customer):
    """Return by how many requests a customer may exceed its bucket."""
    return excess_limit(customer, SLACK, OVERAGE, WINDOW_S)


def simulate(context, hosts, used, isolated=()):
    """Simulate Poisson arrivals at hosts that exchange reports four times a second.

    :param hosts: number of hosts.
    :param used: the hosts that get requests.
    :param isolated: the hosts that neither send nor receive reports.
    """
    rng = Random(7)
    customer = context.customer
    quotas = [CustomerQuotas(agreed_excess) for _ in range(hosts)]
    next_update_at = [rng.random() * TICK_S for _ in range(hosts)]
    reports = {}
    context.admitted = []
    context.refused = 0
    now = 0.0
    while now < WARM_UP_S + 40.0:
        now += STEP_S
        for index, quota in enumerate(quotas):
            if now < next_update_at[index]:
                continue
            next_update_at[index] += TICK_S
            if index not in isolated:
                reports[index] = QuotaReport(
                    (str(index), 1), quota.admitted(), quota.demand()
                )
            received = [
                report
                for peer, report in reports.items()
                if peer != index and index not in isolated
            ]
            quota.update_shares([customer], received, hosts - 1 - len(received), now)
        if now > WARM_UP_S and rng.random() < context.requested_per_s * STEP_S:
            if quotas[rng.choice(used)].take(customer, now):
                context.admitted.append(now)
            else:
                context.refused += 1


@when("its requests reach {hosts:d} hosts at random for 40 s")
def when_spread(context, hosts):
    """Simulate requests that reach all hosts."""
    simulate(context, hosts, range(hosts))


@when("its requests reach 2 of {hosts:d} hosts for 40 s")
def when_two_hosts(context, hosts):
    """Simulate a customer that uses two hosts only."""
    simulate(context, hosts, range(2))


@when("one of {hosts:d} hosts is isolated and all hosts get requests")
def when_isolated(context, hosts):
    """Simulate a host that neither sends nor receives reports."""
    simulate(context, hosts, range(hosts), isolated={0})


@then("at most {percent:g} percent of the requests are refused")
def then_refused(context, percent):
    """Check the ratio of refused requests."""
    total = len(context.admitted) + context.refused
    assert context.refused <= percent / 100 * total, (context.refused, total)


@then("no 5 s hold more than the limit allows")
def then_window(context):
    """Check each window of 5 s against the agreed limit."""
    customer = context.customer
    limit = (customer.rate * WINDOW_S + customer.burst) * (1 + OVERAGE) + SLACK
    admitted_at = context.admitted
    most = max(
        sum(start <= at < start + WINDOW_S for at in admitted_at)
        for start in admitted_at
    )
    assert most <= limit, (most, limit)


@then("for random demands and silent hosts the shares add up to at most 1")
def then_shares(context):
    """Check that all hosts together use no more than the limit."""
    demand_lists = strategies.lists(strategies.floats(0, 1e4), min_size=1, max_size=40)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @for_all(demand_lists, strategies.integers(0, 10))
    @example([5e-324], 0)
    def check(demands, silent_host_count):
        shares = [
            host_share(own, demands[:index] + demands[index + 1 :], silent_host_count)
            for index, own in enumerate(demands)
        ]
        hosts = len(demands) + silent_host_count
        assert sum(shares) <= 1 - silent_host_count / hosts + 1e-6

    check()


@then("12 hosts with 1000 requests in 10 s retry at most {most:d} of them")
def then_retries(context, most):
    """Check the sum of retries over all hosts."""
    retries = 0
    for _ in range(12):
        budget = RetryBudget(0.2, 10.0)
        for index in range(1000 // 12):
            now = index * 0.1
            budget.record_request(now)
            retries += budget.take(now, 64 / 12)
    assert 0 < retries <= most, retries


@then("for 1 to 100 hosts the warm-up tokens of a server add up to its whole rate")
def then_tokens(context):
    """Check that each token is assigned to one host."""
    for count in range(1, 101):
        hosts = [f"h-{number}" for number in range(count)]
        assigned = sum(warmup_tokens(host, hosts, "s-1", 9.2) for host in hosts)
        assert assigned == 9, (count, assigned)


@then("a host with 1 token sends 1 request in each second")
def then_warmup_limited(context):
    """Check the sliding window of the warm-up limiter."""
    limiter = WarmupLimiter()
    assert limiter.is_allowed("s", 1, 0.0)
    limiter.record("s", 0.0)
    assert not limiter.is_allowed("s", 1, 1.0)
    assert limiter.is_allowed("s", 1, 1.06)
    assert not limiter.is_allowed("s", 0, 9.0)


@then("1000 requests over weights 90 and 10 give 900 and 100, within 1")
def then_weights(context):
    """Check that requests are distributed by weight."""
    round_robin = WeightedRoundRobin()
    services = (WeightedService("a", 90), WeightedService("b", 10))
    picks = [round_robin.pick("r", services) for _ in range(1000)]
    assert abs(picks.count("a") - 900) <= 1


def server(name, region):
    """Return a server with 4 slots."""
    return Server(name, "svc", ("h", 1), f"dc-{region}", 4, False, 0.0, 1)


@given("34 servers in three regions of unequal size")
def given_servers(context):
    """Place servers unevenly, as in a real fleet."""
    context.regions = {
        region: [server(f"i-{region}-{number:04d}", region) for number in range(count)]
        for region, count in (("a", 4), ("b", 14), ("c", 16))
    }


def first_servers(regions, home):
    """Return the preferred server of each object."""
    return [rank_servers(key, home, regions, 3)[0] for key in OBJECTS]


@then("fewer than {percent:d} percent of the first servers change when one joins")
def then_few_change(context, percent):
    """Check that a joining server moves few objects."""
    before = first_servers(context.regions, "b")
    grown = {**context.regions, "b": [*context.regions["b"], server("i-new", "b")]}
    after = first_servers(grown, "b")
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    assert 0 < moved < percent / 100 * len(OBJECTS), moved


@then("only objects of a server that leaves change their first server")
def then_leaving(context):
    """Check that a leaving server moves its own objects alone."""
    leaving = context.regions["b"][0].id
    before = first_servers(context.regions, "b")
    after = first_servers({**context.regions, "b": context.regions["b"][1:]}, "b")
    for old, new in zip(before, after, strict=True):
        assert old == new or old == leaving


@then("a region with a third of the slots or more serves all objects at home")
def then_at_home(context):
    """Check regions with at least an equal share of the slots."""
    for home in ("b", "c"):
        assert all(
            name.startswith(f"i-{home}")
            for name in first_servers(context.regions, home)
        )


@then(
    "a region with 16 of 136 slots serves {low:d} to {high:d} percent of them at home"
)
def then_partly_at_home(context, low, high):
    """Check the region with less than an equal share of the slots."""
    served_at_home = sum(
        name.startswith("i-a") for name in first_servers(context.regions, "a")
    )
    assert low <= 100 * served_at_home / len(OBJECTS) <= high, served_at_home


def ranked(context):
    """Return the servers in the order that one object prefers."""
    by_id = {s.id: s for group in context.regions.values() for s in group}
    return [by_id[name] for name in rank_servers(b"1", "b", context.regions, 3)]


@then("an object's request goes to one of its first 2 servers or to none")
def then_bounded(context):
    """Check that only a bounded number of servers is considered."""
    order = ranked(context)
    full = {item.id for item in order[:MAX_CANDIDATE_SERVERS]}
    outstanding = lambda item: 100.0 if item.id in full else 0.0
    assert choose_server(order, outstanding, 1) is None
    last = order[MAX_CANDIDATE_SERVERS - 1]
    assert choose_server(order, lambda item: 0.0 if item is last else 100.0, 1) is last
    beyond = order[MAX_CANDIDATE_SERVERS]
    assert (
        choose_server(order, lambda item: 0.0 if item is beyond else 100.0, 1) is None
    )


@then("a request goes to the first server while that one has room")
def then_first(context):
    """Check the preferred server."""
    order = ranked(context)
    assert choose_server(order, lambda item: 3.0, 1) is order[0]


@then("a more urgent request finds room where a less urgent one does not")
def then_urgent(context):
    """Check the queue limits of two priorities."""
    order = ranked(context)
    assert choose_server(order, lambda item: 6.0, 0) is not None
    assert choose_server(order, lambda item: 6.0, 3) is None


@given("a service that has answered nothing yet")
def given_no_answers(context):
    """Start without response times."""
    context.response_times = ResponseTimes()


@when("{count:d} answers took {seconds:g} s each")
def when_answers(context, count, seconds):
    """Record response times."""
    for _ in range(count):
        context.response_times.record("cart", seconds)


@then("callers are asked to retry after {seconds:g} s")
def then_retry_after(context, seconds):
    """Check the wait, to which jitter is added later."""
    wait_s = context.response_times.expected_wait_s("cart")
    assert abs(wait_s - seconds) < 0.01 * seconds, wait_s


@then("one refused connection pauses a server for 0.5 s and the next for 1 s")
def then_paused(context):
    """Check that the pause doubles, and that a success is recorded."""
    detector = OutlierDetector()
    assert detector.record_failure("s", 0.0, unreachable=True)
    assert not detector.is_usable("s", 0.4)
    assert detector.is_usable("s", 0.6)
    assert detector.record_failure("s", 0.6, unreachable=True)
    assert not detector.is_usable("s", 1.5)
    assert detector.record_success("s")
    assert not detector.record_success("s")


@then("one failed answer does not pause a server and two in a row do")
def then_two_in_a_row(context):
    """Check a single failure and a second one."""
    detector = OutlierDetector()
    assert not detector.record_failure("s", 0.0, unreachable=False)
    assert detector.is_usable("s", 0.0)
    assert detector.record_failure("s", 0.1, unreachable=False)


@then("a server that answers half of its requests with failures is paused")
def then_failure_rate(context):
    """Check a server whose failures are never consecutive."""
    detector = OutlierDetector()
    paused = False
    for number in range(40):
        paused |= detector.record_failure("s", number * 5.0, unreachable=False)
        detector.record_success("s")
    assert paused


@then("a report of 3 requests beside 1 own counts as 4 and expires within 1 s")
def then_reported(context):
    """Check that the weight of a report falls with its age."""
    loads = ServerLoads()
    loads.begin("s")
    loads.begin("s")
    loads.record_report("s", 3, 1, None, 10.0)
    loads.end("s")
    assert loads.estimate("s", 10.0) == 4.0
    assert 1.0 < loads.estimate("s", 10.5) < 4.0
    assert loads.estimate("s", 11.5) == 1.0


HOSTS = [
    DirectoryEntry("n-1", "north", "d1"),
    DirectoryEntry("n-2", "north", "d2"),
    DirectoryEntry("s-1", "south", "d3"),
    DirectoryEntry("e-1", "east", "d4"),
]


@then("a caller of north gets the hosts of north")
def then_own_region(context):
    """Check the caller's own region."""
    addresses = select_addresses(HOSTS, "north", frozenset({"south"}), Random(1))
    assert sorted(addresses) == ["n-1", "n-2"]


@then("a caller of a region without hosts gets the hosts of the home regions")
def then_home_regions(context):
    """Check the home regions."""
    assert select_addresses(HOSTS, "west", frozenset({"south"}), Random(1)) == ["s-1"]


@then("a caller of a region without hosts gets all hosts when there is no home")
def then_all(context):
    """Check a caller for whom no region is preferred."""
    assert len(select_addresses(HOSTS, "west", frozenset(), Random(1))) == len(HOSTS)


@then("a probe that answers after one that failed renews the watches once")
def then_renewed(context):
    """Check the first response after an outage."""
    checks = WatchChecks()
    assert not checks.take_failure(are_responses_lost=True)
    checks.record_failure()
    checks.record_failure()
    assert checks.take_failure(are_responses_lost=False)
    assert not checks.take_failure(are_responses_lost=True)
    checks.record_timeout()
    assert checks.take_failure(are_responses_lost=True)
    assert not checks.take_failure(are_responses_lost=True)


@then("a probe that answers after one that was late renews no watch")
def then_not_renewed(context):
    """Check the first response after one that came late."""
    checks = WatchChecks()
    checks.record_timeout()
    assert not checks.take_failure(are_responses_lost=False)
    assert not checks.take_failure(are_responses_lost=True)


CONFIGURATION, EVACUATIONS, SERVERS = Topic


@then("a topic is behind until its watch or a check of it reaches the probe's revision")
def then_behind(context):
    """Check topics of which one keeps changing."""
    checks = WatchChecks()
    known = {CONFIGURATION: 5, EVACUATIONS: 9, SERVERS: 5}
    assert checks.topics_behind(5, known) == []
    assert checks.topics_behind(9, known) == [CONFIGURATION, SERVERS]
    known[SERVERS] = 9
    assert checks.topics_behind(9, known) == [CONFIGURATION]
    checks.record_complete(CONFIGURATION, 9)
    assert checks.topics_behind(9, known) == []
    assert checks.complete_to(CONFIGURATION, 5) == 9
    assert checks.complete_to(CONFIGURATION, 11) == 11


@then("a store that stays ahead leaves a topic behind at each probe")
def then_ahead(context):
    """Check a topic whose watch delivers nothing while another one moves."""
    checks = WatchChecks()
    known = {CONFIGURATION: 5, EVACUATIONS: 5, SERVERS: 5}
    for revision in range(6, 20):
        known[SERVERS] = revision
        checks.record_complete(EVACUATIONS, revision)
        assert checks.topics_behind(revision, known) == [CONFIGURATION]


@then("a set of servers that replaces a deleted set is ranked anew")
def then_ranked_anew(context):
    """Check sets that may get the memory address of an earlier set."""
    ranking = AffinityRanking("a", {"dc-a": "a"})
    for number in range(200):
        servers = [server(f"i-{number}", "a")]
        assert ranking.rank("svc", servers, b"1") == (f"i-{number}",)
        del servers
