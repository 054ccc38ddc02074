"""Find ports for hosts and stand-ins that are started on loopback."""

import socket
from itertools import cycle, islice
from random import SystemRandom

FIRST_PORT, LAST_PORT = 18_000, 30_000
"""Below the ports that the kernel gives to outgoing connections, which could take a
port between its choice here and the start of the process that listens on it."""

_start = SystemRandom().randrange(LAST_PORT - FIRST_PORT)
_ports = islice(cycle(range(FIRST_PORT, LAST_PORT)), _start, None)


def free_port() -> int:
    """Return a loopback port that nothing listens on at present.

    :raises OSError: when none is free.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no loopback port is free; end what listens on them")
