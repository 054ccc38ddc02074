"""Draw faults by a seed, and let them come in series and overlap."""

import signal
from asyncio import sleep
from collections.abc import Awaitable, Callable
from random import Random

from fault_soak.fleet import HostProcess, SoakFleet, keys_of
from fault_soak.proxy import Harm

STOP_LIMIT_S = 4.0


async def freeze(fleet: SoakFleet, rng: Random) -> None:
    """Pause a host's process."""
    host = rng.choice(fleet.hosts)
    host.signal(signal.SIGSTOP)
    await sleep(rng.uniform(0.3, 2.5))
    host.signal(signal.SIGCONT)


async def kill(fleet: SoakFleet, rng: Random) -> None:
    """Kill one host or more at the same moment, and start them again."""
    count = rng.choice((1, 1, 2, len(fleet.hosts)))
    alive = [host for host in fleet.hosts if host.running and not host.stopping]
    hosts = rng.sample(alive, min(count, len(alive)))
    for host in hosts:
        host.stopping = True
        host.signal(signal.SIGKILL)
    await sleep(rng.uniform(0.1, 1.5))
    for host in hosts:
        await host.end(STOP_LIMIT_S)
        await fleet.start_host(host)
        host.stopping = False


async def stop(fleet: SoakFleet, rng: Random) -> None:
    """Stop a host as planned, and start it again."""
    host = rng.choice(fleet.hosts)
    if host.running and not host.frozen and not host.stopping:
        host.stopping = True
        host.signal(signal.SIGTERM)
        await host.end(STOP_LIMIT_S)
        await fleet.start_host(host)
        host.stopping = False


async def hang_up(fleet: SoakFleet, rng: Random) -> None:
    """Tell hosts that their settings changed."""
    for host in rng.sample(fleet.hosts, 2):
        host.signal(signal.SIGHUP)
        await sleep(rng.uniform(0.0, 0.3))


async def refuse(fleet: SoakFleet, rng: Random) -> None:
    """Let the store answer every call with 503 or 429."""
    fleet.store.refusal_status = rng.choice((503, 429))
    await sleep(rng.uniform(0.5, 3.0))
    fleet.store.refusal_status = 0


async def go_silent(fleet: SoakFleet, rng: Random) -> None:
    """Let the store answer nothing; its open connections stay mute."""
    fleet.store.go_silent()
    await sleep(rng.uniform(0.5, 3.0))
    fleet.store.silent = False


async def lose(fleet: SoakFleet, rng: Random) -> None:
    """Let the answers to writes get lost."""
    fleet.store.lose_answers = True
    await sleep(rng.uniform(0.5, 2.0))
    fleet.store.lose_answers = False


async def compact(fleet: SoakFleet, rng: Random) -> None:
    """Let the store forget its history."""
    await fleet.store.compact()


async def harm_store_path(fleet: SoakFleet, rng: Random) -> None:
    """Harm the way of some hosts to the store."""
    hosts = rng.sample(fleet.hosts, rng.randint(1, max(1, len(fleet.hosts) // 2)))
    harm = rng.choice([item for item in Harm if item is not Harm.NONE])
    for host in hosts:
        host.store.set(harm, 0.3 if harm is Harm.DELAY else 0.0)
    await sleep(rng.uniform(0.5, 3.0))
    for host in hosts:
        host.store.set(Harm.NONE)


async def harm_server_path(fleet: SoakFleet, rng: Random) -> None:
    """Harm the way to a server."""
    proxy = rng.choice(fleet.servers).proxy
    harm = rng.choice([item for item in Harm if item is not Harm.NONE])
    proxy.set(harm, rng.uniform(0.05, 0.6) if harm is Harm.DELAY else 0.0)
    await sleep(rng.uniform(0.3, 2.0))
    proxy.set(Harm.NONE)


async def withdraw(fleet: SoakFleet, rng: Random) -> None:
    """Withdraw a key in a new version, but leave each customer one."""
    key = rng.choice(keys_of(rng.choice(("acme", "birch")))[1:])
    if key not in fleet.withdrawn:
        fleet.withdrawn.append(key)
    fleet.version += 1
    await fleet.write_configuration()


async def change(fleet: SoakFleet, rng: Random) -> None:
    """Write several versions quickly."""
    for _ in range(rng.randint(1, 4)):
        fleet.version += 1
        await fleet.write_configuration()
        await sleep(rng.uniform(0.0, 0.2))


async def drain(fleet: SoakFleet, rng: Random) -> None:
    """Let a server leave, and come back."""
    server = rng.choice(fleet.servers)
    await fleet.store.write("servers", server.id, server.registration("draining"))
    await sleep(rng.uniform(1.0, 3.0))
    await fleet.store.write("servers", server.id, server.registration())


Fault = Callable[[SoakFleet, Random], Awaitable[None]]
PLANNED: tuple[Fault, ...] = (stop, hang_up, withdraw, change, drain)
ALL: tuple[Fault, ...] = (
    *PLANNED,
    freeze,
    kill,
    refuse,
    go_silent,
    lose,
    compact,
    harm_store_path,
    harm_server_path,
)


def restore(fleet: SoakFleet) -> None:
    """End every fault that is still under way."""
    fleet.store.refusal_status = 0
    fleet.store.silent = False
    fleet.store.lose_answers = False
    for host in fleet.hosts:
        host.signal(signal.SIGCONT)
        host.store.set(Harm.NONE)
    for server in fleet.servers:
        server.proxy.set(Harm.NONE)


def host_names(hosts: list[HostProcess]) -> str:
    """Return names for a message."""
    return ", ".join(host.name for host in hosts)
