"""Steps that test urgent loan requests for waiting callers on a simulated clock."""

from behave import given, then, when

from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.hints import HintTable, SpareHint
from damasktally.escrow.lending import plan_loan_requests
from damasktally.escrow.limit_table import LimitTable, customer_limit_name
from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.escrow.urgent_loans import UrgentLoanRequests
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.resources.view import View

OWN_IDENTITY = "a/1"
PEER_IDENTITY = "b/1"
SEQUENCE = 7
LIMIT = customer_limit_name("acme")


def make_window():
    """Return a window in which two hosts share every limit."""
    members = (RosterHost("a", "1", "r", "d"), RosterHost("b", "1", "r", "d"))
    window = GenerationWindow(OWN_IDENTITY, 5.0)
    window.apply_roster(RosterView(1, members), [], [], 0.0)
    return window


def make_view():
    """Return a view with one customer whose burst is one request for each host."""
    spec = {"rate": 0.01, "burst": 2.0}
    customer = StoredObject(kind="Customer", name="acme", revision=1, spec=spec)
    return View().apply([ChangeEvent(object=customer)])


@given("a host without tokens that requested a loan from its only peer")
def ask_for_a_loan(context):
    context.now = 10.0
    limit_table = LimitTable(OWN_IDENTITY, make_window(), lambda: context.now)
    limit_table.refresh(make_view())
    context.hints = HintTable()
    context.hints.record(PEER_IDENTITY, [SpareHint(LIMIT, 0.0, 1.0)], context.now)
    context.urgent_loans = UrgentLoanRequests(limit_table, context.hints)
    assert context.urgent_loans.may_succeed(LIMIT)
    assert context.urgent_loans.try_start(LIMIT)
    assert list(plan_loan_requests(limit_table, context.hints, {LIMIT: 1.0})) == [
        PEER_IDENTITY
    ]
    context.urgent_loans.record_sent(LIMIT, [SEQUENCE])


@when("no answer has arrived for {seconds:g} s")
def pass_time_without_answer(context, seconds):
    context.now += seconds


@when("the answer grants no tokens")
def answer_without_tokens(context):
    context.hints.record(PEER_IDENTITY, [SpareHint(LIMIT, 0.0, 0.0)], context.now)
    context.urgent_loans.record_end(SEQUENCE)


@then("another caller has to wait")
def check_waits(context):
    assert context.urgent_loans.may_succeed(LIMIT)


@then("another caller is refused, because no peer has tokens")
def check_refused(context):
    assert not context.urgent_loans.may_succeed(LIMIT)
