"""Answer callers' requests: check, admit, choose, forward."""

from asyncio import get_running_loop
from random import Random

from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.response_times import ResponseTimes
from damasktally.decisions.retry_budget import RetryBudget
from damasktally.decisions.server_selection import MAX_CANDIDATE_SERVERS, choose_server
from damasktally.decisions.weighted_round_robin import WeightedRoundRobin
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.forwarder import Forwarder
from damasktally.entry.host_responses import final, not_run
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, Ending, Trace
from damasktally.entry.topology import FleetTopology
from damasktally.events import emit
from damasktally.events.catalogue import REQUEST_ENDED
from damasktally.events.reasons import Reason
from damasktally.fleet.model import (
    Bounds,
    Configuration,
    Customer,
    RetryPolicy,
    Route,
    Server,
)
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request, Response, end_to_end
from damasktally.platform.headers import (
    AFFINITY_KEY,
    API_KEY,
    REMAINING_MS,
    REQUEST_ID,
    parse_milliseconds,
)

DEFAULT_DEADLINE_S = 30.0
LEAST_TIME_S = 0.02
"""A request with less time left than this is not sent any more."""
WAIT_FOR_VIEW_S = 0.5
WAIT_FOR_SERVERS_S = 0.5
NO_HEADERS: frozenset[bytes] = frozenset()
CONTENT_ENCODING = b"content-encoding"


