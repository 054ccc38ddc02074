"""Steps for the lease manager's decisions, without a network."""

from collections import Counter
from itertools import count

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies
from lease_model import LeaseModel

from damasktally.decisions.lease_terms import DropCause, LeaseOutcome, LeaseTerms
from damasktally.decisions.server_leases import MAX_WAITING, ServerLeases

END_OF_RUN_S = 5.0
"""Time after the last arrival in which everything ends."""


def make_terms(number=1, host="h-1", started_ms=1, **fields):
    """Return what a host asks for."""
    values = {
        "server": "s-1",
        "server_started_ms": 1,
        "slots": 4,
        "priority": 1,
        "customer": "acme",
        "wait_s": 0.5,
        "run_s": 0.1,
        **fields,
    }
    return LeaseTerms((host, started_ms, number), **values)


def make_leases():
    """Return a table that knows of no load."""
    return ServerLeases(lambda server, now: 0.0)


def outcomes_of(decisions):
    """Return the outcome by the number of the request."""
    return {decision.key[2]: decision.outcome for decision in decisions}


@given("{hosts:d} hosts and a server with {slots:d} slots")
def given_model(context, hosts, slots):
    """Create the model; runs take 0.1 s in the mean, messages 4 ms."""
    context.model = LeaseModel(hosts, slots)


@when("each host asks at once for a request that may wait {wait_s:g} s")
def when_all_ask(context, wait_s):
    """Let all hosts ask within a millisecond."""
    model = context.model
    for host in range(model.hosts):
        model.ask(host * 1e-5, host, f"c-{host % 10}", wait_s=wait_s)
    model.run_until(END_OF_RUN_S)


@when("customers load it to {percent:d} percent for {seconds:g} s")
def when_loaded(context, percent, seconds):
    """Add the flows of ten customers with waits of up to half a second."""
    model = context.model
    rate = percent / 100 * model.slots / model.run_s
    for number in range(10):
        model.add_flow(rate / 10, seconds, f"c-{number}")
    model.run_until(seconds + END_OF_RUN_S)


@when(
    "priority {first:d} needs {own:d} percent of it and priority {second:d} "
    "{other:d} percent for {seconds:g} s"
)
def when_two_priorities(context, first, own, second, other, seconds):
    """Add two flows of different priority of the same customers."""
    model = context.model
    for priority, percent in ((first, own), (second, other)):
        rate = percent / 100 * model.slots / model.run_s
        for number in range(5):
            model.add_flow(rate / 5, seconds, f"c-{number}", priority)
    model.run_until(seconds + END_OF_RUN_S)


@when(
    "{customers:d} customers need {percent:d} percent of it together "
    "for {seconds:g} s, and one of them sends {factor:d} times its part"
)
def when_flood(context, customers, percent, seconds, factor):
    """Add the flows; the first customer floods."""
    model = context.model
    rate = percent / 100 * model.slots / model.run_s / customers
    for number in range(customers):
        times = factor if number == 0 else 1
        model.add_flow(rate * times, seconds, f"c-{number}")
    model.run_until(seconds + END_OF_RUN_S)


@when(
    "customers load it to {percent:d} percent for {seconds:g} s "
    "while its manager is replaced every {interval:g} s"
)
def when_manager_replaced(context, percent, seconds, interval):
    """Replace the manager again and again."""
    model = context.model
    time = interval
    while time < seconds:
        model.at(time, model.replace_manager)
        time += interval
    when_loaded(context, percent, seconds)


@when(
    "hosts that hold all its leases die and {others:d} others ask {seconds:g} s later"
)
def when_hosts_die(context, others, seconds):
    """Let hosts get all leases and die; others ask once these may have expired."""
    model = context.model
    dying = list(range(model.slots))
    for host in dying:
        model.ask(0.0, host, "c")
    model.at(0.02, model.dead_hosts.update, dying)
    for number in range(others):
        model.ask(seconds, model.slots + number, "c", wait_s=0.4)
    model.run_until(seconds + END_OF_RUN_S)


def served(context, **fields):
    """Return how many requests with some properties were served, and their number."""
    found = [
        req
        for req in context.model.requests
        if all(getattr(req, name) == value for name, value in fields.items())
    ]
    return sum(req.ending == "served" for req in found), len(found)


