"""State shared by all connections of one listening port."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from damasktally.fleet.model import CallerLimits
from damasktally.http1.messages import Request, Response
from damasktally.http1.open_connections import (
    DEFAULT_MAX_CONNECTIONS,
    OpenConnections,
)
from damasktally.http1.request_body import UploadAdmission
from damasktally.http1.request_memory import RequestMemory
from damasktally.http1.shared_reads import make_read_buffer
from damasktally.http1.unsent_responses import UnsentResponses

Handler = Callable[[Request], Awaitable[Response]]


def default_connections() -> OpenConnections:
    """Return the connections of a port for which no limit was given."""
    return OpenConnections(DEFAULT_MAX_CONNECTIONS)


@dataclass(slots=True)
class PortState:
    """State shared by all connections of one listening port.

    :param handle: coroutine function that returns the response to a request.
    :param limits: returns the caller limits that are in force.
    :param uploads: decides which request bodies are forwarded as they arrive; without
        it, all are received whole.
    :param unsent: receives the connections to which whole responses were written.
    :param draining: whether each response closes its connection, so that the caller
        connects to another host.
    :param closed: whether new connections are aborted without being read.
    :param memory: bounds the memory of requests.
    :param connections: open connections, whose number is limited.
    :param read_buffer: for the reads of all connections.
    """

    handle: Handler
    limits: Callable[[], CallerLimits]
    uploads: UploadAdmission | None = None
    unsent: UnsentResponses = field(default_factory=UnsentResponses)
    draining: bool = False
    closed: bool = False
    memory: RequestMemory = field(default_factory=RequestMemory)
    connections: OpenConnections = field(default_factory=default_connections)
    read_buffer: memoryview = field(default_factory=make_read_buffer)

    def idle_timeout_s(self) -> float:
        """Return the seconds for which a connection may be idle."""
        return self.limits().idle_timeout_s

    def enforce_timeouts(self, now: float) -> None:
        """Close connections that exceeded the idle or the request head timeout.

        :param now: time of the event loop's clock in seconds.
        """
        limits = self.limits()
        for conn in self.connections:
            conn.check_timeouts(now, limits)

    def close_idle(self) -> None:
        """Close the connections that have no request in flight."""
        for conn in self.connections:
            conn.close_if_idle()

    def abort_all(self) -> None:
        """Close every connection immediately, whatever its state."""
        for conn in self.connections:
            conn.abort()

    @property
    def busy_connection_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(conn.is_busy for conn in self.connections)
