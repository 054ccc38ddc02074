"""Handle callers' requests: admission control, server selection and retries."""

from asyncio import get_running_loop
from random import Random

from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.retry_budget import RetryBudget
from damasktally.decisions.server_selection import MAX_CANDIDATE_SERVERS, choose_server
from damasktally.decisions.weighted_round_robin import WeightedRoundRobin
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.crash_reports import CrashReports
from damasktally.entry.fingerprint import fingerprint_of
from damasktally.entry.forwarder import Forwarder
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, AttemptOutcome, RequestTrace
from damasktally.entry.refusals import retry_later_response, text_response
from damasktally.entry.request_rules import (
    allowed_regions,
    deadline_of,
    find_route,
    priority_of,
    settles_request,
)
from damasktally.entry.topology import FleetTopology
from damasktally.events import emit
from damasktally.events.catalogue import REQUEST_ENDED
from damasktally.events.reasons import Reason
from damasktally.fleet.model import (
    Bounds,
    RetryPolicy,
    Server,
    era_of,
    revision_in_era,
)
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request, Response, end_to_end_headers
from damasktally.platform.headers import (
    AFFINITY_KEY,
    API_KEY,
    REQUEST_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
)

MIN_REMAINING_TIME_S = 0.02
"""A request with fewer seconds than this until its deadline is not sent."""
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Retry delay that a host without a configuration sends, before jitter."""
NO_SERVER_RETRY_AFTER_S = 0.5
"""Retry delay if a service has no usable server, before jitter."""
MIN_JITTER = 0.7
MAX_JITTER = 1.3
"""Bounds of the factor that spreads the times at which refused callers return."""
EXCLUDED_RESPONSE_HEADERS = frozenset({SERVER_LOAD, SERVER_LIMIT, SERVER_LEAVING})
"""Headers by which servers tell hosts of their own state."""
CONTENT_ENCODING = b"content-encoding"


class RequestHandler:
    """Admit requests, forward them to servers, and log how they ended.

    :param view: configuration, evacuations and servers.
    :param topology: the hosts among which the retry slack is divided.
    :param candidates: ranks the servers for a request.
    :param forwarder: sends a request to one server.
    :param crash_reports: decides which requests are blocked, since they end servers.
    :param quotas: rate limits of the customers.
    :param bounds: limits agreed with the users of the fleet.
    """

    def __init__(
        self,
        view: FleetView,
        topology: FleetTopology,
        candidates: ServerCandidates,
        forwarder: Forwarder,
        crash_reports: CrashReports,
        quotas: CustomerQuotas,
        metrics: EntryMetrics,
        bounds: Bounds,
        rng: Random,
    ) -> None:
        self._view = view
        self._topology = topology
        self._candidates = candidates
        self._forwarder = forwarder
        self._crash_reports = crash_reports
        self._quotas = quotas
        self._metrics = metrics
        self._bounds = bounds
        self._rng = rng
        self._round_robin = WeightedRoundRobin()
        self._response_times = ResponseTimes()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._loop = get_running_loop()

    async def handle(self, req: Request) -> Response:
        """Return the response to a request, and record how the request ended."""
        trace = RequestTrace((req.header(REQUEST_ID) or b"").decode("latin-1"))
        response = self._check_admission(req, trace)
        if response is None:
            response = await self._forward_to_service(req, trace)
        self._record_request(req, trace, response)
        return response

    def _check_admission(self, req: Request, trace: RequestTrace) -> Response | None:
        """Return the refusal of a request, or ``None`` if it is admitted.

        Sets the route and the customer of the trace.
        """
        cfg = self._view.configuration
        if cfg is None:
            trace.reason = Reason.NO_CONFIGURATION
            return retry_later_response(
                503, trace.reason.value, self._jitter(NO_CONFIGURATION_RETRY_AFTER_S)
            )
        trace.configuration = cfg.version
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
            now = self._loop.time()
            if not self._quotas.take(trace.customer, now):
                trace.reason = Reason.OVER_RATE
                trace.inputs = self._quotas.decision_inputs(trace.customer, now)
                wait_s = self._quotas.wait_s(trace.customer, now)
                return retry_later_response(
                    429, trace.reason.value, self._jitter(wait_s)
                )
        return None

    async def _forward_to_service(self, req: Request, trace: RequestTrace) -> Response:
        """Pick a service of the route and forward the request to its servers.

        A request that certainly did not run is refunded to the customer's quota.
        """
        route = trace.route
        trace.service = self._round_robin.pick(route.name, route.services)
        self._retry_budget(trace.service).record_request(self._loop.time())
        deadline = deadline_of(req, route)
        response = await self._forward_with_retries(req, trace, deadline)
        may_have_run = any(
            attempt.outcome
            in (AttemptOutcome.ANSWERED, AttemptOutcome.LOST, AttemptOutcome.TIMED_OUT)
            for attempt in trace.attempts
        )
        if not may_have_run and trace.customer is not None:
            self._quotas.refund(trace.customer)
        return response

    async def _forward_with_retries(
        self, req: Request, trace: RequestTrace, deadline: float
    ) -> Response:
        """Send a request to one server after the other until one settles it."""
        route = trace.route
        at_most_once = route.retry_policy is RetryPolicy.NEVER
        tried_servers: list[str] = []
        send_count = 0
        while True:
            now = self._loop.time()
            if req.is_disconnected:
                trace.reason = Reason.CALLER_GONE
                return self._failure_response(trace)
            if deadline - now < MIN_REMAINING_TIME_S:
                trace.reason = Reason.TIME_IS_UP
                return self._failure_response(trace)
            if self._is_blocked(req, trace):
                return self._failure_response(trace)
            server = self._select_server(req, trace, tried_servers, now)
            if server is None:
                trace.reason = trace.reason or Reason.NO_ROOM
                return self._failure_response(trace)
            if send_count and not self._may_retry(trace, send_count, now):
                return self._failure_response(trace)
            attempt = await self._forwarder.send(
                req, server, trace.customer, deadline, at_most_once
            )
            trace.attempts.append(attempt)
            self._record_possible_crash(req, trace, server, attempt)
            if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT):
                self._response_times.record(trace.service, attempt.duration_s)
            tried_servers.append(server.id)
            send_count += attempt.outcome not in (
                AttemptOutcome.NOT_SENT,
                AttemptOutcome.ABANDONED,
            )
            if settles_request(attempt, at_most_once):
                return self._attempt_response(attempt, trace)

    def _select_server(
        self, req: Request, trace: RequestTrace, tried_servers: list[str], now: float
    ) -> Server | None:
        """Return the server for the next attempt, or ``None`` if none is available.

        :param tried_servers: ids of servers to which the request was sent already.
        """
        home_regions = allowed_regions(trace.route, trace.customer)
        if home_regions is None:
            trace.reason = Reason.NO_COMMON_HOME
            return None
        affinity_key = req.header(AFFINITY_KEY) if trace.route.affinity else None
        ranked = self._candidates.rank_servers(
            trace.service, home_regions, affinity_key, tried_servers, now
        )
        if not ranked:
            trace.retry_after_s = self._candidates.pause_end_s(
                trace.service, home_regions, now
            )
            if trace.retry_after_s is not None:
                trace.reason = Reason.SERVERS_PAUSED
            elif not tried_servers:
                trace.reason = Reason.NO_SERVER
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
        return selected

    def _is_blocked(self, req: Request, trace: RequestTrace) -> bool:
        """Return whether the request is one that ends servers, and explain it."""
        if self._crash_reports.is_empty:
            return False
        blocked_s = self._crash_reports.blocked_s(_fingerprint(req, trace))
        if blocked_s <= 0:
            return False
        if self._crash_reports.take_trial(trace.fingerprint):
            trace.inputs = {"tried though blocked for s": round(blocked_s, 1)}
            return False
        trace.reason = Reason.ENDS_SERVERS
        trace.retry_after_s = blocked_s
        trace.inputs = {"blocked for s": round(blocked_s, 1)}
        return True

    def _record_possible_crash(
        self, req: Request, trace: RequestTrace, server: Server, attempt: Attempt
    ) -> None:
        """Record a lost response, or an answer, which shows that the server is alive.

        A response that was lost because the caller left shows nothing.
        """
        if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN):
            self._crash_reports.record_alive(server)
        is_lost = attempt.outcome is AttemptOutcome.LOST
        if is_lost and req.is_disconnected:
            return
        if is_lost or not self._crash_reports.is_empty:
            self._crash_reports.record_attempt(
                _fingerprint(req, trace), server, attempt
            )

    def _may_retry(self, trace: RequestTrace, send_count: int, now: float) -> bool:
        """Return whether the route and the retry budget allow another attempt.

        A retry is taken from the budget and counted.
        """
        if send_count >= trace.route.max_attempts:
            trace.reason = Reason.ATTEMPTS_USED
            return False
        fleet_size = self._topology.fleet_size(now)
        slack_share = self._bounds.retry_slack / fleet_size
        if not self._retry_budget(trace.service).take(now, slack_share):
            trace.reason = Reason.RETRY_BUDGET_USED
            trace.inputs = {"extra": round(slack_share, 2), "hosts": fleet_size}
            return False
        self._metrics.retries.inc()
        return True

    def _failure_response(self, trace: RequestTrace) -> Response:
        """Return the response to a request that is not attempted any more.

        If an attempt was lost or timed out, the request may have run: it gets a 502
        that does not invite a retry. Otherwise it gets the last server's response, or
        a 503 if there was none.
        """
        outcomes = {attempt.outcome for attempt in trace.attempts}
        answered = [
            attempt
            for attempt in trace.attempts
            if attempt.outcome is AttemptOutcome.ANSWERED
        ]
        if AttemptOutcome.LOST in outcomes or AttemptOutcome.TIMED_OUT in outcomes:
            return text_response(502, trace.reason.value)
        if answered:
            return self._attempt_response(answered[-1], trace)
        wait_s = self._retry_after_s(trace)
        return retry_later_response(503, trace.reason.value, wait_s)

    def _retry_after_s(self, trace: RequestTrace) -> float:
        """Return the seconds after which a refused request may be served.

        A time that the decision named is only moved back, as nothing changes before.
        """
        if trace.retry_after_s is not None:
            return trace.retry_after_s * self._rng.uniform(1.0, MAX_JITTER)
        if trace.reason is Reason.NO_SERVER:
            return self._jitter(NO_SERVER_RETRY_AFTER_S)
        return self._jitter(self._response_times.expected_wait_s(trace.service))

    def _attempt_response(self, attempt: Attempt, trace: RequestTrace) -> Response:
        """Return the response for an attempt that settles its request.

        A response with a ``Content-Encoding`` gets a 502: servers do not encode, so
        it is not the server's own.
        """
        if attempt.outcome is AttemptOutcome.TIMED_OUT:
            trace.reason = Reason.SERVER_TOO_SLOW
            return text_response(504, trace.reason.value)
        if attempt.outcome is AttemptOutcome.LOST:
            trace.reason = Reason.ANSWER_LOST
            return text_response(502, trace.reason.value)
        response = attempt.response
        if response.header(CONTENT_ENCODING) is not None:
            trace.reason = Reason.ENCODED_ANSWER
            return text_response(502, trace.reason.value)
        trace.reason = trace.reason or Reason.ANSWERED
        headers = end_to_end_headers(response.headers, EXCLUDED_RESPONSE_HEADERS)
        return Response(response.status, headers, response.body)

    def _retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window_s)
            self._retry_budgets[service] = budget
        return budget

    def _jitter(self, wait_s: float) -> float:
        """Vary a retry delay, so that refused callers do not return all at once."""
        return wait_s * self._rng.uniform(MIN_JITTER, MAX_JITTER)

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
        servers_revision = self._view.revisions[Topic.SERVERS]
        emit(
            REQUEST_ENDED,
            request=trace.request_id,
            status=response.status,
            reason=trace.reason.value,
            route=trace.route.name if trace.route else "",
            customer=trace.customer.name if trace.customer else "",
            service=trace.service,
            configuration=trace.configuration,
            servers_revision=revision_in_era(servers_revision),
            store_era=era_of(servers_revision),
            ms=round(duration_s * 1000, 1),
            caller_gone=req.is_disconnected,
            view_age_s=round(self._loop.time() - self._view.confirmed_at, 2),
            inputs=trace.inputs,
            fingerprint=trace.fingerprint,
            attempts=[
                [
                    attempt.server_id,
                    attempt.outcome.value,
                    round(attempt.duration_s * 1000, 1),
                ]
                for attempt in trace.attempts
            ],
        )


def _fingerprint(req: Request, trace: RequestTrace) -> str:
    """Return the request's fingerprint, computed at its first use."""
    if not trace.fingerprint:
        trace.fingerprint = fingerprint_of(req, trace.customer)
    return trace.fingerprint