@then("the server never has more than {most:d} requests")
def then_bounded(context, most):
    """Check the server's own count."""
    assert context.model.max_outstanding <= most, context.model.max_outstanding


@then("exactly {expected:d} are served")
def then_exactly(context, expected):
    """Count the requests that were sent."""
    assert served(context)[0] == expected, served(context)


@then("at least {least:d} are served")
def then_at_least(context, least):
    """Count the requests that were sent."""
    assert served(context)[0] >= least, served(context)


@then("every request is decided, and each refusal names a time up to {most:g} s")
def then_all_decided(context, most):
    """Check that no host waits for ever, and when callers are asked to return."""
    for req in context.model.requests:
        assert req.ending or req.host in context.model.dead_hosts, req
        if req.ending == "refused":
            assert 0 < req.retry_after_s <= most, req


@then("refusals that no request overtook arrive within {most:g} s")
def then_refused_at_once(context, most):
    """Check how long a caller waits for a refusal that is known at once."""
    for req in context.model.requests:
        if req.ending == "refused" and not req.was_queued:
            assert req.decided_at - req.asked_at <= most, req


@then("the server is busy for at least {percent:d} percent of {seconds:g} s")
def then_busy(context, percent, seconds):
    """Check that leases do not leave slots idle while requests wait."""
    model = context.model
    share = model.busy_s / (model.slots * seconds)
    assert share * 100 >= percent, share


@then("at least {percent:d} percent of priority {priority:d} are served")
def then_priority_served(context, percent, priority):
    """Check the share of one priority."""
    got, total = served(context, priority=priority)
    assert got * 100 >= percent * total, (got, total)


@then("the worst of the other customers is served to at least {percent:d} percent")
def then_others_served(context, percent):
    """Check the customers that keep to their rate."""
    customers = {req.customer for req in context.model.requests} - {"c-0"}
    shares = {name: served(context, customer=name) for name in customers}
    worst = min(got / total for got, total in shares.values())
    assert worst * 100 >= percent, shares


@then("the one that floods gets at least {percent:d} percent of what the others get")
def then_flood_served(context, percent):
    """Check that a flood does not take away what the customer had without it."""
    got = served(context, customer="c-0")[0]
    most = max(served(context, customer=f"c-{number}")[0] for number in range(1, 10))
    assert got * 100 >= percent * most, (got, most)


@then("no request is decided later than {seconds:g} s after its latest start")
def then_not_late(context, seconds):
    """Check that waits end in time."""
    for req in context.model.requests:
        late_s = req.decided_at - req.asked_at - req.wait_s
        assert late_s <= seconds, req


@when("one request may wait {wait_s:g} s among new ones that may wait {others:g} s")
def when_patient(context, wait_s, others):
    """Overload the server with requests that all have to start earlier."""
    model = context.model
    rate = 2 * model.slots / model.run_s
    for number in range(40):
        model.add_flow(rate / 40, 3.0, f"c-{number}", wait_s=others)
    context.patient = model.ask(0.5, 0, "patient", wait_s=wait_s)
    model.run_until(3.0 + END_OF_RUN_S)


@then("that request is served")
def then_patient_served(context):
    """Check that newer requests did not overtake it for ever."""
    assert context.patient.ending == "served", context.patient


@then("a request is repeated with the same decision, and leases are counted once")
def then_idempotent(context):
    """Send each request again, as after a lost reply."""
    leases = make_leases()
    for number in range(4):
        first = leases.request(make_terms(number), 0.0)
        again = leases.request(make_terms(number), 0.1)
        assert outcomes_of(first) == outcomes_of(again), (first, again)
    assert leases.leased_count("s-1") == 4
    for wait_s, outcome in ((0.5, LeaseOutcome.QUEUED), (0.0, LeaseOutcome.REFUSED)):
        terms = make_terms(10 + int(wait_s * 2), wait_s=wait_s)
        assert outcomes_of(leases.request(terms, 0.1))[terms.key[2]] is outcome
        assert outcomes_of(leases.request(terms, 0.1))[terms.key[2]] is outcome
    assert leases.leased_count("s-1") == 4


