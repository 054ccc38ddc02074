"""Servers that report on themselves, requests that end servers, and store restores."""

from asyncio import create_task, sleep
from contextlib import suppress
from random import Random
from time import monotonic

from entry_harness import send_request

from fault_soak.fleet import SoakFleet, SoakServer, keys_of
from fault_soak.server_conduct import BAD_PATH

BUSY_WINDOW_S = 1.0
"""A server that got a request this lately counts as busy."""


async def leave_in_answers(fleet: SoakFleet, rng: Random) -> None:
    """Let a server say in its answers that it leaves, then start again."""
    server = _choose_busy_server(fleet, rng)
    if server.conduct.is_leaving:
        return
    server.conduct.is_leaving = True
    period = server.conduct.begin("leaving")
    await sleep(rng.uniform(2.5, 5.0))
    period.ended_at = monotonic()
    server.conduct.is_leaving = False
    await _start_again(fleet, server)


async def name_limit(fleet: SoakFleet, rng: Random) -> None:
    """Let a server name a limit for a while."""
    server = _choose_busy_server(fleet, rng)
    if server.conduct.limit is not None:
        return
    server.conduct.limit = round(rng.uniform(0.3, 6.0), 1)
    period = server.conduct.begin("limit")
    await sleep(rng.uniform(4.0, 8.0))
    period.ended_at = monotonic()
    server.conduct.limit = None


async def ask_for_pause(fleet: SoakFleet, rng: Random) -> None:
    """Let a server refuse requests with a time for a moment."""
    server = _choose_busy_server(fleet, rng)
    if server.conduct.pause_s:
        return
    server.conduct.pause_s = round(rng.uniform(0.8, 3.0), 2)
    period = server.conduct.begin("pause")
    await sleep(rng.uniform(0.2, 1.0))
    period.ended_at = monotonic()
    server.conduct.pause_s = 0.0


async def send_bad_request(fleet: SoakFleet, rng: Random) -> None:
    """Send a request that ends servers to several hosts, again and again."""
    key = keys_of("acme")[0]
    for number in range(rng.randint(10, 50)):
        host = rng.choice(fleet.hosts)
        request_id = f"bad-{host.name}-{number}-{rng.randrange(10**9)}"
        with suppress(OSError, EOFError, AssertionError):
            await send_request(
                host.ports["callers"], BAD_PATH, key=key, request_id=request_id
            )
        await sleep(rng.uniform(0.0, 0.3))
        restart_ended_servers(fleet, rng)


def restart_ended_servers(fleet: SoakFleet, rng: Random) -> None:
    """End servers that ran a request which ends them, and start them again later."""
    for server in fleet.servers:
        if len(server.conduct.ended_under_bad) > server.conduct.restart_count:
            server.conduct.restart_count = len(server.conduct.ended_under_bad)
            create_task(_end_and_start_again(fleet, server, rng))


async def _end_and_start_again(
    fleet: SoakFleet, server: SoakServer, rng: Random
) -> None:
    server.end()
    await sleep(rng.uniform(1.4, 2.5))
    await server.start(server.port)
    await _start_again(fleet, server)


async def restore_store(fleet: SoakFleet, rng: Random) -> None:
    """Bring the store back from a copy; the writers write theirs again."""
    copy = fleet.store.make_copy()
    await sleep(rng.uniform(0.3, 3.0))
    await fleet.store.restore(copy)
    await sleep(rng.uniform(0.1, 1.5))
    await fleet.write_configuration()
    for server in fleet.servers:
        await fleet.store.write("servers", server.id, server.registration())


def _choose_busy_server(fleet: SoakFleet, rng: Random) -> SoakServer:
    """Return a server that got requests lately, if there is one."""
    since = monotonic() - BUSY_WINDOW_S
    busy = [
        server
        for server in fleet.servers
        if server.conduct.arrivals and server.conduct.arrivals[-1][0] >= since
    ]
    return rng.choice(busy or fleet.servers)


async def _start_again(fleet: SoakFleet, server: SoakServer) -> None:
    """Register the next process of a server."""
    server.started += 1
    await fleet.store.write("servers", server.id, server.registration())


REPORT_FAULTS = (
    leave_in_answers,
    name_limit,
    ask_for_pause,
    send_bad_request,
    restore_store,
)
