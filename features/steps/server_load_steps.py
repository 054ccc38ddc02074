"""Steps for the load that servers report and hosts tell each other of."""

from itertools import permutations

import msgspec
from behave import given, then
from eliot import add_destinations, remove_destination

from damasktally.decisions.load import ServerLoads
from damasktally.decisions.load_reports import (
    MAX_REPORTS_PER_S,
    LoadOutbox,
    LoadReports,
)
from damasktally.events.catalogue import SERVER_REPORT_UNREADABLE
from damasktally.fleet.model import Server, ServerReport
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.server_loads import (
    MAX_LOADS_PER_HEARTBEAT,
    MAX_LOADS_PER_SUMMARY,
    ServerLoadReport,
)
from damasktally.http1.messages import Response
from damasktally.platform.headers import decode_server_report, parse_load

NOW = 100.0


def make_server(name="s", slots=6):
    """Return a server."""
    return Server(name, "svc", ("h", 1), "dc-0", slots, False, 0.0, 5)


def make_report(running, waiting=0, slowdown=None):
    """Return what a response of a server with 6 slots reports."""
    return ServerReport(running, waiting, None, slots=6, slowdown=slowdown)


def shared_report(running=9, server="s", started=5, age_ms=0):
    """Return a report that another host passes on."""
    return ServerLoadReport(server, started, running, 0, 100, age_ms)


def as_number(text):
    """Return the number that a cell of a table shows."""
    return None if text == "none" else float(text)


@then("load reports are decoded as by these cases")
def then_load_decoded(context):
    """Decode each value in a response."""
    for row in context.table:
        headers = [(b"server-load", row["value"].encode())]
        report = decode_server_report(Response(200, headers, b""))
        for name in ("running", "waiting", "slots", "slowdown"):
            assert getattr(report, name) == as_number(row[name]), (row, report)
        assert not report.unreadable, row


@given("the logged events are recorded")
def given_recorded(context):
    """Keep what is logged from now on."""
    record = context.logged = []
    add_destinations(record.append)
    context.add_cleanup(lambda: remove_destination(record.append))


@then("the event server-report-unreadable was logged once, for {header}")
def then_logged_once(context, header):
    """Look for the event among those that were logged."""
    number = SERVER_REPORT_UNREADABLE.number
    found = [item for item in context.logged if item.get("event") == number]
    assert len(found) == 1, found
    assert found[0]["server"] == context.first.id, found
    assert found[0]["headers"] == [header], found


@then(
    "the estimated load of the preferred server is {load:g} "
    "and its slowdown is {slowdown:g}"
)
def then_estimated(context, load, slowdown):
    """Check that nothing counts for the server."""
    loads, now = context.host._candidates.loads, context.loop_thread.loop.time()
    assert all(answer.status == 200 for answer in context.answers), context.answers
    assert loads.estimate(context.first.id, now) == load
    assert loads.slowdown(context.first.id, now) == slowdown


@then("a load report whose figures have {count:d} digits is malformed")
def then_long_figures(context, count):
    """Parse figures that are too long for a conversion to an integer."""
    assert parse_load(b",".join([b"9" * count] * 3)) is None


@then(
    "a slowdown of {slowdown:g} counts as {first:g} at first, less after {later:g} s, "
    "and as 1 after {end:g} s"
)
def then_slowdown_fades(context, slowdown, first, later, end):
    """Ask for the slowdown as the report ages."""
    loads = ServerLoads()
    loads.record_report("s", 1, 0, slowdown, 10.0)
    assert loads.slowdown("s", 10.0) == first
    assert 1.0 < loads.slowdown("s", 10.0 + later) < first
    assert loads.slowdown("s", 10.0 + end) == 1.0


@then("the slowdown of a server without a report is 1")
def then_no_slowdown(context):
    """Ask for a server that is unknown, and for one that reports no slowdown."""
    loads = ServerLoads()
    assert loads.slowdown("s", 10.0) == 1.0
    loads.record_report("s", 1, 0, None, 10.0)
    assert loads.slowdown("s", 10.0) == 1.0


