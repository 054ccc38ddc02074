"""Let requests pass to a contended server only with a lease."""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from damasktally.decisions.load import ServerLoads
from damasktally.entry.leases.client import Lease, LeaseClient, LeaseNeed, LeaseResult
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, RequestTrace
from damasktally.entry.request_rules import priority_of
from damasktally.events import emit
from damasktally.events.catalogue import LEASE_WAIT_ENDED
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Route, Server
from damasktally.http1.messages import Request
from damasktally.platform.headers import decode_server_report

CONTENDED_LOAD_PER_SLOT = 2 / 3
"""Outstanding requests for each slot from which a server counts as contended."""
REJECTION_MEMORY_S = 2.0
"""A server counts as contended for this long after it or its manager had no room."""
DEADLINE_FRACTION = 0.5
"""Fraction of the time until its deadline within which a request without an objective
has to end, if it waits."""
REFUSALS = frozenset({LeaseResult.REFUSED, LeaseResult.WAITED_TOO_LONG})


@dataclass(frozen=True, slots=True)
class Permit:
    """Whether a request may be sent, and the lease for it if there is one.

    :param lease: ``None`` if none was needed.
    """

    lease: Lease | None = None

    @property
    def is_refused(self) -> bool:
        """Return whether the manager has no room for the request."""
        return self.lease is not None and self.lease.result in REFUSALS

    @property
    def is_unanswered(self) -> bool:
        """Return whether a lease was needed, and no manager decided."""
        return self.lease is not None and self.lease.result in (
            LeaseResult.NO_REPLY,
            LeaseResult.NOT_MANAGER,
        )


NO_LEASE_NEEDED = Permit()


class LeaseGate:
    """Decide which requests need a lease, and acquire and release it.

    :param loads: estimates the load of each server.
    """

    def __init__(
        self, client: LeaseClient, loads: ServerLoads, metrics: EntryMetrics
    ) -> None:
        self.is_enabled = client.is_enabled
        self._client = client
        self._loads = loads
        self._metrics = metrics
        self._loop = get_running_loop()
        self._rejected_at: dict[str, float] = {}

    def is_contended(self, server: Server, now: float) -> bool:
        """Return whether a request to a server needs a lease."""
        if not self.is_enabled:
            return False
        load = self._loads.estimate(server.id, now)
        if load >= CONTENDED_LOAD_PER_SLOT * server.slots:
            return True
        return now - self._rejected_at.get(server.id, -inf) < REJECTION_MEMORY_S

    def record_rejection(self, server: str, now: float) -> None:
        """Record that a server, or its manager, had no room for a request."""
        self._rejected_at[server] = now

    def keep_only(self, servers: set[str]) -> None:
        """Forget the rejections of all but the given servers."""
        for name in [name for name in self._rejected_at if name not in servers]:
            del self._rejected_at[name]

    async def acquire(
        self,
        req: Request,
        trace: RequestTrace,
        server: Server,
        deadline: float,
        run_s: float,
    ) -> Permit:
        """Acquire a lease for a request; while it waits, its caller may leave.

        :param deadline: time on the event loop's clock in seconds.
        :param run_s: seconds that the request is expected to run.
        """
        customer = trace.customer.name if trace.customer else ""
        wait_s = max_wait_s(req, trace.route, deadline, self._loop.time(), run_s)
        need = LeaseNeed(
            priority_of(trace.route, trace.customer), customer, wait_s, run_s
        )

        def on_wait(leave: Callable[[], None]) -> None:
            req.on_disconnect = leave

        try:
            lease = await self._client.acquire(server, need, on_wait)
        finally:
            req.on_disconnect = None
        self._record(lease, trace, server)
        return Permit(lease)

    def release(self, permit: Permit, attempt: Attempt | None) -> None:
        """End a request's lease, if it has one.

        :param attempt: what became of the request, or ``None`` if that is unknown.
        """
        if permit.lease is None or permit.lease.result is not LeaseResult.GRANTED:
            return
        report = None
        if attempt is not None and attempt.response is not None:
            report = decode_server_report(attempt.response)
        if report is None or report.running is None or report.waiting is None:
            self._client.release(permit.lease)
        else:
            self._client.release(permit.lease, report.running, report.waiting)

    def _record(self, lease: Lease, trace: RequestTrace, server: Server) -> None:
        """Count how asking ended, and log a wait."""
        self._metrics.leases.labels(lease.result.value).inc()
        trace.waited_s += lease.waited_s
        if lease.result in REFUSALS:
            self.record_rejection(server.id, self._loop.time())
            trace.lease_refusal = (
                Reason.WAITED_TOO_LONG if lease.ahead is not None else Reason.NO_ROOM
            )
            trace.servers_refused.append(server.id)
            trace.inputs = {
                "room expected after ms": round(lease.room_after_s * 1000),
                "waited for a lease for ms": round(trace.waited_s * 1000),
            }
            trace.retry_after_s = lease.room_after_s or None
        if lease.ahead is None:
            return
        self.record_rejection(server.id, self._loop.time())
        self._metrics.lease_wait_seconds.observe(lease.waited_s)
        emit(
            LEASE_WAIT_ENDED,
            request=trace.request_id,
            server=server.id,
            manager=lease.manager.host,
            outcome=lease.result.value,
            waited_ms=round(lease.waited_s * 1000, 1),
            behind=lease.ahead,
        )


def max_wait_s(
    req: Request, route: Route, deadline: float, now: float, run_s: float
) -> float:
    """Return how long a request may wait and still end in time.

    It has to end within its objective or, if it has none, within
    :data:`DEADLINE_FRACTION` of the time that it had until its deadline.

    :param deadline: time on the event loop's clock in seconds.
    :param run_s: seconds that the request is expected to run.
    """
    if route.target_latency_s > 0:
        end_by = min(deadline, req.first_byte_at + route.target_latency_s)
    else:
        end_by = req.first_byte_at + DEADLINE_FRACTION * (deadline - req.first_byte_at)
    return max(0.0, end_by - now - run_s)