class RequestHandler:
    """Answer requests.

    :param view: configuration, evacuations and servers.
    :param shape: the hosts among which budgets are divided.
    """

    def __init__(
        self,
        view: FleetView,
        topology: FleetTopology,
        candidates: ServerCandidates,
        forwarder: Forwarder,
        quotas: CustomerQuotas,
        metrics: EntryMetrics,
        bounds: Bounds,
        rng: Random,
    ) -> None:
        self._view = view
        self._topology = topology
        self._candidates = candidates
        self._forwarder = forwarder
        self._quotas = quotas
        self._metrics = metrics
        self._bounds = bounds
        self._rng = rng
        self._deal = WeightedRoundRobin()
        self._answer_times = ResponseTimes()
        self._budgets: dict[str, RetryBudget] = {}
        self._loop = get_running_loop()

    async def handle(self, req: Request) -> Response:
        """Answer a request."""
        trace = Trace((req.header(REQUEST_ID) or b"").decode("latin-1"))
        response = self._refuse(req, trace)
        if response is None:
            response = await self._serve(req, trace)
        self._tell(req, trace, response)
        return response

    def _refuse(self, req: Request, trace: Trace) -> Response | None:
        """Return the answer to a request that is not admitted, or nothing."""
        cfg = self._view.configuration
        if cfg is None:
            trace.reason = Reason.NO_CONFIGURATION
            return not_run(503, trace.reason.value, self._jitter(WAIT_FOR_VIEW_S))
        trace.configuration = cfg.version
        trace.route = _route(cfg, req)
        if trace.route is None:
            trace.reason = Reason.NO_ROUTE
            return final(404, trace.reason.value)
        if cfg.customers and not trace.route.public:
            key = req.header(API_KEY) or b""
            trace.customer = cfg.customer_by_key.get(key.decode("latin-1"))
            if trace.customer is None:
                trace.reason = Reason.UNKNOWN_KEY
                return final(401, trace.reason.value)
            now = self._loop.time()
            if not self._quotas.take(trace.customer, now):
                trace.reason = Reason.OVER_RATE
                trace.inputs = self._quotas.decision_inputs(trace.customer, now)
                wait_s = self._quotas.wait_s(trace.customer, now)
                return not_run(429, trace.reason.value, self._jitter(wait_s))
        return None

    async def _serve(self, req: Request, trace: Trace) -> Response:
        route = trace.route
        trace.service = self._deal.pick(route.name, route.services)
        self._budget(trace.service).record_request(self._loop.time())
        ends = _ends(req, route)
        response = await self._attempt_all(req, trace, ends)
        ran = any(
            item.ending in (Ending.ANSWERED, Ending.LOST, Ending.TIMED_OUT)
            for item in trace.attempts
        )
        if not ran and trace.customer is not None:
            self._quotas.refund(trace.customer)
        return response

    async def _attempt_all(self, req: Request, trace: Trace, ends: float) -> Response:
        route = trace.route
        once = route.retry_policy is RetryPolicy.NEVER
        tried: list[str] = []
        sends = 0
        while True:
            now = self._loop.time()
            if req.gone:
                trace.reason = Reason.CALLER_GONE
                return self._give_up(trace)
            if ends - now < LEAST_TIME_S:
                trace.reason = Reason.TIME_IS_UP
                return self._give_up(trace)
            server = self._choose(req, trace, tried, now)
            if server is None:
                trace.reason = trace.reason or Reason.NO_ROOM
                return self._give_up(trace)
            if sends and not self._may_repeat(trace, sends, now):
                return self._give_up(trace)
            attempt = await self._forwarder.send(
                req, server, trace.customer, ends, once
            )
            trace.attempts.append(attempt)
            if attempt.ending in (Ending.ANSWERED, Ending.TIMED_OUT):
                self._answer_times.record(trace.service, attempt.seconds)
            tried.append(server.id)
            sends += attempt.ending not in (Ending.NOT_SENT, Ending.ABANDONED)
            if _is_final(attempt, once):
                return self._pass_on(attempt, trace)

    def _choose(
        self, req: Request, trace: Trace, tried: list[str], now: float
    ) -> Server | None:
        homes = _homes(trace.route, trace.customer)
        if homes is None:
            trace.reason = Reason.NO_COMMON_HOME
            return None
        key = req.header(AFFINITY_KEY) if trace.route.affinity else None
        ranked = self._candidates.ranked(trace.service, homes, key, tried, now)
        if not ranked and not tried:
            trace.reason = Reason.NO_SERVER
        held = self._candidates.loads.estimate
        chosen = choose_server(
            ranked,
            lambda server: held(server.id, now),
            _priority(trace.route, trace.customer),
        )
        if chosen is None:
            trace.inputs = {
                f"held by {server.id}": round(held(server.id, now), 1)
                for server in ranked[:MAX_CANDIDATE_SERVERS]
            }
        return chosen

    def _may_repeat(self, trace: Trace, sends: int, now: float) -> bool:
        if sends >= trace.route.max_attempts:
            trace.reason = Reason.ATTEMPTS_USED
            return False
        hosts = self._topology.fleet_size(now)
        extra = self._bounds.retry_slack / hosts
        if not self._budget(trace.service).take(now, extra):
            trace.reason = Reason.RETRY_BUDGET_USED
            trace.inputs = {"extra": round(extra, 2), "hosts": hosts}
            return False
        self._metrics.retries.inc()
        return True

    def _give_up(self, trace: Trace) -> Response:
        """Return the final answer of a request that no server answered."""
        endings = {item.ending for item in trace.attempts}
        answered = [i for i in trace.attempts if i.ending is Ending.ANSWERED]
        if Ending.LOST in endings or Ending.TIMED_OUT in endings:
            return final(502, trace.reason.value)
        if answered:
            return self._pass_on(answered[-1], trace)
        wait_s = WAIT_FOR_SERVERS_S
        if trace.reason is not Reason.NO_SERVER:
            wait_s = self._answer_times.expected_wait_s(trace.service)
        return not_run(503, trace.reason.value, self._jitter(wait_s))

    def _pass_on(self, attempt: Attempt, trace: Trace) -> Response:
        if attempt.ending is Ending.TIMED_OUT:
            trace.reason = Reason.SERVER_TOO_SLOW
            return final(504, trace.reason.value)
        if attempt.ending is Ending.LOST:
            trace.reason = Reason.ANSWER_LOST
            return final(502, trace.reason.value)
        response = attempt.response
        if response.header(CONTENT_ENCODING) is not None:
            trace.reason = Reason.ENCODED_ANSWER
            return final(502, trace.reason.value)
        trace.reason = trace.reason or Reason.ANSWERED
        headers = end_to_end(response.headers, NO_HEADERS)
        return Response(response.status, headers, response.body)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window_s)
            self._budgets[service] = budget
        return budget

    def _jitter(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(0.7, 1.3)

    def _tell(self, req: Request, trace: Trace, response: Response) -> None:
        seconds = self._loop.time() - req.began
        answered = trace.reason is Reason.ANSWERED
        self._metrics.requests.labels("answered" if answered else "refused").inc()
        self._metrics.request_seconds.observe(seconds)
        if not answered:
            self._metrics.refusals.labels(trace.reason.value).inc()
        emit(
            REQUEST_ENDED,
            request=trace.request_id,
            status=response.status,
            reason=trace.reason.value,
            route=trace.route.name if trace.route else "",
            customer=trace.customer.name if trace.customer else "",
            service=trace.service,
            configuration=trace.configuration,
            servers_revision=self._view.revisions[Topic.SERVERS],
            ms=round(seconds * 1000, 1),
            caller_gone=req.gone,
            view_age_s=round(self._loop.time() - self._view.confirmed_at, 2),
            inputs=trace.inputs,
            attempts=[
                [item.server, item.ending.value, round(item.seconds * 1000, 1)]
                for item in trace.attempts
            ],
        )


def _route(cfg: Configuration, req: Request) -> Route | None:
    host = (req.header(b"host") or b"").decode("latin-1").partition(":")[0]
    path = req.target.partition(b"?")[0].decode("latin-1")
    return cfg.find_route(host.lower(), path)


def _ends(req: Request, route: Route) -> float:
    """Return when a request's time is up, on the loop's clock."""
    left_s = parse_milliseconds(req.header(REMAINING_MS)) or DEFAULT_DEADLINE_S
    if route.timeout_s > 0:
        left_s = min(left_s, route.timeout_s)
    return req.began + left_s


def _homes(route: Route, customer: Customer | None) -> frozenset[str] | None:
    """Return the regions that may serve, empty for all; nothing if there is none."""
    theirs = customer.home_regions if customer else frozenset()
    if not route.home_regions or not theirs:
        return route.home_regions or theirs
    return (route.home_regions & theirs) or None


def _priority(route: Route, customer: Customer | None) -> int:
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _is_final(attempt: Attempt, once: bool) -> bool:
    """Tell whether an attempt settles the request."""
    if attempt.ending is Ending.ANSWERED:
        return once or attempt.response.status < 500
    if attempt.ending is Ending.TIMED_OUT:
        return True
    return attempt.ending is Ending.LOST and once
