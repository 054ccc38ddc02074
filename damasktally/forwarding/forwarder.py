"""Handle one request of a caller from its head to its response.

A request is routed, authenticated and admitted, and then sent to backend servers until
one responds or the request is refused.
"""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from damasktally.admission import AdmissionController, authenticate
from damasktally.clock import Clock
from damasktally.forwarding.attempt import Attempt, CallerRequest, ResponseWriter
from damasktally.forwarding.claims import (
    MAX_IDEMPOTENCY_KEY_CHARS,
    ClaimState,
    IdempotencyClaims,
)
from damasktally.forwarding.exceptions import (
    CallerGone,
    LinkBusy,
    NotSent,
    UpstreamError,
)
from damasktally.forwarding.refusals import (
    BAD_REQUEST,
    BODY_CUT,
    CALLER_GONE,
    CLAIM_UNAVAILABLE,
    CLAIMED,
    CONNECT_FAILED,
    DEADLINE,
    ISOLATED,
    NO_ROUTE,
    OVER_RATE,
    REASONS_BY_CODE,
    SHED,
    TOO_MANY_IN_FLIGHT,
    Reason,
    Refusal,
)
from damasktally.forwarding.request_parsing import InvalidBody
from damasktally.forwarding.request_records import (
    AttemptRecord,
    RecentRequests,
    RequestRecord,
)
from damasktally.forwarding.request_rules import (
    SAFE_METHODS,
    Once,
    find_route,
    is_idempotent,
    refusal_for_error,
    refusal_for_missing_slot,
)
from damasktally.forwarding.retry_budget import RetryBudget
from damasktally.forwarding.upstream import Connection, ConnectionPool
from damasktally.objects import StoredObject
from damasktally.resources.kinds import BackendServer, Customer, Pool, Route
from damasktally.resources.view import View
from damasktally.steering.dispatcher import Dispatcher, NoSlot, Waiter
from damasktally.steering.pacer import Pacer, directed_links

MAX_ATTEMPTS = 3
SHED_STATUS = 503
"""Status with which a server sheds load, if its pool declares that."""
DEFAULT_POOL = Pool()
MAX_SLOT_TO_SEND_S = 2.0
"""Longest time from acquiring a slot to sending the request, with connecting.

After a longer time, such as after a suspension of the process, the request is refused.
"""
IDEMPOTENCY_HEADER = "idempotency-key"
ANONYMOUS_CUSTOMER = ""
"""Customer to which requests on open routes are counted, as they have no key."""


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """What is known of a request before a server is selected.

    :param weight: weight of the customer in the fair queue.
    :param is_idempotent: whether the request may run more than once.
    :param claim: the reservation of the idempotency key, if there is one.
    """

    route: Route
    weight: float
    is_idempotent: bool
    claim: StoredObject | None = None


