"""Keep connections to backend servers for reuse."""

from asyncio import get_running_loop

from damasktally.http1.outbound import ServerConnection, connect

MAX_IDLE_S = 6.0
KEEP_ALIVE_MARGIN_S = 1.5
"""A server that is about to close an idle connection gets no request on it."""
MAX_IDLE_PER_SERVER = 16


class ConnectionPool:
    """Hold idle connections by server.

    A connection belongs to one run of a server: its id is the key, so that an
    address that is used again starts with new connections.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[ServerConnection]] = {}
        self._loop = get_running_loop()

    async def acquire(
        self,
        server_id: str,
        address: tuple[str, int],
        timeout_s: float,
        max_idle_s: float,
    ) -> ServerConnection:
        """Return an idle connection, or a new one.

        :param max_idle_s: connections that were idle for longer are not used.
        :raises ConnectFailed: when no connection was made in time.
        """
        idle = self._idle.get(server_id, [])
        now = self._loop.time()
        while idle:
            conn = idle.pop()
            limit = min(MAX_IDLE_S, max_idle_s)
            if conn.keep_alive_timeout_s is not None:
                limit = min(limit, conn.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S)
            if conn.can_send and now - conn.idle_since <= limit:
                return conn
            conn.close()
        return await connect(address, timeout_s)

    def release(self, server_id: str, conn: ServerConnection) -> None:
        """Keep a connection for the next request if it can carry one."""
        idle = self._idle.setdefault(server_id, [])
        if conn.can_send and len(idle) < MAX_IDLE_PER_SERVER:
            idle.append(conn)
        else:
            conn.close()

    def close_server(self, server_id: str) -> None:
        """Close the idle connections of a server."""
        for conn in self._idle.pop(server_id, ()):
            conn.close()

    def keep_only(self, server_ids: set[str]) -> None:
        """Close the idle connections of servers that are gone."""
        for server_id in [name for name in self._idle if name not in server_ids]:
            self.close_server(server_id)

    def close_all(self) -> None:
        """Close every idle connection, as after a suspension of the host."""
        self.keep_only(set())
