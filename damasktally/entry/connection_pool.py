"""Pool idle connections to backend servers for reuse."""

from asyncio import get_running_loop
from collections.abc import Awaitable, Callable
from functools import partial

from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.http1.connecting import connect
from damasktally.http1.outbound import ServerConnection
from damasktally.http1.response_memory import ResponseMemory

MAX_IDLE_S = 6.0
"""Upper bound of ``max_idle_s``: longer idle connections are never reused."""
KEEP_ALIVE_MARGIN_S = 1.5
"""Seconds before the server's own keep-alive timeout at which reuse stops.

A request that is sent while the server closes the idle connection would be lost.
"""
MAX_IDLE_PER_SERVER = 16

Connector = Callable[
    [tuple[str, int], float, ResponseMemory], Awaitable[ServerConnection]
]
"""Opens a connection, as :func:`~damasktally.http1.outbound.connect` does."""


class ConnectionPool:
    """A pool of idle connections, by server.

    The key is the server's id, which names one run of the server, and not its
    address: a server that is started at the address of another one gets new
    connections.

    :param memory: limits the bytes of all responses that are being received.
    :param breaks: receives which connections are opened, and which are closed.
    :param connector: opens new connections.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        breaks: LinkBreaks,
        connector: Connector = connect,
    ) -> None:
        self._memory = memory
        self._breaks = breaks
        self._connector = connector
        self._idle: dict[str, list[ServerConnection]] = {}
        self._loop = get_running_loop()

    async def acquire(
        self, server: str, address: tuple[str, int], timeout_s: float, max_idle_s: float
    ) -> ServerConnection:
        """Return an idle connection, or open a new one.

        :param address: host and port for a new connection.
        :param timeout_s: seconds that a new connection may take.
        :param max_idle_s: connections that were idle for longer are closed instead.
        :raises ConnectFailed: if a new connection is not established in time.
        """
        idle = self._idle.get(server, [])
        now = self._loop.time()
        while idle:
            conn = idle.pop()
            limit = min(MAX_IDLE_S, max_idle_s)
            if conn.keep_alive_timeout_s is not None:
                limit = min(limit, conn.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S)
            if conn.can_send and now - conn.idle_since <= limit:
                return conn
            conn.close()
        return await self.open(server, address, timeout_s)

    async def open(
        self, server: str, address: tuple[str, int], timeout_s: float
    ) -> ServerConnection:
        """Open a connection, which :meth:`release` adds to the pool.

        :param address: host and port of the server.
        :param timeout_s: seconds that the connection may take.
        :raises ConnectFailed: if it is not established in time.
        """
        conn = await self._connector(address, timeout_s, self._memory)
        self._breaks.record_opened(server)
        conn.on_closed = partial(self._record_closed, server)
        return conn

    def _record_closed(self, server: str, is_broken: bool) -> None:
        self._breaks.record_closed(server, is_broken, self._loop.time())

    def release(self, server: str, conn: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle.setdefault(server, [])
        if conn.can_send and len(idle) < MAX_IDLE_PER_SERVER:
            idle.append(conn)
        else:
            conn.close()

    def close_server(self, server: str) -> None:
        """Close the idle connections to a server."""
        for conn in self._idle.pop(server, ()):
            conn.close()

    def close_all_except(self, servers: set[str]) -> None:
        """Close the idle connections to all but the given servers."""
        for server in [name for name in self._idle if name not in servers]:
            self.close_server(server)

    def close_all(self) -> None:
        """Close all idle connections, such as after the host was suspended."""
        self.close_all_except(set())
