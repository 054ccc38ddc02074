"""Steps for fleets of hosts that use leases, and for the messages between them."""

import socket
from asyncio import create_task, gather, sleep
from collections import Counter
from dataclasses import dataclass

import msgspec
from behave import given, then, when
from entry_harness import (
    LoopThread,
    StandInStore,
    make_configuration,
    make_route,
    send_request,
    wait_until,
)
from entry_steps import port_of, start_host
from msgspec.structs import replace
from relay_steps import gather_all, numbered_settings
from slot_server import SlotServer

from damasktally.decisions.lease_terms import LeaseOutcome
from damasktally.entry.leases.messages import LeaseEnd, LeaseReply, LeaseRequest
from damasktally.standins.ports import free_port

OBJECTIVE = {"TargetLatency": "900ms", "Timeout": "1500ms"}
ROUTES = [
    make_route("urgent", "/urgent/", Prio=0, **OBJECTIVE),
    make_route("later", "/later/", Prio=2, **OBJECTIVE),
    make_route("pay", "/pay/", "non_idempotent", Prio=1, **OBJECTIVE),
]
PATHS = ("/urgent/1", "/later/1", "/pay/1")
START_LIMIT_S = 15.0


@dataclass
class Try:
    """One request of a caller; the status is 0 if the connection ended."""

    request_id: str
    path: str
    host: object
    status: int = 0
    body: str = ""
    retry_after_s: float | None = None
    took_s: float = 0.0


def with_leases(settings, is_on):
    """Return settings with a lease port, or without one."""
    leases = f"127.0.0.1:{free_port()}" if is_on else ""
    return replace(settings, listen=replace(settings.listen, leases=leases))


@given("{hosts:d} hosts {usage} leases and {servers:d} servers with {slots:d} slots")
def given_lease_fleet(context, hosts, usage, servers, slots):
    """Start the fleet in two data centres, and wait until it is complete."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    start_fleet(context, hosts, servers, slots, usage == "with")


def start_fleet(context, host_count, server_count, slots, is_on):
    """Start a store, servers and hosts."""
    context.hosts, context.servers, context.tries = [], [], []
    context.store = StandInStore()

    async def begin():
        await context.store.start()
        await context.store.write("config", "main", make_configuration(1, ROUTES))
        for number in range(server_count):
            server = SlotServer(f"s-{number}", zone=f"dc-{number % 2}", slots=slots)
            await server.start()
            context.servers.append(server)
            await context.store.write("servers", server.id, server.registration())
        settings = [
            with_leases(numbered_settings(context, number), is_on)
            for number in range(host_count)
        ]
        await gather(*(start_host(context, item) for item in settings))
        await wait_until(lambda: is_complete(context, host_count), START_LIMIT_S)

    context.loop_thread.run(begin())
    hosts = context.hosts
    context.add_cleanup(
        lambda: context.loop_thread.run(gather_all([h.close() for h in hosts]))
    )


def is_complete(context, host_count):
    """Return whether all hosts know all others as ready, and all servers."""
    return all(
        host.is_ready
        and len(host._view.servers) == len(context.servers)
        and len(host._topology.ready_hosts(host._loop.time())) == host_count - 1
        for host in context.hosts
    )


async def call(context, number, path):
    """Send one request to one of the hosts, and keep how it ended."""
    loop = context.loop_thread.loop
    host = context.hosts[number % len(context.hosts)]
    item = Try(f"{path[1:4]}-{number}-{len(context.hosts)}", path, host)
    context.tries.append(item)
    began = loop.time()
    try:
        answer = await send_request(
            port_of(host._settings, "callers"),
            path,
            request_id=item.request_id,
            object_key=str(number % 40),
            key=f"k-{number % 7}",
        )
    except (OSError, AssertionError, EOFError):
        return
    item.status, item.body = answer.status, answer.body.decode()
    item.took_s = loop.time() - began
    if "retry-after" in answer.headers:
        item.retry_after_s = float(answer.headers["retry-after"])


async def load(context, rate, seconds, at_time=()):
    """Send requests of all priorities in turn.

    :param at_time: pairs of a time in seconds and what to do then.
    """
    pending, tasks = list(at_time), []
    for number in range(int(rate * seconds)):
        if pending and number / rate >= pending[0][0]:
            await pending.pop(0)[1]()
        tasks.append(create_task(call(context, number, PATHS[number % 3])))
        await sleep(1 / rate)
    await gather(*tasks)


def make_customers():
    """Return seven customers without a limit."""
    return [
        {"Name": f"c-{number}", "ApiKeys": [f"k-{number}"], "RatePerS": 0, "Burst": 0}
        for number in range(7)
    ]


@when("callers load {usage} to {percent:d} percent for {seconds:g} s")
def when_loaded(context, usage, percent, seconds):
    """Load the servers with requests of three priorities."""
    rate = percent / 100 * sum(s.slots / s.run_s for s in context.servers)

    async def run():
        cfg = make_configuration(2, ROUTES, Tenants=make_customers())
        await context.store.write("config", "main", cfg)
        await wait_until(
            lambda: all(h._view.configuration.version == 2 for h in context.hosts)
        )
        await load(context, rate, seconds)

    run_long(context, run(), seconds)


def run_long(context, coro, seconds):
    """Run a coroutine that takes longer than a step usually may."""
    from asyncio import run_coroutine_threadsafe

    future = run_coroutine_threadsafe(coro, context.loop_thread.loop)
    future.result(seconds + 20.0)
