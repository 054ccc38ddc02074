"""Cut hosts from all servers, while everything else still reaches them.

All hosts use the same address of a server, its proxy's. The kernel's table of sockets
tells which host opened a connection.
"""

import os
import struct
from asyncio import sleep
from functools import partial
from pathlib import Path
from random import Random
from socket import (
    AF_INET,
    AF_NETLINK,
    IPPROTO_TCP,
    SOCK_DGRAM,
    inet_aton,
    socket,
)

from fault_soak.fleet import HostProcess, SoakFleet
from fault_soak.proxy import ClientCut

SOCKET_TABLE = Path("/proc/net/tcp")
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
ANY_COOKIE = b"\xff" * 8
NETLINK_HEADER = struct.Struct("=IHHII")
INODE_OFFSET = NETLINK_HEADER.size + 68
"""Offset of the inode in the kernel's answer."""


def ports_of(host: HostProcess) -> set[int]:
    """Return the local ports of a process's TCP connections."""
    inodes = _socket_inodes(host)
    ports = set()
    for line in SOCKET_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports


def owns_connection(host: HostProcess, port: int, proxy_port: int) -> bool:
    """Return whether a process opened a connection to a proxy.

    :param port: local port of the connection.
    """
    return str(_inode_of_connection(port, proxy_port)) in _socket_inodes(host)


def _inode_of_connection(port: int, remote_port: int) -> int:
    """Return the inode of a loopback connection's socket, or 0 if there is none.

    The kernel is asked for this one: its whole table is long, as it lists closed
    connections for a while.
    """
    address = inet_aton("127.0.0.1").ljust(16, b"\0")
    ends = struct.pack("!HH16s16s", port, remote_port, address, address)
    query = struct.pack("=BBBxI", AF_INET, IPPROTO_TCP, 0, ALL_STATES)
    query += ends + struct.pack("=I8s", 0, ANY_COOKIE)
    length = NETLINK_HEADER.size + len(query)
    header = NETLINK_HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket(AF_NETLINK, SOCK_DGRAM, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + query)
        answer = kernel.recv(8192)
    _, kind, *_ = NETLINK_HEADER.unpack_from(answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


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
    for host in hosts:
        open_ports = ports_of(host)
        for server in fleet.servers:
            server.proxy.cut_client(
                host.name, cut, open_ports, partial(owns_connection, host)
            )


def end_cut(fleet: SoakFleet, hosts: list[HostProcess]) -> None:
    """End a cut; connections that went silent stay so."""
    for server in fleet.servers:
        for host in hosts:
            server.proxy.join_client(host.name)
