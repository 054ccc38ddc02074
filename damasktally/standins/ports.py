"""Free loopback ports for the hosts and stand-ins of the demo and the tests."""

import socket
from collections import deque
from collections.abc import Iterator
from fcntl import LOCK_EX, LOCK_NB, flock
from os import getuid
from pathlib import Path
from random import SystemRandom
from tempfile import gettempdir
from typing import IO

FIRST_PORT, LAST_PORT = 18_000, 30_000
"""Range of ports below the ephemeral ports of the kernel. An outgoing connection could
take an ephemeral port after it was chosen here and before a process listens on it."""
BLOCK_SIZE = 300
"""Ports that one process chooses from at a time, and that no other one chooses."""
HELD_BLOCKS = 2
"""Blocks that a process keeps, since it may not listen yet on what it chose last."""


class PortBlocks:
    """Blocks of ports, each chosen from by one process at a time.

    A process holds a block by a lock on a file, which the kernel releases at its end.

    :param folder: folder of the files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._held: deque[IO[bytes]] = deque()
        self._first_ports = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
        self._next = SystemRandom().randrange(len(self._first_ports))

    def take(self) -> range:
        """Return the ports of a block that no other process holds.

        :raises OSError: when other processes hold all blocks.
        """
        for _ in self._first_ports:
            first = self._first_ports[self._next]
            self._next = (self._next + 1) % len(self._first_ports)
            if self._lock(first):
                return range(first, first + BLOCK_SIZE)
        raise OSError("no block of ports is free; stop the processes that hold them")

    def _lock(self, first: int) -> bool:
        file = (self._folder / f"damasktally-ports-{getuid()}-{first}").open("ab")
        try:
            flock(file, LOCK_EX | LOCK_NB)
        except BlockingIOError:
            file.close()
            return False
        self._held.append(file)
        if len(self._held) > HELD_BLOCKS:
            self._held.popleft().close()
        return True


def _choose_ports(blocks: PortBlocks) -> Iterator[int]:
    while True:
        yield from blocks.take()


_ports = _choose_ports(PortBlocks(Path(gettempdir())))


def free_port() -> int:
    """Return a loopback port on which no process listens at present.

    :raises OSError: when no port of the range is free.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no loopback port is free; stop the processes that listen on them")
