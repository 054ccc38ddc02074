"""Send requests to servers, with a lease if the server is contended."""

from asyncio import get_running_loop

from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.crash_guard import CrashGuard
from damasktally.entry.forwarder import Forwarder
from damasktally.entry.leases import LeaseGate, Permit
from damasktally.entry.outcome import Attempt, AttemptOutcome, RequestTrace
from damasktally.entry.request_rules import MIN_REMAINING_TIME_S, allowed_regions
from damasktally.events.reasons import Reason
from damasktally.fleet.model import RetryPolicy, Server
from damasktally.http1.messages import Request


class ServerSender:
    """Acquire permits for requests, and send them.

    :param forwarder: sends a request to one server.
    :param candidates: tells whether a server may still be used after a wait.
    :param leases: decides which requests may be sent to contended servers.
    :param crash_guard: decides which requests are blocked, since they end servers.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        candidates: ServerCandidates,
        leases: LeaseGate,
        crash_guard: CrashGuard,
    ) -> None:
        self._forwarder = forwarder
        self._candidates = candidates
        self._leases = leases
        self._crash_guard = crash_guard
        self._loop = get_running_loop()

    async def acquire_permit(
        self,
        req: Request,
        trace: RequestTrace,
        server: Server,
        deadline: float,
        run_s: float,
    ) -> Permit | None:
        """Acquire a lease for a request to a contended server.

        :param deadline: time on the event loop's clock in seconds.
        :param run_s: seconds that the request is expected to run.
        :returns: the permit, also if no manager decided; ``None`` if what to do with
            the request has to be decided again, as the lease was refused, or the
            server may not be used any more after the wait.
        """
        permit = await self._leases.acquire(req, trace, server, deadline, run_s)
        if permit.is_refused:
            return None
        if permit.is_unanswered and trace.needs_lease:
            trace.lease_refusal = Reason.NO_ROOM
            trace.servers_refused.append(server.id)
            return None
        if self._is_sendable(req, trace, server, deadline):
            return permit
        self.withdraw(permit)
        return None

    def withdraw(self, permit: Permit) -> None:
        """End the lease of a request that is not sent."""
        self._leases.release(permit, None)

    async def send(
        self,
        req: Request,
        trace: RequestTrace,
        server: Server,
        permit: Permit,
        deadline: float,
    ) -> Attempt:
        """Send a request to a server, and end its lease when the attempt has ended.

        :param deadline: time on the event loop's clock in seconds.
        """
        at_most_once = trace.route.retry_policy is RetryPolicy.NEVER
        attempt = None
        try:
            attempt = await self._forwarder.send(
                req, server, trace.customer, deadline, at_most_once
            )
        finally:
            self._leases.release(permit, attempt)
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            self._leases.record_rejection(server.id, self._loop.time())
        self._crash_guard.record_attempt(req, trace, server, attempt)
        return attempt

    def _is_sendable(
        self, req: Request, trace: RequestTrace, server: Server, deadline: float
    ) -> bool:
        """Return whether a request that waited may still be sent to a server."""
        now = self._loop.time()
        if req.is_disconnected or deadline - now < MIN_REMAINING_TIME_S:
            return False
        if self._crash_guard.is_blocked(req, trace):
            return False
        home_regions = allowed_regions(trace.route, trace.customer)
        return self._candidates.accepts(server, home_regions, now)
