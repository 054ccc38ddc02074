"""Handle callers' requests: admission control, server selection and retries."""

from asyncio import get_running_loop
from random import Random

from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.server_selection import MAX_CANDIDATE_SERVERS, choose_server
from damasktally.decisions.weighted_round_robin import WeightedRoundRobin
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.crash_guard import CrashGuard
from damasktally.entry.final_responses import FinalResponses
from damasktally.entry.host_forwarder import HostForwarder
from damasktally.entry.host_headers import REFUSAL, ForwardedRequest
from damasktally.entry.leases import NO_LEASE_NEEDED, LeaseGate
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, AttemptOutcome, RequestTrace
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.refusals import retry_later_response, text_response
from damasktally.entry.request_log import log_request
from damasktally.entry.request_rules import (
    MIN_REMAINING_TIME_S,
    allowed_regions,
    deadline_of,
    find_route,
    priority_of,
    settles_request,
)
from damasktally.entry.retries import Retries
from damasktally.entry.server_sender import ServerSender
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Member, RetryPolicy, Server
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request, Response
from damasktally.platform.headers import AFFINITY_KEY, API_KEY, REQUEST_ID

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Retry delay that a host without a configuration sends, before jitter."""
RETURN_MEMORY_S = 5.0
"""A service that was regained so recently may not have room for all requests yet."""
NOT_SENT_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.ABANDONED,
        AttemptOutcome.REFUSED_BY_HOST,
    }
)
"""Outcomes after which no server has received the request."""


class RequestHandler:
    """Admit requests, forward them to servers, and log how they ended.

    :param view: configuration, evacuations and servers.
    :param candidates: ranks the servers for a request.
    :param sender: sends a request to one server.
    :param host_forwarder: sends a request to another host.
    :param reachability: tells which services this host reaches.
    :param crash_guard: decides which requests are blocked, since they end servers.
    :param quotas: rate limits of the customers.
    :param retries: decides whether a request may be sent once more.
    :param leases: decides which requests may be sent to contended servers.
    """

    def __init__(
        self,
        view: FleetView,
        candidates: ServerCandidates,
        sender: ServerSender,
        host_forwarder: HostForwarder,
        reachability: ReachabilityMonitor,
        crash_guard: CrashGuard,
        quotas: CustomerQuotas,
        retries: Retries,
        leases: LeaseGate,
        metrics: EntryMetrics,
        rng: Random,
    ) -> None:
        self._view = view
        self._candidates = candidates
        self._sender = sender
        self._host_forwarder = host_forwarder
        self._reachability = reachability
        self._crash_guard = crash_guard
        self._quotas = quotas
        self._retries = retries
        self._leases = leases
        self._metrics = metrics
        self._round_robin = WeightedRoundRobin()
        self._response_times = ResponseTimes()
        self._final_responses = FinalResponses(self._response_times, rng)
        self._loop = get_running_loop()

    async def handle(self, req: Request) -> Response:
        """Return the response to a request, and record how the request ended."""
        trace = RequestTrace((req.header(REQUEST_ID) or b"").decode("latin-1"))
        response = self._check_admission(req, trace) or self._take_quota(trace)
        if response is None:
            response = await self._forward_to_service(req, trace)
        self._record_request(req, trace, response)
        return response

    async def handle_forwarded(
        self, req: Request, forwarded: ForwardedRequest
    ) -> Response:
        """Return the response to a request that another host forwarded.

        That host took it from the customer's quota. A refusal by this one carries its
        reason and the request's id.
        """
        trace = RequestTrace((req.header(REQUEST_ID) or b"").decode("latin-1"))
        trace.forwarded = forwarded
        response = self._check_admission(req, trace)
        if response is None:
            response = await self._forward_to_service(req, trace)
        self._record_request(req, trace, response)
        if trace.reason is not Reason.ANSWERED and response.header(REQUEST_ID) is None:
            response.headers.append((REFUSAL, trace.reason.value.encode()))
            response.headers.append((REQUEST_ID, trace.request_id.encode()))
        return response

    def _check_admission(self, req: Request, trace: RequestTrace) -> Response | None:
        """Return the refusal of a request, or ``None`` if it is admitted.

        Sets the route and the customer of the trace.
        """
        cfg = self._view.configuration
        if cfg is None:
            return self._refuse_for_now(trace, Reason.NO_CONFIGURATION)
        trace.configuration = cfg.version
        if trace.forwarded and trace.forwarded.configuration > cfg.version:
            return self._refuse_for_now(trace, Reason.OLDER_CONFIGURATION)
        trace.route = find_route(cfg, req)
        if trace.route is None:
            trace.reason = Reason.NO_ROUTE
            return text_response(404, trace.reason.value)
        if cfg.customers and not trace.route.public:
            key = req.header(API_KEY) or b""
            trace.customer = cfg.customer_by_key.get(key.decode("latin-1"))
            if trace.customer is None:
                trace.reason = Reason.UNKNOWN_KEY
                return text_response(401, trace.reason.value)
        return None

    def _refuse_for_now(self, trace: RequestTrace, reason: Reason) -> Response:
        trace.reason = reason
        wait_s = self._final_responses.jitter(NO_CONFIGURATION_RETRY_AFTER_S)
        return retry_later_response(503, reason.value, wait_s)

    def _take_quota(self, trace: RequestTrace) -> Response | None:
        """Take a request from its customer's quota, or return its refusal."""
        now = self._loop.time()
        if trace.customer is None or self._quotas.take(trace.customer, now):
            return None
        trace.reason = Reason.OVER_RATE
        trace.inputs = self._quotas.decision_inputs(trace.customer, now)
        wait_s = self._final_responses.jitter(self._quotas.wait_s(trace.customer, now))
        return retry_later_response(429, trace.reason.value, wait_s)

    async def _forward_to_service(self, req: Request, trace: RequestTrace) -> Response:
        """Pick a service of the route and forward the request to its servers.

        A request that certainly did not run is refunded to the customer's quota.
        """
        trace.service = self._pick_service(trace)
        if trace.forwarded or self._reachability.is_reachable(trace.service):
            # Otherwise the host to which it is forwarded counts it.
            self._retries.record_request(trace.service, self._loop.time())
        deadline = deadline_of(req, trace.route)
        response = await self._forward_with_retries(req, trace, deadline)
        may_have_run = any(
            attempt.outcome
            in (AttemptOutcome.ANSWERED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT)
            for attempt in trace.attempts
        )
        if not may_have_run and trace.customer is not None and not trace.forwarded:
            self._quotas.refund(trace.customer)
        return response

    def _pick_service(self, trace: RequestTrace) -> str:
        """Return the service that the forwarding host picked, or the next by weight."""
        services = trace.route.services
        if trace.forwarded:
            if any(item.service == trace.forwarded.service for item in services):
                return trace.forwarded.service
        return self._round_robin.pick(trace.route.name, services)

    async def _forward_with_retries(
        self, req: Request, trace: RequestTrace, deadline: float
    ) -> Response:
        """Send a request to one server or host after the other until one settles it."""
        at_most_once = trace.route.retry_policy is RetryPolicy.NEVER
        tried_servers: list[str] = []
        send_count = 0
        while True:
            now = self._loop.time()
            if req.is_disconnected:
                trace.reason = Reason.CALLER_GONE
                return self._final_responses.from_failure(trace)
            if deadline - now < MIN_REMAINING_TIME_S:
                trace.reason = Reason.TIME_IS_UP
                return self._final_responses.from_failure(trace)
            if self._crash_guard.is_blocked(req, trace):
                return self._final_responses.from_failure(trace)
            target = self._select_target(req, trace, tried_servers, now)
            if target is None:
                trace.reason = trace.reason or Reason.NO_ROOM
                return self._final_responses.from_failure(trace)
            permit = NO_LEASE_NEEDED
            if self._needs_lease(trace, target, now):
                run_s = self._response_times.average_s(trace.service)
                permit = await self._sender.acquire_permit(
                    req, trace, target, deadline, run_s
                )
            if permit is None:
                continue
            if send_count and not self._retries.take(
                trace, send_count, self._loop.time()
            ):
                self._sender.withdraw(permit)
                return self._final_responses.from_failure(trace)
            trace.reason = None
            if isinstance(target, Member):
                attempt = await self._send_to_host(
                    req, trace, target, deadline, send_count
                )
            else:
                attempt = await self._sender.send(req, trace, target, permit, deadline)
                tried_servers.append(target.id)
            trace.attempts.append(attempt)
            if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT):
                self._response_times.record(trace.service, attempt.duration_s)
            send_count += attempt.outcome not in NOT_SENT_OUTCOMES
            if settles_request(attempt, at_most_once):
                return self._final_responses.from_attempt(attempt, trace)

    def _needs_lease(
        self, trace: RequestTrace, target: Server | Member, now: float
    ) -> bool:
        """Return whether a lease is needed before the request is sent.

        After a refusal, the service is contended, and an estimate by which another
        server is free may be old. Without this, 40 percent of the requests at twice
        the servers' capacity were sent without a lease.
        """
        if isinstance(target, Member):
            return False
        if trace.needs_lease or trace.lease_refusal is not None:
            return True
        return self._leases.is_contended(target, now)

    def _select_target(
        self, req: Request, trace: RequestTrace, tried_servers: list[str], now: float
    ) -> Server | Member | None:
        """Return the server, or else the host, for the next attempt.

        A host is chosen if this one does not reach the service, or does not reach the
        servers that would have room.
        """
        home_regions = allowed_regions(trace.route, trace.customer)
        if home_regions is None:
            trace.reason = Reason.NO_COMMON_HOME
            return None
        if not self._reachability.is_reachable(trace.service):
            host = self._select_host(trace, home_regions)
            if host is not None:
                return host
        affinity_key = req.header(AFFINITY_KEY) if trace.route.affinity else None
        ranked = self._candidates.rank_servers(
            trace.service, home_regions, affinity_key, tried_servers, now
        )
        if trace.lease_refusal is not None:
            return self._choose_free_server(ranked, trace, now)
        if ranked:
            return self._choose_server(ranked, trace, now)
        if self._are_servers_missing(trace.service, home_regions, now):
            host = self._select_host(trace, home_regions)
            if host is not None:
                return host
        self._explain_missing_servers(trace, home_regions, tried_servers, now)
        return None

    def _select_host(
        self, trace: RequestTrace, home_regions: frozenset[str]
    ) -> Member | None:
        """Return another host for a request that no host forwarded yet, if any."""
        if trace.forwarded:
            return None
        return self._host_forwarder.choose(
            trace.service, home_regions, trace.hosts_tried
        )

    def _are_servers_missing(
        self, service: str, home_regions: frozenset[str], now: float
    ) -> bool:
        """Return whether other hosts may have servers to use that this one lacks.

        It may not reach some of them, or treat them as restarted after a return.
        """
        if self._reachability.was_regained_within(service, RETURN_MEMORY_S, now):
            return True
        return self._candidates.has_unreachable_server(service, home_regions)

    async def _send_to_host(
        self,
        req: Request,
        trace: RequestTrace,
        member: Member,
        deadline: float,
        send_count: int,
    ) -> Attempt:
        """Forward a request to another host, with the attempts that are left."""
        trace.hosts_tried.append(member.host)
        forwarded = ForwardedRequest(
            self._host_forwarder.own_name,
            trace.service,
            trace.route.max_attempts - send_count,
            trace.configuration,
        )
        return await self._host_forwarder.send(
            req, member, trace.route, forwarded, deadline
        )

    def _explain_missing_servers(
        self,
        trace: RequestTrace,
        home_regions: frozenset[str],
        tried_servers: list[str],
        now: float,
    ) -> None:
        """Set why no server is usable, and when one may be."""
        trace.retry_after_s = self._candidates.pause_end_s(
            trace.service, home_regions, now
        )
        if trace.retry_after_s is not None:
            trace.reason = Reason.SERVERS_PAUSED
        elif not tried_servers:
            trace.reason = Reason.NO_SERVER

    def _choose_server(
        self, ranked: list[Server], trace: RequestTrace, now: float
    ) -> Server | None:
        """Return the server with room among the first ranked ones, or ``None``.

        If all of them look full, and other hosts' requests are decided by lease
        managers, the one with the least load is returned: its manager decides.
        """
        trace.needs_lease = False
        estimated_load = self._candidates.loads.estimate
        selected = choose_server(
            ranked,
            lambda server: estimated_load(server.id, now),
            priority_of(trace.route, trace.customer),
        )
        if selected is None:
            trace.inputs = {
                f"held by {server.id}": round(estimated_load(server.id, now), 1)
                for server in ranked[:MAX_CANDIDATE_SERVERS]
            }
            if self._leases.is_enabled:
                trace.needs_lease = True
                return min(
                    ranked[:MAX_CANDIDATE_SERVERS],
                    key=lambda server: (
                        estimated_load(server.id, now) / max(1, server.slots)
                    ),
                )
        return selected

    def _choose_free_server(
        self, ranked: list[Server], trace: RequestTrace, now: float
    ) -> Server | None:
        """Return a candidate that looks free, after the manager of another refused."""
        trace.needs_lease = False
        for server in ranked[:MAX_CANDIDATE_SERVERS]:
            is_refused = server.id in trace.servers_refused
            if not is_refused and not self._leases.is_contended(server, now):
                return server
        trace.reason = trace.lease_refusal
        return None

    def _record_request(
        self, req: Request, trace: RequestTrace, response: Response
    ) -> None:
        """Update the metrics and write the request's log line."""
        duration_s = self._loop.time() - req.first_byte_at
        answered = trace.reason is Reason.ANSWERED
        self._metrics.requests.labels("answered" if answered else "refused").inc()
        self._metrics.request_seconds.observe(duration_s)
        if not answered:
            self._metrics.refusals.labels(trace.reason.value).inc()
        log_request(req, trace, response.status, self._view, self._loop.time())
