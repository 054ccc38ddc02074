"""Send requests to backend servers over pooled connections.

A connection is reused only if its last response was read completely and nothing arrived
since, so that a response cannot be taken for that of another request.
"""

import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from select import POLLIN, poll
from threading import Lock

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from damasktally.clock import Clock
from damasktally.forwarding.exceptions import (
    AnswerLate,
    AnswerLost,
    CallerGone,
    NotSent,
)
from damasktally.http1.limited_client import LimitedConnection

MAX_IDLE_S = 20.0
"""Seconds after which an idle connection is not reused."""
MAX_IDLE_AT_MOST_ONCE_S = 1.0
"""Shorter limit for requests that may run at most once.

If the server closes an idle connection while such a request is sent on it, the
request cannot be retried.
"""
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 10_000
"""Time after which sent bytes that TCP did not acknowledge fail the connection."""
RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a connection to another region.

The server can send this much before this host reads it, so it bounds the bytes that
cross a link without being paced.
"""

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
_CROSS_REGION_SOCKET_OPTIONS = [
    *_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]


@dataclass(eq=False, slots=True)
class Connection:
    """A connection to a server.

    :param server: name of the server.
    :param last_used_at: when it was returned to the pool or opened, in seconds on the
        pool's clock.
    :param is_reused: whether it was returned to the pool before.
    """

    server: str
    http: LimitedConnection
    sock: socket.socket
    last_used_at: float
    is_reused: bool = False


@dataclass
class ConnectionPool:
    """Keep idle connections by server, and limit the number of open ones.

    :param clock: returns seconds.
    :param max_connections: returns how many connections to a server this host may
        have open: its share of what all hosts may have.
    """

    clock: Clock
    max_connections: Callable[[str], int]
    _lock: Lock = field(default_factory=Lock)
    _idle: dict[str, deque[Connection]] = field(default_factory=dict)
    _open_counts: dict[str, int] = field(default_factory=dict)

    def acquire(
        self,
        server: str,
        address: str,
        at_most_once: bool,
        new_only: bool,
        is_cross_region: bool,
    ) -> Connection:
        """Return an idle connection, or a new one.

        :param server: name of the server.
        :param address: its host and port.
        :param at_most_once: whether the connection is for a request that must not
            run more than once; the shorter limit then applies to idle connections.
        :param new_only: whether idle connections are never used.
        :param is_cross_region: whether the server is in another region.
        :raises NotSent: if the server does not accept a connection, or this host has
            its share of the connections open already.
        """
        if not new_only:
            conn = self._take_idle(
                server, MAX_IDLE_AT_MOST_ONCE_S if at_most_once else MAX_IDLE_S
            )
            if conn is not None:
                return conn
        return self._connect(server, address, is_cross_region)

    def release(self, conn: Connection) -> None:
        """Keep a connection for reuse, after its response was read completely."""
        conn.last_used_at = self.clock()
        conn.is_reused = True
        with self._lock:
            self._idle.setdefault(conn.server, deque()).append(conn)

    def discard(self, conn: Connection) -> None:
        """Close a connection instead of keeping it."""
        conn.http.close()
        with self._lock:
            self._count_closed(conn.server)

    def close_idle(self, max_idle_s: float = MAX_IDLE_S) -> None:
        """Close the connections that were idle for a number of seconds or longer."""
        now = self.clock()
        expired = []
        with self._lock:
            for idle in self._idle.values():
                while idle and now - idle[0].last_used_at >= max_idle_s:
                    expired.append(idle.popleft())
        for conn in expired:
            self.discard(conn)

    def open_connection_counts(self) -> dict[str, int]:
        """Return the number of open connections by server, idle ones included."""
        with self._lock:
            return dict(self._open_counts)

    def _take_idle(self, server: str, max_idle_s: float) -> Connection | None:
        while True:
            with self._lock:
                idle = self._idle.get(server)
                if not idle:
                    return None
                conn = idle.pop()
            is_recent = self.clock() - conn.last_used_at < max_idle_s
            # An idle connection that is readable was closed by the server, or holds
            # bytes that belong to no request.
            if is_recent and conn.http.is_connected:
                return conn
            self.discard(conn)

    def _connect(self, server: str, address: str, is_cross_region: bool) -> Connection:
        max_connections = self.max_connections(server)
        with self._lock:
            if self._open_counts.get(server, 0) >= max_connections:
                raise NotSent(
                    f"All {max_connections} connections to {server} are open already.",
                    "Retry on another server.",
                )
            self._open_counts[server] = self._open_counts.get(server, 0) + 1
        host, port = address.rsplit(":", 1)
        http = LimitedConnection(
            host.strip("[]"),
            int(port),
            timeout=CONNECT_TIMEOUT_S,
            socket_options=_CROSS_REGION_SOCKET_OPTIONS
            if is_cross_region
            else _SOCKET_OPTIONS,
        )
        try:
            http.connect()
        except (OSError, HTTPError) as exc:
            http.close()
            with self._lock:
                self._count_closed(server)
            raise NotSent(
                f"{server} did not accept a connection: {type(exc).__name__}.",
                "Check that the server is up and its address is right.",
            ) from exc
        return Connection(server, http, http.sock, self.clock())

    def _count_closed(self, server: str) -> None:
        remaining_count = self._open_counts.get(server, 1) - 1
        if remaining_count:
            self._open_counts[server] = remaining_count
        else:
            self._open_counts.pop(server, None)


def send_request(
    conn: Connection,
    method: str,
    target: str,
    headers: HTTPHeaderDict,
    body: Iterator[bytes] | None,
    chunked: bool,
    timeout_s: float,
) -> None:
    """Send a request.

    An error of the connection is ignored here: the server may have responded before it
    read the whole request. Reading the response fails if it did not.

    :param body: yields the chunks of the body; nothing for a request without one.
    :param chunked: whether the body is sent with the chunked transfer coding.
    :param timeout_s: seconds after which a blocked write fails.
    :raises AnswerLate: if a write times out.
    """
    conn.http.timeout = timeout_s
    try:
        conn.http.request(
            method,
            target,
            body=body,
            headers=headers,
            chunked=chunked,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
    except TimeoutError as exc:
        raise AnswerLate(
            f"{conn.server} did not accept the request in time.", "Send it again later."
        ) from exc
    except (ConnectionError, HTTPError):
        return


def wait_for_response(
    conn: Connection, caller_sock: socket.socket | None, deadline: float, clock: Clock
) -> None:
    """Wait until the first bytes of the response arrive.

    :param caller_sock: the caller's socket; the wait ends if it is closed.
    :param deadline: seconds on the clock.
    :raises AnswerLate: if the deadline passes.
    :raises CallerGone: if the caller closes its connection.
    """
    poller = poll()
    upstream_fd = conn.sock.fileno()
    poller.register(upstream_fd, POLLIN)
    caller_fd = caller_sock.fileno() if caller_sock is not None else -1
    if caller_fd >= 0:
        poller.register(caller_fd, POLLIN)
    while True:
        remaining_s = deadline - clock()
        if remaining_s <= 0:
            raise AnswerLate(
                f"{conn.server} did not respond in time.", "Allow more time."
            )
        ready = {fd for fd, _ in poller.poll(remaining_s * 1000)}
        if upstream_fd in ready:
            return
        if caller_fd in ready:
            if _is_closed(caller_sock):
                raise CallerGone("The caller closed its connection.", "Send it again.")
            # The caller pipelined its next request; it is still connected.
            poller.unregister(caller_fd)
            caller_fd = -1


def read_response_head(conn: Connection, deadline: float, clock: Clock) -> HTTPResponse:
    """Read the status line and the headers of a response.

    :param deadline: seconds on the clock.
    :raises AnswerLate: if the deadline passes.
    :raises AnswerLost: if the connection fails or the response is malformed.
    """
    _apply_read_timeout(conn, deadline, clock)
    try:
        return conn.http.getresponse()
    except TimeoutError as exc:
        raise _late_response_error(conn) from exc
    except Exception as exc:
        # http.client raises several unrelated types for a malformed response.
        raise _lost_response_error(conn, exc) from exc


def read_body_chunk(
    conn: Connection, resp: HTTPResponse, size: int, deadline: float, clock: Clock
) -> bytes:
    """Read the next bytes of a response's body, or none at its end.

    :param size: bytes to read at most.
    :param deadline: seconds on the clock.
    :raises AnswerLate: if the deadline passes.
    :raises AnswerLost: if the response ends early.
    """
    _apply_read_timeout(conn, deadline, clock)
    try:
        return resp.read1(size, decode_content=False)
    except TimeoutError as exc:
        raise _late_response_error(conn) from exc
    except (OSError, HTTPError, ValueError) as exc:
        if "timed out" in str(exc):
            raise _late_response_error(conn) from exc
        raise _lost_response_error(conn, exc) from exc


def _apply_read_timeout(conn: Connection, deadline: float, clock: Clock) -> None:
    remaining_s = deadline - clock()
    if remaining_s <= 0:
        raise _late_response_error(conn)
    conn.http.timeout = remaining_s
    # The socket is closed already if the response was read completely and announced
    # that the connection ends.
    if conn.sock.fileno() >= 0:
        conn.sock.settimeout(remaining_s)


def _is_closed(caller_sock: socket.socket) -> bool:
    try:
        return caller_sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _late_response_error(conn: Connection) -> AnswerLate:
    return AnswerLate(
        f"The response of {conn.server} came too late.", "Allow more time."
    )


def _lost_response_error(conn: Connection, exc: Exception) -> AnswerLost:
    return AnswerLost(
        f"The response of {conn.server} was lost: {type(exc).__name__}.",
        "Ask the service for the state before you repeat the request.",
    )
