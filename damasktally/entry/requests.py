"""Handle callers' requests: admission control, server selection and retries."""

from asyncio import get_running_loop
from random import Random

from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.weighted_round_robin import WeightedRoundRobin
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.crash_guard import CrashGuard
from damasktally.entry.final_responses import FinalResponses
from damasktally.entry.host_forwarder import HostForwarder
from damasktally.entry.host_headers import REFUSAL, ForwardedRequest
from damasktally.entry.leases import NO_LEASE_NEEDED, LeaseGate, Permit
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import (
    MAY_HAVE_RUN_OUTCOMES,
    Attempt,
    AttemptOutcome,
    RequestTrace,
)
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.refusals import retry_later_response, text_response
from damasktally.entry.request_log import log_request
from damasktally.entry.request_rules import (
    MIN_REMAINING_TIME_S,
    deadline_of,
    find_route,
    settles_request,
)
from damasktally.entry.retries import Retries
from damasktally.entry.server_sender import ServerSender
from damasktally.entry.target_selection import TargetSelector
from damasktally.entry.time_guard import TimeGuard
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Member, RetryPolicy, Server, revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request, Response
from damasktally.platform.headers import API_KEY, REQUEST_ID

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Retry delay that a host without a configuration sends, before jitter."""
ROOM_RETRY_AFTER_S = 0.1
"""Retry delay for a caller whose request may not be sent to another server although one
has room: the caller's own next attempt counts as a new request."""
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
    :param time_guard: decides which requests have time for a run.
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
        time_guard: TimeGuard,
        metrics: EntryMetrics,
        rng: Random,
    ) -> None:
        self._view = view
        self._sender = sender
        self._host_forwarder = host_forwarder
        self._reachability = reachability
        self._crash_guard = crash_guard
        self._quotas = quotas
        self._retries = retries
        self._time_guard = time_guard
        self._metrics = metrics
        self._round_robin = WeightedRoundRobin()
        self._response_times = ResponseTimes()
        self._targets = TargetSelector(
            candidates,
            host_forwarder,
            reachability,
            leases,
            time_guard,
            metrics,
        )
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
        if req.upload is not None and req.upload.is_refused:
            return self._refuse_for_now(trace, Reason.NO_MEMORY)
        cfg = self._view.configuration
        if cfg is None:
            return self._refuse_for_now(trace, Reason.NO_CONFIGURATION)
        trace.configuration = cfg.version
        if trace.forwarded and trace.forwarded.configuration > cfg.version:
            return self._refuse_for_now(trace, Reason.OLDER_CONFIGURATION)
        trace.route = find_route(cfg, req)
        if trace.route is None:
            trace.reason = Reason.NO_ROUTE
            trace.inputs = self._configuration_inputs()
            return text_response(404, trace.reason.value)
        if cfg.customers and not trace.route.public:
            key = req.header(API_KEY) or b""
            trace.customer = cfg.customer_by_key.get(key.decode("latin-1"))
            if trace.customer is None:
                trace.reason = Reason.UNKNOWN_KEY
                trace.inputs = self._configuration_inputs()
                return text_response(401, trace.reason.value)
        return None

    def _configuration_inputs(self) -> dict[str, float]:
        """Return how recent the configuration is that a refusal is based on."""
        topic, staleness = Topic.CONFIGURATION, self._view.staleness
        now = self._loop.time()
        return {
            "configuration age s": round(staleness.confirmed_age_s(topic, now), 2),
            "revision": revision_in_era(self._view.revisions[topic]),
            "newest heard": revision_in_era(staleness.newest_heard(topic)),
            "behind for s": round(staleness.behind_s(topic, now), 2),
        }

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
        deadline = trace.deadline = deadline_of(req, trace.route)
        response = await self._forward_with_retries(req, trace, deadline)
        may_have_run = any(
            attempt.outcome in MAY_HAVE_RUN_OUTCOMES for attempt in trace.attempts
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
            if self._is_stopped(req, trace, deadline, now):
                return self._final_responses.from_failure(trace)
            target = self._targets.select(req, trace, tried_servers, now)
            if target is None:
                trace.reason = trace.reason or Reason.NO_ROOM
                return self._final_responses.from_failure(trace)
            permit = await self._acquire_permit(req, trace, target, deadline, now)
            if permit is None:
                continue
            if send_count and not self._retries.take(
                trace, send_count, self._loop.time()
            ):
                self._sender.withdraw(permit)
                # The target has room, so the caller need not wait for any.
                trace.retry_after_s = ROOM_RETRY_AFTER_S
                return self._final_responses.from_failure(trace)
            trace.reason = None
            if isinstance(target, Member):
                attempt = await self._send_to_host(
                    req, trace, target, deadline, send_count
                )
            else:
                attempt = await self._sender.send(req, trace, target, permit, deadline)
                tried_servers.append(target.id)
                self._record_times(trace, target, attempt)
            trace.attempts.append(attempt)
            send_count += attempt.outcome not in NOT_SENT_OUTCOMES
            if req.upload is not None and req.upload.is_started:
                return self._final_responses.from_upload(req, attempt, trace)
            if settles_request(attempt, at_most_once):
                return self._final_responses.from_attempt(attempt, trace)

    def _is_stopped(
        self, req: Request, trace: RequestTrace, deadline: float, now: float
    ) -> bool:
        """Return whether no further attempt may be made, and set the reason."""
        if req.is_disconnected:
            trace.reason = Reason.CALLER_GONE
            return True
        if deadline - now < MIN_REMAINING_TIME_S:
            trace.reason = Reason.TIME_IS_UP
            return True
        return self._crash_guard.is_blocked(req, trace)

    async def _acquire_permit(
        self,
        req: Request,
        trace: RequestTrace,
        target: Server | Member,
        deadline: float,
        now: float,
    ) -> Permit | None:
        """Acquire a lease if one is needed.

        :returns: the permit, or ``None`` if the target has to be selected again.
        """
        if not self._targets.needs_lease(trace, target, now):
            return NO_LEASE_NEEDED
        run_s = self._response_times.average_s(trace.service)
        return await self._sender.acquire_permit(req, trace, target, deadline, run_s)

    def _record_times(
        self, trace: RequestTrace, server: Server, attempt: Attempt
    ) -> None:
        """Record how long a server took for an attempt."""
        if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT):
            self._response_times.record(trace.service, attempt.server_duration_s)
        now = self._loop.time()
        self._time_guard.record_attempt(trace, server.id, attempt, now)

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
