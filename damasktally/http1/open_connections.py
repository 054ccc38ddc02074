"""Bound the connections of a port, so that new callers are always let in."""

from collections.abc import Iterator
from enum import Enum, auto
from typing import Generic, Protocol, TypeVar

DEFAULT_MAX_CONNECTIONS = 1024
WAITING_FRACTION = 1 / 4
"""Part of a port's connections that may wait for their first request before idle ones
give way to them; a new caller has some time to send its request for it."""


class ConnectionState(Enum):
    """What a connection is used for."""

    WAITING = auto()
    """No whole request has arrived yet."""
    BUSY = auto()
    """A request is being handled."""
    IDLE = auto()
    """The latest request was answered, and another one may come."""
    ENDED = auto()
    """The last response was sent."""


class Closable(Protocol):
    """A connection that can be closed at once."""

    def abort(self) -> None:
        """Close the connection immediately."""


Connection = TypeVar("Connection", bound=Closable)


class OpenConnections(Generic[Connection]):
    """The connections of a port, of which one gives way to a new one beyond a limit.

    That is one whose last response was sent, else the one that has waited longest for
    its first request if many do, else the one that has been idle for longest.
    Connections whose request is being handled are never closed; if all are, the new
    one is.

    :param max_count: limit on the connections.

    ``evicted_count`` is how many gave way, or were not let in.
    """

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._max_waiting = max_count * WAITING_FRACTION
        self._states: dict[Connection, ConnectionState] = {}
        # The one that has been in a state for longest comes first.
        self._by_state: dict[ConnectionState, dict[Connection, None]] = {
            state: {} for state in ConnectionState
        }
        self.evicted_count = 0

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self._states))

    def __len__(self) -> int:
        return len(self._states)

    def add(self, conn: Connection) -> None:
        """Add a new connection, and close another one if there are too many."""
        self._set(conn, ConnectionState.WAITING)
        if len(self._states) > self._max_count:
            victim = self._choose_victim()
            self.discard(victim)
            self.evicted_count += 1
            victim.abort()

    def mark(self, conn: Connection, state: ConnectionState) -> None:
        """Record what a connection is used for from now on, unless it has ended."""
        if conn in self._states:
            self.discard(conn)
            self._set(conn, state)

    def discard(self, conn: Connection) -> None:
        """Remove a connection that has ended; more calls have no effect."""
        state = self._states.pop(conn, None)
        if state is not None:
            del self._by_state[state][conn]

    def _set(self, conn: Connection, state: ConnectionState) -> None:
        self._states[conn] = state
        self._by_state[state][conn] = None

    def _choose_victim(self) -> Connection:
        """Return the connection to close, which is the new one if all are busy."""
        waiting = self._by_state[ConnectionState.WAITING]
        ended = self._by_state[ConnectionState.ENDED]
        idle = self._by_state[ConnectionState.IDLE]
        if ended:
            return next(iter(ended))
        if len(waiting) > self._max_waiting or not idle:
            return next(iter(waiting))
        return next(iter(idle))
