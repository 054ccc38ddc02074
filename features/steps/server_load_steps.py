"""Steps for the load that servers report and hosts tell each other of."""

from behave import given, then
from eliot import add_destinations, remove_destination

from damasktally.decisions.load import ServerLoads
from damasktally.events.catalogue import SERVER_REPORT_UNREADABLE
from damasktally.http1.messages import Response
from damasktally.platform.headers import decode_server_report, parse_load


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