@dataclass
class Forwarder:
    """Forward requests to backend servers, with retries.

    :param host: this host's name.
    :param region: this host's region.
    :param view: returns the current view of the configuration.
    :param may_serve_keyed: returns whether this host learns of withdrawn keys in time,
        and so may serve requests that need a key.
    :param admission: limits each customer's rate and its requests in flight.
    :param dispatcher: hands out slots of backend servers.
    :param pacer: limits the rate of bytes on links between regions.
    :param claims: reservations of idempotency keys.
    :param observe: called with each request's record and the time, in seconds on the
        host's clock, when the request ends.
    """

    host: str
    region: str
    clock: Clock
    view: Callable[[], View]
    may_serve_keyed: Callable[[], bool]
    admission: AdmissionController
    dispatcher: Dispatcher
    pacer: Pacer
    connections: ConnectionPool
    claims: IdempotencyClaims
    retry_budget: RetryBudget
    recent_requests: RecentRequests
    observe: Callable[[RequestRecord, float], None] = lambda record, now: None

    def handle(self, req: CallerRequest, writer: ResponseWriter) -> Refusal | None:
        """Handle a request.

        :returns: the refusal to send, or nothing if a response was forwarded.
        :raises UpstreamError: if the response failed after its head was written; the
            caller's connection must then be closed.
        """
        record = RequestRecord(req.request_id, req.method)
        try:
            refusal = self._handle(req, writer, record)
            record.outcome = refusal.reason.code if refusal else "answered"
            return refusal
        except UpstreamError as exc:
            record.outcome = type(exc).__name__
            raise
        finally:
            record.seconds = self.clock() - req.received_at
            self.recent_requests.add(record)
            self.observe(record, self.clock())

    def _handle(
        self, req: CallerRequest, writer: ResponseWriter, record: RequestRecord
    ) -> Refusal | None:
        view = self.view()
        match = find_route(view, req.path)
        if match is None:
            return Refusal(NO_ROUTE)
        record.route, route = match
        req.deadline = min(req.deadline, req.received_at + route.timeout_ms / 1000)
        if route.open:
            return self._send_with_retries(
                req, writer, record, RequestPlan(route, 1.0, is_idempotent(req, route))
            )
        authenticated = self._authenticate(view, req, record)
        if isinstance(authenticated, Err):
            return authenticated.err_value
        customer = authenticated.ok_value
        if isinstance(self.admission.begin_request(req.customer), Err):
            return Refusal(TOO_MANY_IN_FLIGHT, 1.0)
        try:
            return self._handle_authenticated(req, writer, record, route, customer)
        finally:
            self.admission.end_request(req.customer)

    def _authenticate(
        self, view: View, req: CallerRequest, record: RequestRecord
    ) -> Result[Customer, Refusal]:
        if not self.may_serve_keyed():
            return Err(Refusal(ISOLATED, 1.0))
        req.authenticated_view = view
        key_owner = authenticate(view, req.secret)
        if isinstance(key_owner, Err):
            record.key = key_owner.err_value.reason_code
            return Err(Refusal(REASONS_BY_CODE[record.key]))
        record.key = "accepted"
        record.customer = req.customer = key_owner.ok_value
        if req.secret in req.target:
            return Err(Refusal(BAD_REQUEST))
        return Ok(view.customers[req.customer])

    def _handle_authenticated(
        self,
        req: CallerRequest,
        writer: ResponseWriter,
        record: RequestRecord,
        route: Route,
        customer: Customer,
    ) -> Refusal | None:
        wait_s = self.view().policy(route.policy).max_wait_ms / 1000
        wait_s = min(wait_s, req.deadline - self.clock())
        admission_result = self.admission.admit(req.customer, wait_s)
        if isinstance(admission_result, Err):
            record.tokens = "short"
            return Refusal(OVER_RATE, admission_result.err_value.retry_after_s)
        record.tokens = "taken"
        reserved = self._reserve_idempotency_key(req, route)
        if isinstance(reserved, Err):
            return reserved.err_value
        idempotent = is_idempotent(req, route)
        plan = RequestPlan(route, customer.weight, idempotent, reserved.ok_value)
        refusal = self._send_with_retries(req, writer, record, plan)
        if plan.claim is not None and refusal is not None:
            self._release_claim_if_not_run(plan.claim, refusal.reason)
        return refusal

    def _reserve_idempotency_key(
        self, req: CallerRequest, route: Route
    ) -> Result[StoredObject | None, Refusal]:
        key = req.header(IDEMPOTENCY_HEADER)
        if key is None or not route.claims or req.method in SAFE_METHODS:
            return Ok(None)
        if not key or len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            return Err(Refusal(BAD_REQUEST))
        state, claim = self.claims.reserve(req.customer, key)
        if state is ClaimState.TAKEN:
            return Err(Refusal(CLAIMED))
        if state is ClaimState.UNAVAILABLE:
            return Err(Refusal(CLAIM_UNAVAILABLE, 1.0))
        return Ok(claim)

    def _release_claim_if_not_run(self, claim: StoredObject, reason: Reason) -> None:
        if reason.outcome.value == "not-run":
            self.claims.release(claim)

    def _send_with_retries(
        self,
        req: CallerRequest,
        writer: ResponseWriter,
        record: RequestRecord,
        plan: RequestPlan,
    ) -> Refusal | None:
        self.retry_budget.record_request()
        tried_servers: set[str] = set()
        refusal: Refusal | None = None
        for attempt_number in range(MAX_ATTEMPTS):
            if attempt_number and not self._may_retry(req, plan, refusal):
                return refusal
            waiter = self._make_waiter(req, plan, frozenset(tried_servers))
            acquired = self._acquire_slot(req, plan, waiter, record)
            if isinstance(acquired, NoSlot):
                return refusal or refusal_for_missing_slot(acquired)
            refusal = self._send_to_server(req, writer, record, plan, waiter)
            if refusal is None:
                return None
            tried_servers.add(acquired.server)
        return refusal

    def _may_retry(
        self, req: CallerRequest, plan: RequestPlan, refusal: Refusal
    ) -> bool:
        # The body is streamed, so it cannot be sent again once a part was read.
        if req.body.is_started or refusal.reason in (CALLER_GONE, BODY_CUT):
            return False
        is_safe = plan.is_idempotent or refusal.reason.outcome.value == "not-run"
        return is_safe and self.clock() < req.deadline and self.retry_budget.take()

    def _make_waiter(
        self, req: CallerRequest, plan: RequestPlan, excluded_servers: frozenset[str]
    ) -> Waiter:
        return Waiter(
            customer=req.customer or ANONYMOUS_CUSTOMER,
            weight=plan.weight,
            max_hold_s=max(0.0, req.deadline - self.clock()),
            policy=self.view().policy(plan.route.policy),
            excluded_servers=excluded_servers,
        )

    def _acquire_slot(
        self,
        req: CallerRequest,
        plan: RequestPlan,
        waiter: Waiter,
        record: RequestRecord,
    ):
        started_at = self.clock()
        pool = self.view().pools.get(plan.route.pool, DEFAULT_POOL)
        wait_s = min(waiter.policy.max_wait_ms / 1000, req.deadline - started_at)
        acquired = self.dispatcher.acquire(
            plan.route.pool, waiter, max(0.0, wait_s), pool.max_queue
        )
        record.waited_s += self.clock() - started_at
        return acquired

    def _send_to_server(
        self,
        req: CallerRequest,
        writer: ResponseWriter,
        record: RequestRecord,
        plan: RequestPlan,
        waiter: Waiter,
    ) -> Refusal | None:
        """Send a request to the server of which it holds a slot.

        :returns: nothing if the response was forwarded, else the refusal.
        """
        server_name = waiter.taken_slot.server
        attempt_record = AttemptRecord(server_name, reused_connection=False)
        record.attempts.append(attempt_record)
        started_at = self.clock()
        release_once = Once(lambda: self.dispatcher.release(plan.route.pool, waiter))
        try:
            refusal = self._exchange(
                req,
                writer,
                plan,
                server_name,
                attempt_record,
                record,
                waiter,
                release_once,
            )
            attempt_record.result = (
                refusal.reason.code if refusal else attempt_record.result
            )
            return refusal
        finally:
            attempt_record.seconds = self.clock() - started_at
            release_once.run()

    def _exchange(
        self,
        req: CallerRequest,
        writer: ResponseWriter,
        plan: RequestPlan,
        server_name: str,
        attempt_record: AttemptRecord,
        record: RequestRecord,
        waiter: Waiter,
        release_once: "Once",
    ) -> Refusal | None:
        server = self.view().servers.get(server_name)
        if server is None:
            return Refusal(CONNECT_FAILED, 1.0)
        pool = plan.route.pool
        try:
            conn = self._acquire_connection(
                server_name, server, plan, bool(len(record.attempts) > 1)
            )
        except NotSent:
            self.dispatcher.record_failure(pool, server_name)
            return Refusal(CONNECT_FAILED, 1.0)
        attempt_record.reused_connection = conn.is_reused
        attempt = self._make_attempt(req, conn, server, release_once)
        if not self._is_still_allowed(req, waiter):
            self.connections.release(conn)
            return Refusal(DEADLINE, 1.0)
        is_reusable = False
        try:
            resp = attempt.send()
            if self._was_shed(plan, attempt):
                return Refusal(SHED, 1.0)
            attempt.forward_response(resp, writer)
            is_reusable = resp.headers.get("connection", "").lower() != "close"
            is_reusable = is_reusable and req.body.is_finished
            self._record_success(server_name, attempt)
            attempt_record.result = str(attempt.status)
            return None
        except (UpstreamError, InvalidBody) as exc:
            self._record_failure(pool, server_name, conn, exc)
            if writer.is_started:
                raise
            return refusal_for_error(exc, attempt.was_sent)
        finally:
            record.bytes_in += attempt.bytes_in
            record.bytes_out += attempt.bytes_out
            if is_reusable:
                self.connections.release(conn)
            else:
                self.connections.discard(conn)

    def _acquire_connection(
        self, server_name: str, server: BackendServer, plan: RequestPlan, is_retry: bool
    ) -> Connection:
        return self.connections.acquire(
            server_name,
            server.address,
            at_most_once=not plan.is_idempotent,
            new_only=is_retry,
            is_cross_region=server.region != self.region,
        )

    def _make_attempt(
        self,
        req: CallerRequest,
        conn: Connection,
        server: BackendServer,
        release_once: "Once",
    ) -> Attempt:
        view = self.view()
        caller_region = req.caller_region or self.region
        request_links = directed_links(view, caller_region, self.region)
        request_links += directed_links(view, self.region, server.region)
        response_links = directed_links(view, server.region, self.region)
        response_links += directed_links(view, self.region, caller_region)
        return Attempt(
            req,
            self.host,
            conn,
            self.pacer,
            request_links,
            response_links,
            self.clock,
            on_response_received=release_once.run,
        )

    def _is_still_allowed(self, req: CallerRequest, waiter: Waiter) -> bool:
        """Check again what a wait or a suspension of this process may have changed.

        The request must be in time, its slot recent and its key still valid.
        """
        now = self.clock()
        if now >= req.deadline or now > waiter.taken_slot.taken_at + MAX_SLOT_TO_SEND_S:
            return False
        if not req.customer:
            return True
        if not self.may_serve_keyed():
            return False
        view = self.view()
        return view is req.authenticated_view or isinstance(
            authenticate(view, req.secret), Ok
        )

    def _was_shed(self, plan: RequestPlan, attempt: Attempt) -> bool:
        pool = self.view().pools.get(plan.route.pool)
        has_shed_status = attempt.status == SHED_STATUS
        return has_shed_status and pool is not None and pool.shed_is_not_run

    def _record_success(self, server_name: str, attempt: Attempt) -> None:
        with self.dispatcher.lock:
            self.dispatcher.health.record_success(server_name)
            if attempt.reported_load is not None:
                self.dispatcher.health.record_load(server_name, attempt.reported_load)

    def _record_failure(
        self, pool: str, server_name: str, conn: Connection, exc: Exception
    ) -> None:
        # A reused connection may have been dropped while it was idle. Only a failure
        # on a new one counts against the server.
        if conn.is_reused or isinstance(exc, CallerGone | InvalidBody | LinkBusy):
            return
        self.dispatcher.record_failure(pool, server_name)
