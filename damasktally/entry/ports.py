"""Listen on a host's ports, and end their connections when it stops."""

from asyncio import Server, get_running_loop, sleep
from collections.abc import Callable
from functools import partial
from typing import Any

from damasktally.addresses import split_address
from damasktally.entry.caller_resources import (
    CALLERS_FRACTION,
    DIRECTORY_FRACTION,
    FORWARDING_FRACTION,
    OPERATORS_FRACTION,
    CallerResources,
)
from damasktally.entry.host_handlers import HostHandlers
from damasktally.entry.listening import listen_on
from damasktally.entry.settings import ListenSection
from damasktally.fleet.model import CallerLimits
from damasktally.http1.inbound import CallerPort
from damasktally.http1.port_state import Handler
from damasktally.http1.request_body import UploadAdmission
from damasktally.http1.unsent_responses import UnsentResponses

STOP_POLL_INTERVAL_S = 0.05


class HostPorts:
    """The ports of a host by which it takes requests.

    :param callers: address and port for callers' requests.
    :param others: the other ports by address. A stop waits for the responses of those
        in ``request_ports``.
    """

    def __init__(
        self,
        callers: tuple[str, CallerPort],
        others: dict[str, CallerPort],
        request_ports: list[CallerPort],
    ) -> None:
        self._by_address = {callers[0]: callers[1], **others}
        self._request_ports = request_ports
        self._servers: list[Server] = []

    @classmethod
    def from_config(
        cls,
        listen: ListenSection,
        limits: Callable[[], CallerLimits],
        handle_request: Handler,
        handle_forwarded: Handler,
        handlers: HostHandlers,
        uploads: UploadAdmission,
        unsent: UnsentResponses,
        resources: CallerResources,
    ) -> "HostPorts":
        """Return the ports for a host's settings.

        :param limits: returns the limits that hold for callers' requests.
        :param uploads: decides which request bodies are forwarded as they arrive.
        :param unsent: receives the connections at which whole responses wait.
        :param resources: what all of them may use.
        """

        def create(handle: Handler, fraction: float, *args: Any) -> CallerPort:
            connections = resources.connections(fraction)
            memory = resources.memory
            return CallerPort(handle, *args, memory=memory, connections=connections)

        streaming = (uploads, unsent)
        callers = create(handle_request, CALLERS_FRACTION, limits, *streaming)
        forwarding = create(
            handle_forwarded, FORWARDING_FRACTION, CallerLimits, *streaming
        )
        others = {
            listen.forwarding: forwarding,
            listen.readiness: create(
                handlers.handle_readiness, OPERATORS_FRACTION, CallerLimits
            ),
            listen.directory: create(
                handlers.handle_lookup, DIRECTORY_FRACTION, CallerLimits
            ),
            listen.metrics: create(
                handlers.handle_metrics, OPERATORS_FRACTION, CallerLimits
            ),
        }
        used = {address: port for address, port in others.items() if address}
        return cls((listen.callers, callers), used, [callers, forwarding])

    async def listen(self) -> None:
        """Accept connections on all ports."""
        loop = get_running_loop()
        for name, port in self._by_address.items():
            create = partial(loop.create_server, port.create_protocol)
            self._servers.append(await listen_on(split_address(name), create))

    def drain(self) -> None:
        """Let each response close its connection, so that callers go elsewhere."""
        for port in self._request_ports:
            port.draining = True

    async def finish_requests(self, deadline: float) -> None:
        """Take no more requests, and wait until all under way have ended.

        :param deadline: when to stop waiting, in seconds on the event loop's clock.
        """
        loop = get_running_loop()
        self._servers[0].close()
        for port in self._request_ports:
            port.closed = True
            port.close_idle()
        while self.busy_connection_count and loop.time() < deadline:
            await sleep(STOP_POLL_INTERVAL_S)
            for port in self._request_ports:
                port.close_idle()

    @property
    def callers(self) -> CallerPort:
        """Return the port for callers' requests."""
        return self._request_ports[0]

    @property
    def busy_connection_count(self) -> int:
        """Return the number of connections with a request under way."""
        return sum(port.busy_connection_count for port in self._request_ports)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections at all ports."""
        return sum(len(port.connections) for port in self._by_address.values())

    @property
    def evicted_connection_count(self) -> int:
        """Return how many connections were closed, as a port had too many."""
        return sum(port.connections.evicted_count for port in self._by_address.values())

    def enforce_timeouts(self, now: float) -> None:
        """Close connections that exceeded a timeout.

        :param now: seconds on the event loop's clock.
        """
        for port in self._by_address.values():
            port.enforce_timeouts(now)

    def close(self) -> None:
        """Close all ports and connections at once."""
        for server in self._servers:
            server.close()
        for port in self._by_address.values():
            port.abort_all()
