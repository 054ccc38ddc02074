"""Define the faults that the soak test injects; several may be active at once."""

import signal
from asyncio import sleep
from collections.abc import Awaitable, Callable
from random import Random

from fault_soak.fleet import HostProcess, SoakFleet, keys_of
from fault_soak.proxy import Impairment

STOP_TIMEOUT_S = 4.0


async def pause_host(fleet: SoakFleet, rng: Random) -> None:
    """Suspend a host's process for a while."""
    host = rng.choice(fleet.hosts)
    host.signal(signal.SIGSTOP)
    await sleep(rng.uniform(0.3, 2.5))
    host.signal(signal.SIGCONT)


async def kill_hosts(fleet: SoakFleet, rng: Random) -> None:
    """Kill one or several hosts at the same time, and restart them."""
    count = rng.choice((1, 1, 2, len(fleet.hosts)))
    alive = [host for host in fleet.hosts if host.is_running and not host.is_stopping]
    hosts = rng.sample(alive, min(count, len(alive)))
    for host in hosts:
        host.is_stopping = True
        host.signal(signal.SIGKILL)
    await sleep(rng.uniform(0.1, 1.5))
    for host in hosts:
        await host.wait_for_exit(STOP_TIMEOUT_S)
        await fleet.restart_host(host)
        host.is_stopping = False


async def stop_host(fleet: SoakFleet, rng: Random) -> None:
    """Stop a host as in a planned restart, and start it again."""
    host = rng.choice(fleet.hosts)
    if host.is_running and not host.is_paused and not host.is_stopping:
        host.is_stopping = True
        host.signal(signal.SIGTERM)
        await host.wait_for_exit(STOP_TIMEOUT_S)
        await fleet.restart_host(host)
        host.is_stopping = False


async def reload_settings(fleet: SoakFleet, rng: Random) -> None:
    """Send SIGHUP to two hosts, as after a change of their settings.

    Those whose interpreter is starting are left out, as no program could survive it.
    """
    for host in rng.sample(fleet.hosts, 2):
        if host.handles_hangup:
            host.signal(signal.SIGHUP)
        await sleep(rng.uniform(0.0, 0.3))


async def refuse_store_calls(fleet: SoakFleet, rng: Random) -> None:
    """Make the store answer every call with 503 or 429 for a while."""
    fleet.store.refusal_status = rng.choice((503, 429))
    await sleep(rng.uniform(0.5, 3.0))
    fleet.store.refusal_status = 0


async def silence_store(fleet: SoakFleet, rng: Random) -> None:
    """Make the store answer no calls for a while, and none on open connections."""
    fleet.store.stop_answering()
    await sleep(rng.uniform(0.5, 3.0))
    fleet.store.is_silent = False


async def lose_write_answers(fleet: SoakFleet, rng: Random) -> None:
    """Make the store close connections instead of answering writes."""
    fleet.store.lose_answers = True
    await sleep(rng.uniform(0.5, 2.0))
    fleet.store.lose_answers = False


async def compact_store(fleet: SoakFleet, rng: Random) -> None:
    """Make the store discard its event history."""
    await fleet.store.compact()


async def impair_store_links(fleet: SoakFleet, rng: Random) -> None:
    """Impair the connections of some hosts to the store."""
    hosts = rng.sample(fleet.hosts, rng.randint(1, max(1, len(fleet.hosts) // 2)))
    impairment = rng.choice(
        [item for item in Impairment if item is not Impairment.NONE]
    )
    for host in hosts:
        host.store_proxy.set_impairment(
            impairment, 0.3 if impairment is Impairment.DELAY else 0.0
        )
    await sleep(rng.uniform(0.5, 3.0))
    for host in hosts:
        host.store_proxy.set_impairment(Impairment.NONE)


async def impair_server_link(fleet: SoakFleet, rng: Random) -> None:
    """Impair the connections to a server."""
    proxy = rng.choice(fleet.servers).proxy
    impairment = rng.choice(
        [item for item in Impairment if item is not Impairment.NONE]
    )
    proxy.set_impairment(
        impairment, rng.uniform(0.05, 0.6) if impairment is Impairment.DELAY else 0.0
    )
    await sleep(rng.uniform(0.3, 2.0))
    proxy.set_impairment(Impairment.NONE)


async def withdraw_key(fleet: SoakFleet, rng: Random) -> None:
    """Withdraw a key in a new version; each customer keeps at least one key."""
    key = rng.choice(keys_of(rng.choice(("acme", "birch")))[1:])
    if key not in fleet.withdrawn:
        fleet.withdrawn.append(key)
    fleet.version += 1
    await fleet.write_configuration()


async def change_configuration(fleet: SoakFleet, rng: Random) -> None:
    """Write several versions of the configuration in quick succession."""
    for _ in range(rng.randint(1, 4)):
        fleet.version += 1
        await fleet.write_configuration()
        await sleep(rng.uniform(0.0, 0.2))


async def drain_server(fleet: SoakFleet, rng: Random) -> None:
    """Drain a server, and mark it ready again."""
    server = rng.choice(fleet.servers)
    await fleet.store.write("servers", server.id, server.registration("draining"))
    await sleep(rng.uniform(1.0, 3.0))
    await fleet.store.write("servers", server.id, server.registration())


Fault = Callable[[SoakFleet, Random], Awaitable[None]]
PLANNED_FAULTS: tuple[Fault, ...] = (
    stop_host,
    reload_settings,
    withdraw_key,
    change_configuration,
    drain_server,
)
ALL_FAULTS: tuple[Fault, ...] = (
    *PLANNED_FAULTS,
    pause_host,
    kill_hosts,
    refuse_store_calls,
    silence_store,
    lose_write_answers,
    compact_store,
    impair_store_links,
    impair_server_link,
)


def end_faults(fleet: SoakFleet) -> None:
    """End all faults that are still active."""
    fleet.store.refusal_status = 0
    fleet.store.is_silent = False
    fleet.store.lose_answers = False
    for host in fleet.hosts:
        host.signal(signal.SIGCONT)
        host.store_proxy.set_impairment(Impairment.NONE)
    for server in fleet.servers:
        server.proxy.set_impairment(Impairment.NONE)


def format_host_names(hosts: list[HostProcess]) -> str:
    """Return the names of hosts, for a message."""
    return ", ".join(host.name for host in hosts)
