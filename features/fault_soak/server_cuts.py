"""Cut hosts from all servers, while everything else still reaches them.

All hosts use the same address of a server, its proxy's. The kernel's table of sockets
tells which host opened a connection.
"""

import os
from asyncio import sleep
from pathlib import Path
from random import Random

from fault_soak.fleet import HostProcess, SoakFleet
from fault_soak.proxy import ClientCut

SOCKET_TABLE = Path("/proc/net/tcp")


def ports_of(host: HostProcess) -> set[int]:
    """Return the local ports of a process's TCP connections."""
    inodes = _socket_inodes(host)
    ports = set()
    for line in SOCKET_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports


def _socket_inodes(host: HostProcess) -> set[str]:
    folder = f"/proc/{host.process.pid}/fd"
    inodes = set()
    try:
        for name in os.listdir(folder):
            target = os.readlink(f"{folder}/{name}")
            if target.startswith("socket:["):
                inodes.add(target[len("socket:[") : -1])
    except OSError:
        # The process has ended, or closed a socket while its table was read.
        return inodes
    return inodes


async def cut_hosts_from_servers(fleet: SoakFleet, rng: Random) -> None:
    """Cut one, half or most hosts from all servers for a while, once or in series."""
    count = rng.choice((1, len(fleet.hosts) // 2, len(fleet.hosts) - 1))
    hosts = rng.sample(fleet.hosts, max(1, count))
    cut = rng.choice((ClientCut.RESET, ClientCut.REFUSE_NEW, ClientCut.SILENCE))
    for _ in range(rng.choice((1, 1, 4))):
        begin_cut(fleet, hosts, cut)
        await sleep(rng.uniform(0.2, 4.0))
        end_cut(fleet, hosts)
        await sleep(rng.uniform(0.1, 0.6))


def begin_cut(fleet: SoakFleet, hosts: list[HostProcess], cut: ClientCut) -> None:
    """Begin a cut of some hosts from all servers."""
    for server in fleet.servers:
        for host in hosts:
            server.proxy.cut_client(host.name, cut, lambda host=host: ports_of(host))


def end_cut(fleet: SoakFleet, hosts: list[HostProcess]) -> None:
    """End a cut; connections that went silent stay so."""
    for server in fleet.servers:
        for host in hosts:
            server.proxy.join_client(host.name)
