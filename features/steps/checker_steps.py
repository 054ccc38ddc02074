"""Steps that add violations to a valid history."""

from dataclasses import replace

from behave import given, then, when

from damasktally.verification.checkers import check_all
from damasktally.verification.history import (
    ConfigurationChange,
    History,
    HostShutdown,
    KeyWithdrawal,
    LinkLimit,
    RateLimit,
    RequestResult,
    RequestRun,
    RevisionSample,
    RunLimits,
    ServerDrain,
)

RUN = RequestRun("r1", "ana", "s1", "h1", "GET", "", 10.0, 10.1, 100, 100, False, True)
RESULT = RequestResult("r1", "ana", "k1", "h1", 200, "", "", 9.9, 10.2, True, False)


@given("a valid history")
def make_valid_history(context):
    limits = RunLimits(
        customers={"ana": RateLimit(10.0, 5.0)},
        slots={"s1": 2, "s2": 2},
        links={("east", "west"): LinkLimit(1_000.0, 5_000.0)},
        region_of={"h1": "east", "s1": "east", "s2": "west"},
    )
    history = History(limits)
    for event in (
        RUN,
        RESULT,
        KeyWithdrawal("k2", "ana", 20.0),
        ServerDrain("s2", 20.0),
        ConfigurationChange(7, 20.0),
        RevisionSample("h1", 6, 20.0),
        RevisionSample("h1", 7, 25.0),
        HostShutdown("h2", 20.0, 30.0),
    ):
        history.add(event)
    context.history = history


@then("no checker reports a violation")
def check_no_violation(context):
    assert check_all(context.history) == []


def flaw_events():
    """Return the events that each flaw adds to the history."""
    return {
        "a burst of bytes over a link": [
            replace(RUN, request_id="r2", server="s2", bytes_in=9_000)
        ],
        "one more request than a server's slots": [
            replace(RUN, request_id=f"r{n}") for n in (2, 3)
        ],
        "a request that ran for another customer": [
            replace(RUN, request_id="r2", customer="bea", started_at=11.0, ended_at=12),
            replace(RESULT, request_id="r2"),
        ],
        "a key that reached a server": [
            replace(RUN, request_id="r2", started_at=11.0, ended_at=12, has_secret=True)
        ],
        "a request with a key withdrawn 4 s before": [
            replace(RUN, request_id="r2", started_at=24.0, ended_at=24.1),
            replace(RESULT, request_id="r2", key_name="k2"),
        ],
        "more requests than rate and burst": [
            replace(RUN, request_id=f"q{n}", server="s3", started_at=12.0)
            for n in range(12)
        ],
        "an incomplete response": [replace(RESULT, request_id="r9", is_complete=False)],
        "a refusal as not run of a request that ran": [
            replace(RESULT, status=503, outcome="not-run", is_complete=False)
        ],
        "a payment that ran twice": [
            replace(
                RUN, request_id="r2", method="POST", started_at=at, ended_at=at + 0.1
            )
            for at in (11.0, 12.0)
        ],
        "an idempotency key that ran twice": [
            replace(
                RUN,
                request_id=f"r{at}",
                method="POST",
                idempotency_key="i",
                started_at=at,
                ended_at=at + 0.1,
            )
            for at in (11.0, 12.0)
        ],
        "work for a server drained 4 s before": [
            replace(RUN, request_id="r2", server="s2", host="h9", started_at=24.0)
        ],
        "an aborted request of a host that stopped": [
            replace(
                RESULT, request_id="", host="h2", ended_at=22.0, connection_failed=True
            )
        ],
        "a host that went back to an older revision": [RevisionSample("h1", 6, 25.5)],
        "a host that lacks a revision after 7 s": [RevisionSample("h3", 6, 27.0)],
    }


@when("{flaw} is added")
def add_flaw(context, flaw):
    for event in flaw_events()[flaw]:
        context.history.add(event)


@then("only the checker {guarantee} reports a violation")
def check_found(context, guarantee):
    found = {violation.guarantee for violation in check_all(context.history)}
    assert found == {guarantee}, found