@then("these reports beside own requests give these estimates")
def then_own_counted_once(context):
    """Record a report while own requests are outstanding."""
    for row in context.table:
        loads, reported = ServerLoads(), int(row["reported"])
        for _ in range(int(row["own"])):
            loads.begin("s")
        if row["received by"] == "this host":
            loads.record_report("s", reported, 0, None, NOW)
        else:
            loads.record_shared_report(shared_report(reported), NOW)
        assert loads.estimate("s", NOW) == float(row["estimate"]), row


@then("of {count:d} reports the newest counts, in whatever order they arrive")
def then_newest_counts(context, count):
    """Record the same reports in each order."""
    reports = [shared_report(9 - n, age_ms=100 * n) for n in range(count)]
    for order in permutations(reports):
        loads = ServerLoads()
        for report in order:
            loads.record_shared_report(report, NOW)
        assert loads.estimate("s", NOW) == 9, order


@then("these reports of another host are ignored after one that is {age:g} s old")
def then_ignored(context, age):
    """Record each report after a good one."""
    for row in context.table:
        loads = ServerLoads()
        good = shared_report(3, age_ms=round(age * 1000))
        assert loads.record_shared_report(good, NOW)
        names = ("started", "running", "waiting", "percent", "age")
        report = ServerLoadReport("s", *(int(row[name]) for name in names))
        assert not loads.record_shared_report(report, NOW), row
        assert loads.estimate("s", NOW) == 3, row


@then("the first report of a server's next process counts")
def then_next_process(context):
    """Record an older report of a later process, then one of the earlier process."""
    loads = ServerLoads()
    loads.record_shared_report(shared_report(9, started=5), NOW)
    assert loads.record_shared_report(shared_report(1, started=6, age_ms=50), NOW)
    assert not loads.record_report("s", 9, 0, None, NOW + 0.1, started_ms=5)
    assert loads.estimate("s", NOW) == 1


@then(
    "a process whose clock was set back counts {seconds:g} s after the last report "
    "of the other"
)
def then_clock_set_back(context, seconds):
    """Record reports of a process that seems to have started before the known one."""
    loads = ServerLoads()
    loads.record_report("s", 9, 0, None, NOW, started_ms=5)
    assert not loads.record_report("s", 4, 0, None, NOW + seconds - 0.01, started_ms=4)
    loads.begin("s")
    assert loads.record_report("s", 4, 0, None, NOW + seconds, started_ms=4)
    loads.end("s")
    assert loads.estimate("s", NOW + seconds) == 4
    later = NOW + 3 * seconds
    assert loads.record_shared_report(shared_report(7, started=3), later)
    assert loads.estimate("s", later) == 7


def take_loads(reports, outbox, scope=ReportScope.OWN, now=NOW):
    """Return the numbers of running requests that the next message carries."""
    return [report.running for report in reports.take(outbox, scope, now)]


@then("these loads of a server with 6 slots are passed on or not")
def then_busy_passed_on(context):
    """Record each load and build a message."""
    for row in context.table:
        reports = LoadReports()
        slowdown = as_number(row["slowdown"])
        report = make_report(int(row["running"]), int(row["waiting"]), slowdown)
        reports.record_own(make_server(), report, NOW)
        is_passed_on = bool(reports.take(LoadOutbox(), ReportScope.OWN, NOW))
        assert is_passed_on == (row["passed on"] == "yes"), row


