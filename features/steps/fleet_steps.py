"""Steps that run fleets of processes under load and faults."""

from threading import Thread
from time import sleep

from behave import given, then, when
from psutil import Process
from urllib3 import HTTPConnectionPool

from benchmarks.load import FleetLoad
from benchmarks.process_fleet import ProcessFleet
from benchmarks.requests import one_host_fleet
from damasktally.clock import seconds_since_boot
from damasktally.demo.scenarios import SCENARIOS
from damasktally.standins.server import FaultPlan
from damasktally.verification.checkers import check_all

MAX_CALL_DELAY_S = 1.0
UPLOAD_CHUNK_BYTES = 50_000


@given("{count:d} host processes of {name} under load at {percent:d} % of every rate")
def start_processes(context, count, name, percent):
    fleet = ProcessFleet(SCENARIOS[name]())
    context.cleanups.append(fleet.stop)
    fleet.start(count)
    fleet.wait_ready()
    sleep(3)  # The buckets of new incarnations start empty.
    load = FleetLoad(fleet, lambda plan: percent / 100)
    load.start()
    context.cleanups.append(load.stop)
    context.processes, context.load = fleet, load
    context.exit_codes = []


def run_event(context, event):
    """Cause one event of the table, such as a fault or a planned stop."""
    fleet = context.processes
    words = event.split()
    if event.startswith("withdraw"):
        fleet.withdraw_key(words[-1])
    elif event == "the platform goes down":
        fleet.platform.faults = FaultPlan(down=True)
        context.outage = (seconds_since_boot(), None)
    elif event == "the platform recovers":
        fleet.platform.faults = FaultPlan()
        context.outage = (context.outage[0], seconds_since_boot())
    elif event.startswith("pause"):
        fleet.processes[words[-1]].pause()
    elif event.startswith("resume"):
        fleet.processes[words[-1]].resume()
    elif event.startswith("kill"):
        fleet.kill_host(words[-1])
    elif event.startswith("drain"):
        fleet.drain_server(words[-1])
    elif event.startswith("stop"):
        stop = Thread(
            target=lambda: context.exit_codes.append(fleet.terminate_host(words[1]))
        )
        stop.start()
        context.stops = stop
    else:
        raise AssertionError(f"unknown event {event}")


@when("the following happens")
def run_events(context):
    started_at = seconds_since_boot()
    for row in context.table:
        while seconds_since_boot() - started_at < float(row["at"]):
            context.processes.sample_revisions()
            sleep(0.2)
        if row["event"] != "end":
            run_event(context, row["event"])
    context.load.stop()
    if hasattr(context, "stops"):
        context.stops.join()


@then("no guarantee was violated")
def check_guarantees(context):
    history = context.processes.history
    assert len(history.runs) > 1_000, len(history.runs)
    violations = check_all(history)
    assert not violations, "\n".join(
        f"{v.guarantee}: {v.detail}" for v in violations[:20]
    )


@then("at least {percent:d} % of the requests inside their rate were served")
def check_served(context, percent):
    served = refused = failed = 0
    withdrawn = {event.customer for event in context.processes.history.withdrawals}
    for name, generator in context.load.generators.items():
        if name in withdrawn:
            continue
        served += generator.stats.served
        refused += generator.stats.refused_within_rate
        failed += generator.stats.failed
    print(f"served {served}, refused in rate {refused}, failed {failed}")
    assert served >= percent / 100 * (served + refused + failed), (
        served,
        refused,
        failed,
    )


@then("keyed writes were refused as claim-unavailable only while the platform was down")
def check_claim_refusals(context):
    down_at, up_at = context.outage
    found = [
        result.ended_at
        for result in context.processes.history.results
        if result.reason == "claim-unavailable"
    ]
    assert found, "no keyed write was sent during the outage"
    assert min(found) >= down_at and max(found) <= up_at + MAX_CALL_DELAY_S, (
        min(found) - down_at,
        max(found) - up_at,
    )


@then("the stopped host ended with {code:d}")
def check_exit(context, code):
    assert context.exit_codes == [code], context.exit_codes


@then("no host logged a failure")
def check_logs(context):
    logs = context.processes.read_logs()
    assert "Traceback" not in logs, logs[logs.index("Traceback") - 200 :][:3000]
    assert '"event":900' not in logs


@given("one host process with servers next to it")
def start_one(context):
    fleet = one_host_fleet()
    context.cleanups.append(fleet.stop)
    fleet.start(1)
    fleet.wait_ready()
    context.processes = fleet
    host = next(iter(fleet.processes.values()))
    context.os_process = Process(host.process.pid)
    send_body(context, [b"x" * UPLOAD_CHUNK_BYTES])


def send_body(context, chunks):
    """Upload chunks through the host, once the customer has a token."""
    fleet = context.processes
    host, port = fleet.entry_addresses()[0].rsplit(":", 1)
    secret = fleet.credentials["ana"].secret
    pool = HTTPConnectionPool(host, int(port), retries=False)
    headers = {"Authorization": f"Bearer {secret}"}
    end = seconds_since_boot() + 20
    while seconds_since_boot() < end:
        if (
            pool.urlopen("GET", "/baskets", headers=headers, retries=False).status
            == 200
        ):
            break
        sleep(0.1)
    resp = pool.urlopen("POST", "/baskets", body=chunks, headers=headers, retries=False)
    assert resp.status == 200, resp.data


@when("a caller uploads {size:d} MB in chunks")
def upload(context, size):
    context.initial_rss = context.os_process.memory_info().rss
    context.peak_rss = context.initial_rss
    chunk = b"x" * UPLOAD_CHUNK_BYTES

    def chunks():
        for number in range(size * 1_000_000 // UPLOAD_CHUNK_BYTES):
            if number % 100 == 0:
                rss = context.os_process.memory_info().rss
                context.peak_rss = max(context.peak_rss, rss)
            yield chunk

    send_body(context, chunks())


@then("the server received {size:d} MB")
def check_uploaded(context, size):
    assert context.processes.history.runs[-1].bytes_in == size * 1_000_000


@then("the host's memory grew by less than {size:d} MB")
def check_memory(context, size):
    growth_mb = (context.peak_rss - context.initial_rss) / 1e6
    print(f"memory grew by {growth_mb:.1f} MB")
    assert growth_mb < size, growth_mb
