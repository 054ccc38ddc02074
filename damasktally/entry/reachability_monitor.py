"""Observe which services this host reaches, and log when that changes.

The results of callers' requests are the measurement. If they suggest that a service is
not reached any more, connections without a request tell, so that no caller waits for
the result. Such a connection is kept for the next request to that server.
"""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from random import Random

from damasktally.decisions.service_reachability import ServiceReachability
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.events import emit
from damasktally.events.catalogue import SERVICE_REACHABLE, SERVICE_UNREACHABLE
from damasktally.fleet.model import Server
from damasktally.http1.connecting import ConnectFailed

PROBE_TIMEOUT_S = 0.35
PROBE_SETTLE_S = 0.05
"""A connection that is reset this soon was accepted by something before the server."""
SERVERS_PER_PROBE = 3
"""Servers that are connected to at once after the first one failed."""
ANY_REGION: frozenset[str] = frozenset()


class ReachabilityMonitor:
    """Record the results of requests by service, and open connections if they fail.

    :param candidates: lists the servers of a service.
    :param pool: opens connections, and keeps them.
    :param rng: chooses the servers to connect to.
    """

    def __init__(
        self, candidates: ServerCandidates, pool: ConnectionPool, rng: Random
    ) -> None:
        self._candidates = candidates
        self._pool = pool
        self._rng = rng
        self._loop = get_running_loop()
        self._reachability = ServiceReachability()
        self._probes: dict[str, Task] = {}

    def is_reachable(self, service: str) -> bool:
        """Return whether this host is assumed to reach servers of a service."""
        return self._reachability.is_reachable(service)

    def was_regained_within(self, service: str, seconds: float, now: float) -> bool:
        """Return whether this host began to reach a service again so recently."""
        return self._reachability.was_regained_within(service, seconds, now)

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the sorted names of the services that this host does not reach."""
        return self._reachability.unreachable_services()

    def record_sent(self, server: Server) -> None:
        """Record that a request is being sent to a server."""
        self._reachability.record_sent(server.service, self._loop.time())

    def record_ended(self, server: Server) -> None:
        """Record that a request to a server ended, whatever the result."""
        self._reachability.record_ended(server.service)

    def record_answered(self, server: Server) -> None:
        """Record a response of a server."""
        now = self._loop.time()
        if self._reachability.record_answered(server.service, now):
            emit(SERVICE_REACHABLE, service=server.service)

    def record_failure(self, server: Server, error: str) -> None:
        """Record that a connection was lost or not established.

        :param error: what happened, for the log.
        """
        now = self._loop.time()
        count = len(self._servers(server.service))
        if self._reachability.record_failure(server.service, server.id, count, now):
            emit(
                SERVICE_UNREACHABLE,
                service=server.service,
                server=server.id,
                error=error,
                servers=count,
            )
        self._probe_if_due(server.service, now)

    def probe(self, now: float) -> None:
        """Open connections to services that do not seem to be reached.

        :param now: seconds on the event loop's clock.
        """
        for service in self._reachability.services():
            self._probe_if_due(service, now)

    def _probe_if_due(self, service: str, now: float) -> None:
        if service in self._probes or not self._reachability.is_probe_due(service, now):
            return
        task = self._probes[service] = create_task(self._probe(service))
        task.add_done_callback(lambda _: self._probes.pop(service, None))

    async def _probe(self, service: str) -> None:
        """Connect to one server, and to some more if that fails."""
        servers = self._servers(service)
        chosen = self._rng.sample(servers, min(1 + SERVERS_PER_PROBE, len(servers)))
        if chosen and not await self._connect(chosen[0]):
            await gather(*(self._connect(server) for server in chosen[1:]))

    async def _connect(self, server: Server) -> bool:
        """Open a connection to a server, and record whether it succeeded."""
        try:
            conn = await self._pool.open(server.id, server.address, PROBE_TIMEOUT_S)
        except ConnectFailed as exc:
            self.record_failure(server, exc.message)
            return False
        await sleep(PROBE_SETTLE_S)
        if not conn.can_send:
            self.record_failure(server, "The connection was closed at once.")
            return False
        self._pool.release(server.id, conn)
        now = self._loop.time()
        if self._reachability.record_connected(server.service, now):
            emit(SERVICE_REACHABLE, service=server.service)
        return True

    def _servers(self, service: str) -> list[Server]:
        return self._candidates.eligible_servers(service, ANY_REGION)

    def keep_only(self, services: set[str]) -> None:
        """Remove what is known of services that have no servers any more."""
        self._reachability.keep_only(services)

    def close(self) -> None:
        """Cancel all connection attempts."""
        for task in list(self._probes.values()):
            task.cancel()