@then("a request that is replayed after its end, or overtaken by it, is dropped")
def then_replay_dropped(context):
    """Deliver a request again after its end, and one after its end alone."""
    leases = make_leases()
    terms = make_terms(1)
    leases.request(terms, 0.0)
    leases.end(terms.key, 0.1)
    assert leases.drop_cause(terms.key) is DropCause.REPLAYED
    leases.end(("h-1", 1, 2), 0.1)
    assert leases.drop_cause(("h-1", 1, 2)) is DropCause.REPLAYED
    for number in range(3, 2000):
        leases.end(("h-1", 1, number), 0.2)
    assert leases.drop_cause(terms.key) is DropCause.REPLAYED
    assert leases.drop_cause(("h-1", 1, 2000)) is None


@then("a new start of a host ends its leases, and messages of the old one are dropped")
def then_new_start(context):
    """Let a host with leases and a waiting request start again."""
    leases = make_leases()
    for number in range(5):
        leases.request(make_terms(number), 0.0)
    leases.request(make_terms(1, host="h-2"), 0.0)
    decisions = leases.request(make_terms(0, started_ms=2), 0.1)
    assert leases.leased_count("s-1") == 2, decisions
    granted = {d.key[0] for d in decisions if d.outcome is LeaseOutcome.GRANTED}
    assert granted == {"h-1", "h-2"}, decisions
    assert leases.drop_cause(("h-1", 1, 9)) is DropCause.OLD_START
    assert leases.end(("h-1", 1, 0), 0.2) == []
    assert leases.leased_count("s-1") == 2


@then("a server that starts again or ends refuses at once what waited for it")
def then_server_restarts(context):
    """Replace the process of a server, and then remove it."""
    leases = make_leases()
    for number in range(6):
        leases.request(make_terms(number), 0.0)
    decisions = leases.request(make_terms(6, server_started_ms=2), 0.1)
    assert outcomes_of(decisions) == {
        4: LeaseOutcome.REFUSED,
        5: LeaseOutcome.REFUSED,
        6: LeaseOutcome.GRANTED,
    }, decisions
    late = outcomes_of(leases.request(make_terms(7), 0.1))
    assert late == {7: LeaseOutcome.REFUSED}, late
    for number in range(8, 12):
        leases.request(make_terms(number, server_started_ms=2), 0.1)
    removed = outcomes_of(leases.remove_server("s-1", 0.2))
    assert removed == {11: LeaseOutcome.REFUSED}, removed


@then(
    "load that a report shows beyond the leases takes slots for {seconds:g} s at most"
)
def then_beyond_counts(context, seconds):
    """Report requests without a lease, and let the report age."""
    leases = make_leases()
    leases.request(make_terms(1), 0.0)
    leases.record_report("s-1", 1, 4, 0.05, 0.05)
    waiting = leases.request(make_terms(2, wait_s=2.0), 0.05)
    assert outcomes_of(waiting) == {2: LeaseOutcome.QUEUED}, waiting
    granted = leases.advance(0.05 + seconds)
    assert outcomes_of(granted) == {2: LeaseOutcome.GRANTED}, granted


@then("a report that is old, of another start or from the future changes nothing")
def then_report_ignored(context):
    """Send reports that must not take slots."""
    leases = make_leases()
    leases.request(make_terms(1, server_started_ms=5), 0.0)
    leases.record_report("s-1", 5, 1, 0.5, 0.5)
    leases.record_report("s-1", 5, 4, 0.4, 0.5)
    leases.record_report("s-1", 4, 4, 0.5, 0.5)
    leases.record_report("s-1", 5, 4, 0.9, 0.5)
    decisions = leases.request(make_terms(2, server_started_ms=5), 0.5)
    assert outcomes_of(decisions) == {2: LeaseOutcome.GRANTED}, decisions


@then("the end of a lease brings the load that the server's response reported")
def then_end_reports(context):
    """End a lease with a report of a full server, and with one of an idle server."""
    for outstanding, expected in (
        (4, LeaseOutcome.QUEUED),
        (3, LeaseOutcome.GRANTED),
        (0, LeaseOutcome.GRANTED),
    ):
        leases = make_leases()
        leases.request(make_terms(1), 0.0)
        leases.end(("h-1", 1, 1), 0.1, outstanding)
        decisions = leases.request(make_terms(2), 0.11)
        assert outcomes_of(decisions) == {2: expected}, (outstanding, decisions)


