"""Free loopback ports for the hosts and stand-ins of the demo and the tests."""

import socket
from itertools import cycle, islice
from random import SystemRandom

FIRST_PORT, LAST_PORT = 18_000, 30_000
"""Range of ports below the ephemeral ports of the kernel. An outgoing connection could
take an ephemeral port after it was chosen here and before a process listens on it."""

_start = SystemRandom().randrange(LAST_PORT - FIRST_PORT)
_ports = islice(cycle(range(FIRST_PORT, LAST_PORT)), _start, None)


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
