"""Steps for crowds of clients that keep to no limit."""

import sys
from asyncio import create_subprocess_exec, create_task, sleep, wait_for
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from entry_harness import (
    LoopThread,
    StandInServer,
    StandInStore,
    make_answer,
    make_configuration,
    make_route,
    read_body,
    send_request,
)
from limited_host import LimitedHost

ROOT = Path(__file__).resolve().parent.parent.parent
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 64 * 1024 * 1024,
    "HeaderTimeout": "3s",
    "IdleTimeout": "15s",
}
ROUTE_TIMEOUT = "10000ms"
DEADLINE_MS = 10_000
CALL_TIMEOUT_S = 120.0
PATIENCE_S = 15.0
"""Seconds for which a caller waits for its response."""
SERVERS = 2
CROWD_FORMATION_S = 1.0
"""Seconds from the start of a crowd to the first ordinary request beside it."""
REQUEST_INTERVAL_S = 0.2


async def answer_at_once(request, reader, writer):
    """Answer a request, and end the connection if its body is in chunks."""
    is_chunked = "transfer-encoding" in request.headers
    if not is_chunked:
        await read_body(reader, request.headers)
    writer.write(make_answer(request.headers["request-id"], body="ok"))
    await writer.drain()
    return not is_chunked


@given("a host process with {memory_mb:d} MB of memory and {descriptors:d} descriptors")
def given_host(context, memory_mb, descriptors):
    """Start store, servers and host."""
    context.loop_thread = LoopThread()
    context.cleanups.append(context.loop_thread.close)
    directory = TemporaryDirectory()
    context.cleanups.append(directory.cleanup)

    async def start():
        store = StandInStore()
        await store.start()
        routes = [
            make_route("read", "/read/", Timeout=ROUTE_TIMEOUT),
            make_route("pay", "/pay/", "non_idempotent", Timeout=ROUTE_TIMEOUT),
        ]
        configuration = make_configuration(1, routes, Limits=LIMITS)
        await store.write("config", "main", configuration)
        for number in range(SERVERS):
            server = StandInServer(f"s-{number}", slots=8, converse=answer_at_once)
            await server.start()
            await store.write("servers", server.id, server.registration())
        host = LimitedHost(directory.name, store.port, memory_mb, descriptors)
        context.cleanups.append(host.end)
        await host.start()
        return host

    context.host = context.loop_thread.run(start(), CALL_TIMEOUT_S)


async def is_answered(port):
    """Send an ordinary request, and return whether a server's response came back."""
    with suppress(AssertionError, OSError, EOFError, TimeoutError):
        answer = await wait_for(
            send_request(port, "/read/1", deadline_ms=DEADLINE_MS), PATIENCE_S
        )
        return answer.status == 200
    return False


async def start_crowd(port, count, seconds, conduct):
    """Start the process of a crowd."""
    arguments = [str(port), str(count), str(seconds), conduct]
    return await create_subprocess_exec(
        sys.executable, "-m", "features.steps.crowd", *arguments, cwd=ROOT
    )


@when(
    "{count:d} clients send {conduct} to its {port:w} port for {seconds:d} s, "
    "beside ordinary requests"
)
def when_crowd_sends(context, count, conduct, port, seconds):
    """Send ordinary requests one after the other until the crowd has left."""

    async def run():
        host = context.host
        watch = create_task(host.watch())
        crowd = await start_crowd(host.ports[port], count, seconds, conduct)
        await sleep(CROWD_FORMATION_S)
        context.answered_beside = 0
        while crowd.returncode is None:
            context.answered_beside += await is_answered(host.ports["callers"])
            await sleep(REQUEST_INTERVAL_S)
        assert crowd.returncode == 0, crowd.returncode
        watch.cancel()

    context.loop_thread.run(run(), CALL_TIMEOUT_S)


@then("the host process lives")
def then_alive(context):
    """Check that it has not ended."""
    assert context.host.is_alive


@then("it stayed within its memory and its descriptors")
def then_within_limits(context):
    """Check the peaks; the last descriptor is never taken."""
    host = context.host
    assert host.peak_memory_mb <= host.memory_mb, host.peak_memory_mb
    assert host.peak_descriptors < host.max_descriptors, host.peak_descriptors


@then("an ordinary request was answered beside the crowd")
def then_answered_beside(context):
    """Check that the crowd did not shut all others out."""
    assert context.answered_beside > 0


@then("an ordinary request is answered afterwards")
def then_answered_afterwards(context):
    """Send one more request."""
    port = context.host.ports["callers"]
    assert context.loop_thread.run(is_answered(port), CALL_TIMEOUT_S)