@then("a report that counts a lease that has ended since does not take its slot")
def then_report_not_counted_twice(context):
    """Let a lease end while a report from before its end is on the way."""
    leases = make_leases()
    for number in range(4):
        leases.request(make_terms(number), 0.0)
    for number in range(4):
        leases.end(("h-1", 1, number), 0.2)
    leases.record_report("s-1", 1, 4, 0.15, 0.25)
    decisions = leases.request(make_terms(9), 0.25)
    assert outcomes_of(decisions) == {9: LeaseOutcome.GRANTED}, decisions


@then("at most the bounded number of requests wait, the most urgent ones")
def then_queue_bounded(context):
    """Let many requests arrive whose waits are nearly unlimited."""
    leases = make_leases()
    for number in range(MAX_WAITING + 4):
        terms = make_terms(number, customer=str(number), wait_s=1e6)
        leases.request(terms, 0.0)
    more = make_terms(1000, customer="x", wait_s=1e6)
    assert outcomes_of(leases.request(more, 0.0)) == {1000: LeaseOutcome.REFUSED}
    urgent = make_terms(1001, customer="x", priority=0, wait_s=1e6)
    decided = list(outcomes_of(leases.request(urgent, 0.0)).values())
    assert decided == [LeaseOutcome.QUEUED, LeaseOutcome.REFUSED], decided
    assert sum(leases.waiting_by_priority().values()) == MAX_WAITING


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["ask", "ask", "end", "report", "wait", "again"]),
        strategies.integers(0, 30),
        strategies.integers(0, 3),
        strategies.floats(0.0, 1.0),
    ),
    max_size=80,
)


@then("for any schedule the leases fit the slots and each request is decided once")
def then_invariants(context):
    """Run random schedules; follow the decisions about each request."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(ACTIONS)
    def check(actions):
        leases, now = make_leases(), 0.0
        asked, finals, numbers = {}, {}, count()

        def record(decisions):
            for decision in decisions:
                is_final = decision.outcome is not LeaseOutcome.QUEUED
                previous = finals.get(decision.key)
                assert previous in (None, decision.outcome), decision
                if is_final:
                    finals[decision.key] = decision.outcome

        for action, index, priority, size in actions:
            known = list(asked.values())
            if action == "ask" or (not known and action in ("end", "again")):
                number = next(numbers)
                terms = make_terms(
                    number, customer=str(index % 3), priority=priority, wait_s=size
                )
                asked[number] = terms
                record(leases.request(terms, now))
            elif action == "end":
                record(leases.end(known[index % len(known)].key, now))
            elif action == "again":
                terms = known[index % len(known)]
                if leases.drop_cause(terms.key) is None:
                    record(leases.request(terms, now))
            elif action == "report":
                record(leases.record_report("s-1", 1, index, now, now))
            else:
                now += size
                record(leases.advance(now))
            assert leases.leased_count("s-1") <= 4
        record(leases.advance(now + 1000.0))
        assert not leases.has_waiting()
        leases.remove_unused(now + 2000.0)
        assert leases.servers() == []

    check()


@then("within a priority the first requests of all customers come before the second")
def then_fair_order(context):
    """Let one customer ask ten times before two others ask once."""
    leases = make_leases()
    for number in range(4):
        leases.request(make_terms(number, customer=f"busy-{number}"), 0.0)
    for number in range(10, 20):
        leases.request(make_terms(number, customer="flood", wait_s=9.0), 0.0)
    leases.request(make_terms(20, customer="a", wait_s=9.5), 0.01)
    leases.request(make_terms(21, customer="b", wait_s=9.5), 0.01)
    granted = []
    for number in (0, 1, 2, 3):
        decisions = leases.end(("h-1", 1, number), 0.1)
        granted += outcomes_of(decisions)
    assert granted == [10, 20, 21, 11], granted
    assert Counter(leases.waiting_by_priority()) == {1: 8}
