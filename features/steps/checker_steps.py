"""Steps that break histories on purpose."""

from dataclasses import replace

from behave import given, then, when

from damasktally.verification.checkers import check_all
from damasktally.verification.history import (
    Accepted,
    Answered,
    Drained,
    History,
    InForce,
    Limits,
    LinkLimit,
    Ran,
    RateLimit,
    Stopped,
    Withdrawn,
)

RUN = Ran("r1", "ana", "s1", "h1", "GET", "", 10.0, 10.1, 100, 100, False, True)
ANSWER = Answered("r1", "ana", "k1", "h1", 200, "", "", 9.9, 10.2, True, False)


@given("a sound history")
def make_sound(context):
    limits = Limits(
        customers={"ana": RateLimit(10.0, 5.0)},
        slots={"s1": 2, "s2": 2},
        links={("east", "west"): LinkLimit(1_000.0, 5_000.0)},
        region_of={"h1": "east", "s1": "east", "s2": "west"},
    )
    history = History(limits)
    for event in (
        RUN,
        ANSWER,
        Withdrawn("k2", "ana", 20.0),
        Drained("s2", 20.0),
        Accepted(7, 20.0),
        InForce("h1", 6, 20.0),
        InForce("h1", 7, 25.0),
        Stopped("h2", 20.0, 30.0),
    ):
        history.add(event)
    context.history = history


@then("no checker finds anything")
def check_sound(context):
    assert check_all(context.history) == []


def flaws():
    """Return the events that each flaw adds."""
    return {
        "a burst of bytes over a link": [
            replace(RUN, request_id="r2", server="s2", bytes_in=9_000)
        ],
        "one more request than a server's slots": [
            replace(RUN, request_id=f"r{n}") for n in (2, 3)
        ],
        "a request that ran for another customer": [
            replace(RUN, request_id="r2", customer="bea", started_at=11.0, ended_at=12),
            replace(ANSWER, request_id="r2"),
        ],
        "a key that reached a server": [
            replace(RUN, request_id="r2", started_at=11.0, ended_at=12, key_seen=True)
        ],
        "a request with a key withdrawn 4 s before": [
            replace(RUN, request_id="r2", started_at=24.0, ended_at=24.1),
            replace(ANSWER, request_id="r2", key="k2"),
        ],
        "more requests than rate and burst": [
            replace(RUN, request_id=f"q{n}", server="s3", started_at=12.0)
            for n in range(12)
        ],
        "an answer that is not whole": [replace(ANSWER, request_id="r9", whole=False)],
        "a refusal as not run of a request that ran": [
            replace(ANSWER, status=503, outcome="not-run", whole=False)
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
        "a cut request of a host that stopped": [
            replace(
                ANSWER, request_id="", host="h2", ended_at=22.0, connection_failed=True
            )
        ],
        "a host that went back to an older revision": [InForce("h1", 6, 25.5)],
        "a host that lacks a revision after 7 s": [InForce("h3", 6, 27.0)],
    }


@when("{flaw} is added")
def add_flaw(context, flaw):
    for event in flaws()[flaw]:
        context.history.add(event)


@then("the checker {promise} finds it, and no other does")
def check_found(context, promise):
    found = {violation.promise for violation in check_all(context.history)}
    assert found == {promise}, found
