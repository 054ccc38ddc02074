"""Listen on ports, which another socket may still use for a moment."""

from asyncio import Server, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from errno import EADDRINUSE
from socket import SO_REUSEADDR, SOL_SOCKET, socket
from typing import TypeVar

from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import PORT_IN_USE

PORT_TIMEOUT_S = 5.0
"""Time for a connection that happens to use the port, or an earlier process, to end."""
PORT_RETRY_DELAY_S = 0.1
LISTEN_BACKLOG = 512
"""Maximum number of connections of a port that wait to be accepted."""
MAX_ACCEPTED = 16
"""Connections of a port that are accepted in one turn of the event loop. Those beyond
the port's limit are closed some turns later, and need a descriptor until then."""

Bound = TypeVar("Bound")


class PortInUse(DamasktallyError):
    """Another socket of this machine uses a port for too long."""


async def bind_port(
    bind: Callable[[], Awaitable[Bound]], address: tuple[str, int]
) -> Bound:
    """Bind a port, and wait for a while if it is in use.

    :param bind: binds the port; called again until it succeeds.
    :param address: host and port, for the log and the error.
    :returns: what ``bind`` returns.
    :raises PortInUse: if the port is in use for :data:`PORT_TIMEOUT_S`.
    """
    loop = get_running_loop()
    deadline = loop.time() + PORT_TIMEOUT_S
    name = f"{address[0]}:{address[1]}"
    is_logged = False
    while True:
        try:
            return await bind()
        except OSError as exc:
            if exc.errno != EADDRINUSE:
                raise
            if loop.time() >= deadline:
                raise PortInUse(
                    f"The address {name} is in use.",
                    "End the process that listens there, or change the settings.",
                ) from exc
        if not is_logged:
            emit(PORT_IN_USE, address=name)
            is_logged = True
        await sleep(PORT_RETRY_DELAY_S)


async def listen_on(
    address: tuple[str, int], create_server: Callable[..., Awaitable[Server]]
) -> Server:
    """Listen on a port.

    :param address: host and port.
    :param create_server: accepts the connections of a socket, as
        :func:`asyncio.start_server` does, given ``sock`` and ``backlog``.
    :raises PortInUse: if the port is in use for :data:`PORT_TIMEOUT_S`.
    """

    async def bind() -> Server:
        sock = socket()
        try:
            sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            sock.bind(address)
            # The event loop also accepts as many connections in a turn.
            server = await create_server(sock=sock, backlog=MAX_ACCEPTED)
        except BaseException:
            sock.close()
            raise
        sock.listen(LISTEN_BACKLOG)
        return server

    return await bind_port(bind, address)
