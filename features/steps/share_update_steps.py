"""Steps for updates of the shares that are combined."""

from asyncio import run, sleep
from dataclasses import dataclass
from types import SimpleNamespace

from behave import given, then, when
from boundary_steps import make_member_table

from damasktally.entry.peers import PeerProtocol
from damasktally.entry.share_updates import MIN_INTERVAL_S, ShareUpdates
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    RelaySummary,
    SummaryRecord,
    SummaryTable,
)

RATE = 20.0
MARGIN_S = 0.04
"""Time that is left for another update, which would be a fault."""


@dataclass
class Run:
    """What happened to a host whose summaries arrive at given moments.

    :param started_at: time of the first update.
    :param updated_at: times of all updates.
    """

    started_at: float
    updated_at: list[float]


def make_summary(relay, sequence, admitted):
    """Return a summary of the whole fleet."""
    return RelaySummary(
        relay=relay,
        started_ms=1,
        sequence=sequence,
        peer_host="127.0.0.1",
        peer_port=1,
        scope=WHOLE_FLEET,
        data_centre_hosts=[],
        live_host_count=30,
        silent_host_count=0,
        revisions=(1, 1, 1),
        demand={"c": RATE},
        admitted={"c": admitted},
        is_complete=True,
        store_age_s=0.0,
        included_heartbeats={},
    )


def make_record(sequence, admitted):
    """Return the record of a summary."""
    summary = make_summary("r-1", sequence, admitted)
    return SummaryRecord(summary, [], summary.demand, summary.admitted, 0.0, {})


async def play(context):
    """Let summaries arrive, two with steady counts and one with a surge."""
    updated_at = []
    updates = ShareUpdates(updated_at.append, lambda: {"c": RATE})
    now = updates._loop.time
    updates.handle_counts(make_record(1, 100), now())
    context.run = Run(updated_at[0], updated_at)
    updates.handle_counts(make_record(2, 102), now())
    updates.handle_counts(make_record(3, 103), now())
    await sleep(MIN_INTERVAL_S + MARGIN_S)
    context.counts_before_surge = len(updated_at)
    updates.request(now())
    context.counts_at_surge = len(updated_at)
    updates.handle_counts(make_record(4, 130), now())
    context.counts_after_surge = len(updated_at)
    await sleep(MIN_INTERVAL_S + MARGIN_S)
    updates.close()


@given("a host that updated its shares just now")
def given_updated(context):
    """Run all, as the moments matter."""
    run(play(context))


@when("two summaries with steady counts arrive")
def when_steady_counts(context):
    """See :func:`play`."""


@then("the shares are updated once, 50 ms after the update before")
def then_combined(context):
    """Check the number and the moment of the updates."""
    assert context.counts_before_surge == 2, context.run
    delay_s = context.run.updated_at[1] - context.run.started_at
    assert delay_s >= MIN_INTERVAL_S - 1e-3, context.run


@when("a summary with a surge arrives right after")
def when_surge_arrives(context):
    """See :func:`play`."""


@then("the shares are updated at once")
def then_at_once(context):
    """Check that the update did not wait, and that none followed it."""
    assert context.counts_after_surge == context.counts_at_surge + 1, context.run
    assert context.counts_after_surge == len(context.run.updated_at), context.run


@then("a summary of a standby relay causes no update")
def then_standby_ignored(context):
    """Let the primary relay and the standby send a summary each."""
    received = []

    async def receive():
        peers = PeerProtocol(
            make_member_table(),
            SummaryTable(),
            SimpleNamespace(invalidate=lambda: None, is_relay=lambda now: False),
            SimpleNamespace(should_follow_store=lambda now: False),
            None,
            SimpleNamespace(handle_peer_revisions=lambda revisions: None),
            SimpleNamespace(record_summary=lambda summary, is_relay: None),
            lambda record, now: received.append(record.summary.relay),
        )
        for relay, sequence in (("r-1", 1), ("r-2", 1), ("r-1", 2), ("r-2", 2)):
            peers._handle_summary(make_summary(relay, sequence, 100), 1.0 + sequence)

    run(receive())
    assert received == ["r-1", "r-1"], received
