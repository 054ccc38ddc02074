"""Steps for hosts that restarted and know only some of the others.

The hosts exchange heartbeats on a simulated clock. One that restarted sends them to the
hosts that it has heard of, or to those that its settings name; one that did not restart
knows all hosts.
"""

from asyncio import run
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from boundary_steps import make_heartbeat

from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import CustomerQuotas
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.quota_reports import QuotaReports
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import MemberTable, member_from_heartbeat
from damasktally.fleet.model import Bounds, Customer, Server
from damasktally.fleet.summaries import SummaryTable

BOUNDS = Bounds(6.0, 5.0, 0.2, 10.0, 64.0, 20.0, 0.1, 5.0)
STEP_S = 0.02
HEARTBEAT_STEPS = 12
BEGIN_S = 100.0


class ModelHost:
    """A host with its table of the others and its quotas."""

    def __init__(self, number):
        self.name = f"h-{number:02d}"
        self.members = MemberTable(member_from_heartbeat(make_heartbeat(self.name)))
        summaries = SummaryTable()
        self.topology = FleetTopology(self.members, summaries)
        self.reports = QuotaReports(
            self.topology, self.members, summaries, HeartbeatHistory()
        )
        self.quotas = CustomerQuotas.from_bounds(BOUNDS)
        self.sequence = 0

    def heartbeat(self, now):
        """Return the next heartbeat."""
        self.sequence += 1
        return make_heartbeat(
            self.name,
            sequence=self.sequence,
            demand=dict(self.quotas.demand()),
            admitted=dict(self.quotas.admitted()),
            fleet_size=self.topology.known_fleet_size(now),
        )

    def update_shares(self, customer, now):
        """Divide the limit among the hosts that this one counts."""
        reports, silent_count, lag_s = self.reports.collect(now)
        self.quotas.update_shares([customer], reports, silent_count, now, lag_s)


@given(
    "{hosts:d} hosts of which {survivors:d} did not restart, "
    "and {seeds:d} that settings name"
)
def given_hosts(context, hosts, survivors, seeds):
    """Create the hosts; the last ones did not restart."""
    context.hosts = [ModelHost(number) for number in range(hosts)]
    context.seeds = {host.name for host in context.hosts[:seeds]}
    for survivor in context.hosts[hosts - survivors :]:
        for other in context.hosts:
            member = member_from_heartbeat(make_heartbeat(other.name))
            survivor.members.add(member, BEGIN_S)


@given("a customer may send {rate:d} requests a second and {burst:d} at once")
def given_customer(context, rate, burst):
    """Set the limit."""
    context.customer = Customer("acme", frozenset(), rate, burst, None, frozenset())


def exchange_heartbeats(context, now):
    """Let each host send a heartbeat to those that it knows."""
    by_name = {host.name: host for host in context.hosts}
    for host in context.hosts:
        known = set(host.members.names()) - {host.name}
        heartbeat = host.heartbeat(now)
        for name in (known or context.seeds) - {host.name}:
            by_name[name].members.apply_heartbeat(heartbeat, now)
    for host in context.hosts:
        host.topology.invalidate()


@when("each host gets {rate:d} requests a second of that customer for {seconds:d} s")
def when_requests(context, rate, seconds):
    """Send requests evenly, and keep when each one was admitted."""
    context.admitted_at = []
    for step in range(round(seconds / STEP_S)):
        now = BEGIN_S + step * STEP_S
        if step % HEARTBEAT_STEPS == 0:
            exchange_heartbeats(context, now)
            for host in context.hosts:
                host.update_shares(context.customer, now)
        due = int((step + 1) * rate * STEP_S) - int(step * rate * STEP_S)
        for host in context.hosts:
            admitted = sum(host.quotas.take(context.customer, now) for _ in range(due))
            context.admitted_at += [now] * admitted
    context.end = BEGIN_S + seconds


@then("at most {count:d} of them are admitted in any {window:d} s")
def then_limited(context, count, window):
    """Check each window that begins with an admitted request."""
    times = context.admitted_at
    last = 0
    for first, begin in enumerate(times):
        while last < len(times) and times[last] < begin + window:
            last += 1
        assert last - first <= count, (round(begin - BEGIN_S, 2), last - first)


@then("at least {count:d} of them are admitted in the last {window:d} s")
def then_some_admitted(context, count, window):
    """Check the end."""
    late = sum(at >= context.end - window for at in context.admitted_at)
    assert late >= count, late


@when("the hosts exchange heartbeats for {seconds:d} s")
def when_heartbeats(context, seconds):
    """Let the hosts learn of each other."""
    context.end = BEGIN_S + seconds
    for step in range(0, round(seconds / STEP_S), HEARTBEAT_STEPS):
        exchange_heartbeats(context, BEGIN_S + step * STEP_S)


def warmup_requests(context, rate):
    """Return how many requests a second all hosts may send to a server together."""
    cfg = SimpleNamespace(services={"svc": SimpleNamespace(warmup_rate=rate)})
    view = SimpleNamespace(configuration=cfg)
    server = Server("i-1", "svc", ("", 0), "dc-1", 4, False, 0, 1)

    async def count():
        return sum(
            ServerCandidates(
                view, host.members.own, host.topology, {}, Random(1)
            )._warmup_tokens(server, context.end)
            for host in context.hosts
        )

    return run(count())


@then(
    "they send a server that tolerates {rate:g} requests a second at most {most:d} "
    "together"
)
def then_warmup_bounded(context, rate, most):
    """Check the sum."""
    total = warmup_requests(context, rate)
    assert total <= most, total


@then("a server that tolerates {rate:g} requests a second gets at least {least:d}")
def then_warmup_used(context, rate, least):
    """Check that most of it is used."""
    total = warmup_requests(context, rate)
    assert total >= least, total
