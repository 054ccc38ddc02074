"""Steps for host processes whose connections to servers are cut by proxies."""

import tempfile
from asyncio import create_task, gather, sleep
from collections import Counter
from pathlib import Path

from behave import given, then, when
from entry_harness import LoopThread, send_request
from fault_soak.checks import wait_until_settled
from fault_soak.fleet import SoakFleet, keys_of
from fault_soak.proxy import ClientCut
from fault_soak.server_cuts import begin_cut


@given("{hosts:d} processes and {servers:d} servers behind proxies")
def given_processes(context, hosts, servers):
    """Start the fleet, and wait until all hosts serve."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)

    async def begin():
        context.fleet = SoakFleet(Path(folder.name), hosts, servers)
        await context.fleet.start()
        return await wait_until_settled(context.fleet)

    problems = context.loop_thread.run(begin())
    context.add_cleanup(lambda: context.loop_thread.run(context.fleet.close()))
    assert not problems, problems


@when(
    "the proxies cut {count:d} of the processes, "
    "and callers send {rate:d} requests a second to all for {seconds:g} s"
)
def when_processes_cut(context, count, rate, seconds):
    """Send requests to all hosts in turn; cut the last ones after a second."""
    fleet, loop = context.fleet, context.loop_thread.loop
    context.tries = []

    async def send(number):
        host = fleet.hosts[number % len(fleet.hosts)]
        sent_at = loop.time()
        try:
            answer = await send_request(
                host.ports["callers"],
                "/read/1",
                key=keys_of("acme")[0],
                request_id=f"cut-{number}",
                object_key=str(number % 30),
            )
            status = answer.status
        except (OSError, AssertionError):
            status = 0
        context.tries.append((sent_at, host.name, status))

    async def run():
        tasks = []
        for number in range(int(rate * seconds)):
            if number == rate:
                context.cut_at = loop.time()
                begin_cut(fleet, fleet.hosts[-count:], ClientCut.RESET)
            tasks.append(create_task(send(number)))
            await sleep(1 / rate)
        await gather(*tasks)

    context.loop_thread.run(run())


@then(
    "from {settle:g} s after the cut at least {percent:d} percent are served "
    "at first try at each process"
)
def then_each_serves(context, settle, percent):
    """Check the share of each host."""
    since = context.cut_at + settle
    for host in context.fleet.hosts:
        statuses = Counter(
            status
            for sent_at, name, status in context.tries
            if sent_at >= since and name == host.name
        )
        served, total = statuses[200], sum(statuses.values())
        assert total and served * 100 >= percent * total, (host.name, statuses)