@then("a server that stops being busy is passed on once more, also if it was told of")
def then_stop_passed_on(context):
    """Let the load of a server fall, after an own report and after another host's."""
    for scope in (ReportScope.OWN, ReportScope.DATA_CENTRE):
        reports, outbox = LoadReports(), LoadOutbox()
        if scope is ReportScope.OWN:
            reports.record_own(make_server(), make_report(3), NOW)
            assert take_loads(reports, outbox) == [3]
        else:
            reports.record(shared_report(3), 6, scope, NOW)
        for step, running in enumerate((2, 0, 0, 2)):
            report = make_report(running)
            reports.record_own(make_server(), report, NOW + 0.1 + 0.01 * step)
        assert take_loads(reports, outbox, now=NOW + 0.2) == [2]
        reports.record_own(make_server(), make_report(0), NOW + 0.3)
        assert take_loads(reports, outbox, now=NOW + 0.4) == []


@then("a report is passed on once, and its server's next ones as its load changes")
def then_changes_passed_on(context):
    """Report loads that change little, much, and little after a while."""
    reports, outbox, sent = LoadReports(), LoadOutbox(), []
    for step, load in enumerate((6, 6, 7, 10, 10, 11, 11)):
        now = NOW + 0.1 * step
        reports.record_own(make_server(), make_report(load), now)
        sent += [(step, load) for load in take_loads(reports, outbox, now=now)]
        assert take_loads(reports, outbox, now=now) == []
    assert sent == [(0, 6), (3, 10)], sent
    reports.record_own(make_server(), make_report(11), NOW + 0.81)
    assert take_loads(reports, outbox, now=NOW + 0.81) == [11]


@then("loads are passed on outwards only, and not when they are 1 s old")
def then_loads_outwards(context):
    """Check which reports messages of each scope carry."""
    for widest in ReportScope:
        reports = LoadReports()
        for scope in ReportScope:
            report = shared_report(scope + 4, server=f"s-{scope}")
            reports.record(report, 6, scope, NOW)
        sent = take_loads(reports, LoadOutbox(), widest, NOW + 0.9)
        assert sorted(sent) == [scope + 4 for scope in ReportScope if scope <= widest]
        assert not take_loads(reports, LoadOutbox(), widest, NOW + 1.01)


@then(
    "messages carry {heartbeat:d} or {summary:d} loads at most, the newest first, "
    "and {rate:d} a second"
)
def then_bounded(context, heartbeat, summary, rate):
    """Let 1,000 servers be busy."""
    assert heartbeat == MAX_LOADS_PER_HEARTBEAT and summary == MAX_LOADS_PER_SUMMARY
    assert rate == MAX_REPORTS_PER_S
    reports = LoadReports()
    for number in range(1000):
        report = shared_report(number, server=f"s-{number}", age_ms=999 - number)
        reports.record(report, 6, ReportScope.OWN, NOW)
    newest = list(range(999, -1, -1))
    own = take_loads(reports, LoadOutbox(), ReportScope.OWN)
    assert own == newest[:heartbeat]
    outbox = LoadOutbox()
    first = take_loads(reports, outbox, ReportScope.FLEET)
    assert first == newest[: min(summary, rate)]
    later = take_loads(reports, outbox, ReportScope.FLEET, NOW + 0.2)
    assert later == newest[len(first) :][: rate // 5]


@then("the age of a load grows with each host that passes it on")
def then_age_grows(context):
    """Pass a report through three hosts, which each hold it for 0.1 s."""
    report, now = shared_report(6), NOW
    for hop in range(1, 4):
        reports = LoadReports()
        reports.record(report, 6, ReportScope.FLEET, now)
        now += 0.1
        (report,) = reports.take(LoadOutbox(), ReportScope.FLEET, now)
        assert 100 * hop <= report.age_ms <= 102 * hop, report


@then("a load takes at most {limit:d} bytes in a message")
def then_load_is_small(context, limit):
    """Check the size of a report with an id and a start as servers have them."""
    report = ServerLoadReport("srv-north-07", 1792386136272, 6, 18, 250, 480)
    size = len(msgspec.msgpack.encode((report,))) - len(msgspec.msgpack.encode(()))
    assert size <= limit, size
