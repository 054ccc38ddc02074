"""Bind ports that another socket may still use for a moment."""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable
from errno import EADDRINUSE
from typing import TypeVar

from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import PORT_IN_USE

PORT_TIMEOUT_S = 5.0
"""Time for a connection that happens to use the port, or an earlier process, to end."""
PORT_RETRY_DELAY_S = 0.1

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
