"""Steps that send requests over capped links."""

from threading import Event, Thread
from time import sleep

from behave import given, then, when
from common import wait_until

from damasktally.demo.callers import CallerClient
from damasktally.escrow.lending import RATE_LEASE_S
from damasktally.escrow.limit_table import (
    BYTES_PER_MBIT,
    LINK_BURST_S,
    reports_with_prefix,
)
from damasktally.verification.checkers import check_links, check_not_run
from damasktally.verification.history import History, LinkLimit

PATH = "/baskets/1"


@given("every link is capped at {mbit:g} Mbit/s and answers have {size:d} bytes")
def cap_links(context, mbit, size):
    fleet = context.fleet
    limits = fleet.history.limits
    for source, target in list(limits.links):
        spec = {"source": source, "target": target, "cap_mbit": mbit}
        fleet.commands.apply("Link", f"{source}-{target}", spec)
        rate = mbit * BYTES_PER_MBIT * 0.9
        limits.links[source, target] = LinkLimit(rate, rate * LINK_BURST_S)
    for server in fleet.servers.values():
        server.behaviour.response_bytes = size
    context.size = size

    def in_force():
        return all(
            abs(report.fleet_rate - rate) < 1
            for host in fleet.hosts
            for report in reports_with_prefix(host.limit_table.limit_reports(), "link:")
        )

    wait_until(in_force, what="the caps")
    # Loans that were made under the old cap expire with their lease.
    sleep(RATE_LEASE_S + 0.5)


@given("the servers of {region} are drained")
def drain_region(context, region):
    fleet = context.fleet
    names = [n for n in fleet.servers if n.startswith(f"s-{region}")]
    for name in names:
        fleet.commands.apply("Drain", f"drain-{name}", {"server": name})
    context.region = region
    wait_until(
        lambda: all(set(names) <= h.view().drained_servers for h in fleet.hosts),
        what="the drains",
    )


@when("{count:d} callers of the host in {region} send without pause for {seconds:d} s")
def send_continuously(context, count, region, seconds):
    fleet = context.fleet
    host = next(h for h in fleet.hosts if h.settings.host.region == region)
    entry = host.settings.caller.address
    stopping = Event()
    context.run_count_before = len(fleet.history.runs)
    context.results = []

    def send():
        client = CallerClient(
            [entry], "", fleet.credentials["ana"], fleet.history, context.size
        )
        while not stopping.is_set():
            name = host.settings.host.name
            context.results.append(client.send_to(name, entry, "GET", PATH))

    threads = [Thread(target=send, daemon=True) for _ in range(count)]
    for thread in threads:
        thread.start()
    stopping.wait(seconds)
    stopping.set()
    for thread in threads:
        thread.join()


def cross_region_history(context):
    """Return the history of this scenario's requests that ran in another region."""
    fleet = context.fleet
    region_of = fleet.history.limits.region_of
    runs = [
        run
        for run in fleet.history.runs[context.run_count_before :]
        if region_of.get(run.host) != region_of.get(run.server)
    ]
    return History(fleet.history.limits, runs=runs)


@then("more than {count:d} requests crossed to another region")
def check_cross_region_count(context, count):
    assert len(cross_region_history(context).runs) > count, len(
        cross_region_history(context).runs
    )


@then("no link carried more than its cap")
def check_link_caps(context):
    assert check_links(cross_region_history(context)) == []


@then("no request crossed, and all were refused as not run for a full link")
def check_refused_as_link_full(context):
    assert cross_region_history(context).runs == []
    found = {(a.reason, a.outcome) for a in context.results}
    assert found <= {("link-full", "not-run"), ("no-slot", "not-run")}, found
    assert ("link-full", "not-run") in found, found


@then("no request that was refused as not run ran")
def check_refusals(context):
    assert check_not_run(context.fleet.history) == []
