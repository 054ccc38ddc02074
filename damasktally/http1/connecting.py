"""Open connections to backend servers, other hosts and the store."""

from asyncio import get_running_loop, timeout

from damasktally.errors import DamasktallyError
from damasktally.http1.outbound import ServerConnection
from damasktally.http1.response_memory import ResponseMemory
from damasktally.http1.socket_options import enable_keepalive


class ConnectFailed(DamasktallyError):
    """No connection could be established, so nothing was sent."""


class ConnectTimeout(ConnectFailed):
    """A connection was not established in time."""


async def connect(
    address: tuple[str, int], timeout_s: float, memory: ResponseMemory
) -> ServerConnection:
    """Open a connection to a server.

    :param address: host and port.
    :param memory: limits the bytes of all responses that are being received.
    :raises ConnectFailed: if no connection is established within ``timeout_s``;
        :class:`ConnectTimeout` if nothing refused it.
    """
    loop = get_running_loop()
    try:
        # wait_for would lose a cancellation that comes when the attempt has ended.
        async with timeout(timeout_s):
            transport, conn = await loop.create_connection(
                lambda: ServerConnection(memory), *address
            )
    except (OSError, TimeoutError) as exc:
        error = ConnectTimeout if isinstance(exc, TimeoutError) else ConnectFailed
        raise error(
            f"Cannot connect to {address[0]}:{address[1]}: {type(exc).__name__}.",
            "Check that the server is running and reachable.",
        ) from exc
    enable_keepalive(transport.get_extra_info("socket"))
    return conn
