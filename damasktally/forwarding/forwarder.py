"""Decide and carry one request, from its head to its answer."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from damasktally.admission import AdmissionController, authenticate
from damasktally.clock import Clock
from damasktally.forwarding.attempt import AnswerSink, Attempt, CallerRequest
from damasktally.forwarding.claims import MAX_KEY_CHARS, ClaimState, IdempotencyClaims
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
from damasktally.forwarding.request_parsing import BodyBroken
from damasktally.forwarding.request_records import (
    AttemptRecord,
    RecentRequests,
    RequestRecord,
)
from damasktally.forwarding.request_rules import (
    SAFE_METHODS,
    Once,
    find_route,
    is_repeatable,
    no_slot,
    refusal_of,
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
DEFAULT_POOL = Pool()
LONGEST_GAP_S = 2.0
"""Seconds between taking a slot and sending, connecting included."""
IDEMPOTENCY_HEADER = "idempotency-key"
ANYONE = ""
"""The customer of requests on routes that are open to all."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold what was decided before a server is chosen.

    :param repeatable: whether the request may be sent more than once.
    :param claim: the reserved idempotency key, if there is one.
    """

    route: Route
    weight: float
    repeatable: bool
    claim: StoredObject | None = None


@dataclass
class Forwarder:
    """Carry requests over what the other parts of a host own.

    :param host: this host's name.
    :param region: this host's region.
    :param view: returns the view in force.
    :param may_serve_keyed: tells whether withdrawn keys are known in time.
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

    def handle(self, req: CallerRequest, sink: AnswerSink) -> Refusal | None:
        """Carry a request.

        :returns: the refusal to send, or nothing when an answer was passed on.
        :raises UpstreamError: when the answer broke after its head was written; the
            caller's connection must be closed then.
        """
        record = RequestRecord(req.request_id, req.method)
        try:
            refusal = self._handle(req, sink, record)
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
        self, req: CallerRequest, sink: AnswerSink, record: RequestRecord
    ) -> Refusal | None:
        view = self.view()
        found = find_route(view, req.path)
        if found is None:
            return Refusal(NO_ROUTE)
        record.route, route = found
        req.deadline = min(req.deadline, req.received_at + route.timeout_ms / 1000)
        if route.open:
            return self._run(
                req, sink, record, Plan(route, 1.0, is_repeatable(req, route))
            )
        checked = self._check_key(view, req, record)
        if isinstance(checked, Err):
            return checked.err_value
        customer = checked.ok_value
        if isinstance(self.admission.begin_request(req.customer), Err):
            return Refusal(TOO_MANY_IN_FLIGHT, 1.0)
        try:
            return self._run_keyed(req, sink, record, route, customer)
        finally:
            self.admission.end_request(req.customer)

    def _check_key(
        self, view: View, req: CallerRequest, record: RequestRecord
    ) -> Result[Customer, Refusal]:
        if not self.may_serve_keyed():
            return Err(Refusal(ISOLATED, 1.0))
        req.view = view
        named = authenticate(view, req.secret)
        if isinstance(named, Err):
            record.key = named.err_value.reason
            return Err(Refusal(REASONS_BY_CODE[record.key]))
        record.key = "accepted"
        record.customer = req.customer = named.ok_value
        if req.secret in req.target:
            return Err(Refusal(BAD_REQUEST))
        return Ok(view.customers[req.customer])

    def _run_keyed(
        self,
        req: CallerRequest,
        sink: AnswerSink,
        record: RequestRecord,
        route: Route,
        customer: Customer,
    ) -> Refusal | None:
        wait_s = self.view().policy(route.policy).max_wait_ms / 1000
        wait_s = min(wait_s, req.deadline - self.clock())
        admitted = self.admission.admit(req.customer, wait_s)
        if isinstance(admitted, Err):
            record.tokens = "short"
            return Refusal(OVER_RATE, admitted.err_value.retry_after_s)
        record.tokens = "taken"
        claimed = self._reserve(req, route)
        if isinstance(claimed, Err):
            return claimed.err_value
        repeatable = is_repeatable(req, route)
        plan = Plan(route, customer.weight, repeatable, claimed.ok_value)
        refusal = self._run(req, sink, record, plan)
        if plan.claim is not None and refusal is not None:
            self._release_if_not_run(plan.claim, refusal.reason)
        return refusal

    def _reserve(
        self, req: CallerRequest, route: Route
    ) -> Result[StoredObject | None, Refusal]:
        key = req.header(IDEMPOTENCY_HEADER)
        if key is None or not route.claims or req.method in SAFE_METHODS:
            return Ok(None)
        if not key or len(key) > MAX_KEY_CHARS:
            return Err(Refusal(BAD_REQUEST))
        state, claim = self.claims.reserve(req.customer, key)
        if state is ClaimState.TAKEN:
            return Err(Refusal(CLAIMED))
        if state is ClaimState.UNAVAILABLE:
            return Err(Refusal(CLAIM_UNAVAILABLE, 1.0))
        return Ok(claim)

    def _release_if_not_run(self, claim: StoredObject, reason: Reason) -> None:
        if reason.outcome.value == "not-run":
            self.claims.release(claim)

    def _run(
        self,
        req: CallerRequest,
        sink: AnswerSink,
        record: RequestRecord,
        plan: Plan,
    ) -> Refusal | None:
        self.retry_budget.counted()
        tried: set[str] = set()
        refusal: Refusal | None = None
        for number in range(MAX_ATTEMPTS):
            if number and not self._may_try_again(req, plan, refusal):
                return refusal
            waiter = self._waiter(req, plan, frozenset(tried))
            hold = self._acquire(req, plan, waiter, record)
            if isinstance(hold, NoSlot):
                return refusal or no_slot(hold)
            refusal = self._attempt(req, sink, record, plan, waiter)
            if refusal is None:
                return None
            tried.add(hold.server)
        return refusal

    def _may_try_again(self, req: CallerRequest, plan: Plan, refusal: Refusal) -> bool:
        if req.body.started or refusal.reason in (CALLER_GONE, BODY_CUT):
            return False
        harmless = plan.repeatable or refusal.reason.outcome.value == "not-run"
        return harmless and self.clock() < req.deadline and self.retry_budget.spend()

    def _waiter(self, req: CallerRequest, plan: Plan, avoid: frozenset[str]) -> Waiter:
        return Waiter(
            customer=req.customer or ANYONE,
            weight=plan.weight,
            max_hold_s=max(0.0, req.deadline - self.clock()),
            policy=self.view().policy(plan.route.policy),
            excluded_servers=avoid,
        )

    def _acquire(
        self, req: CallerRequest, plan: Plan, waiter: Waiter, record: RequestRecord
    ):
        started = self.clock()
        pool = self.view().pools.get(plan.route.pool, DEFAULT_POOL)
        wait_s = min(waiter.policy.max_wait_ms / 1000, req.deadline - started)
        hold = self.dispatcher.acquire(
            plan.route.pool, waiter, max(0.0, wait_s), pool.max_queue
        )
        record.waited_s += self.clock() - started
        return hold

    def _attempt(
        self,
        req: CallerRequest,
        sink: AnswerSink,
        record: RequestRecord,
        plan: Plan,
        waiter: Waiter,
    ) -> Refusal | None:
        """Send a request to the server whose slot it holds.

        :returns: nothing when the answer was passed on, or why it was not.
        """
        name = waiter.hold.server
        entry = AttemptRecord(name, reused_connection=False)
        record.attempts.append(entry)
        started = self.clock()
        released = Once(lambda: self.dispatcher.release(plan.route.pool, waiter))
        try:
            refusal = self._exchange(
                req, sink, plan, name, entry, record, waiter, released
            )
            entry.result = refusal.reason.code if refusal else entry.result
            return refusal
        finally:
            entry.seconds = self.clock() - started
            released.run()

    def _exchange(
        self,
        req: CallerRequest,
        sink: AnswerSink,
        plan: Plan,
        name: str,
        entry: AttemptRecord,
        record: RequestRecord,
        waiter: Waiter,
        released: "Once",
    ) -> Refusal | None:
        server = self.view().servers.get(name)
        if server is None:
            return Refusal(CONNECT_FAILED, 1.0)
        pool = plan.route.pool
        try:
            conn = self._connect(name, server, plan, bool(len(record.attempts) > 1))
        except NotSent:
            self.dispatcher.record_failure(pool, name)
            return Refusal(CONNECT_FAILED, 1.0)
        entry.reused_connection = conn.reused
        attempt = self._new_attempt(req, conn, server, released)
        if not self._still_allowed(req, waiter):
            self.connections.give_back(conn)
            return Refusal(DEADLINE, 1.0)
        clean = False
        try:
            resp = attempt.send()
            if self._was_shed(plan, attempt):
                return Refusal(SHED, 1.0)
            attempt.relay(resp, sink)
            clean = resp.headers.get("connection", "").lower() != "close"
            clean = clean and req.body.finished
            self._note_success(name, attempt)
            entry.result = str(attempt.status)
            return None
        except (UpstreamError, BodyBroken) as exc:
            self._note_failure(pool, name, conn, exc)
            if sink.started:
                raise
            return refusal_of(exc, attempt.sent)
        finally:
            record.bytes_in += attempt.bytes_in
            record.bytes_out += attempt.bytes_out
            if clean:
                self.connections.give_back(conn)
            else:
                self.connections.discard(conn)

    def _connect(
        self, name: str, server: BackendServer, plan: Plan, is_retry: bool
    ) -> Connection:
        return self.connections.take(
            name,
            server.address,
            proven=not plan.repeatable,
            fresh=is_retry,
            crossing=server.region != self.region,
        )

    def _new_attempt(
        self,
        req: CallerRequest,
        conn: Connection,
        server: BackendServer,
        released: "Once",
    ) -> Attempt:
        view = self.view()
        caller_region = req.region or self.region
        outward = directed_links(view, caller_region, self.region)
        outward += directed_links(view, self.region, server.region)
        homeward = directed_links(view, server.region, self.region)
        homeward += directed_links(view, self.region, caller_region)
        return Attempt(
            req,
            self.host,
            conn,
            self.pacer,
            outward,
            homeward,
            self.clock,
            on_answered=released.run,
        )

    def _still_allowed(self, req: CallerRequest, waiter: Waiter) -> bool:
        """Check again what was checked before a wait or a pause of this process."""
        now = self.clock()
        if now >= req.deadline or now > waiter.hold.taken_at + LONGEST_GAP_S:
            return False
        if not req.customer:
            return True
        if not self.may_serve_keyed():
            return False
        view = self.view()
        return view is req.view or isinstance(authenticate(view, req.secret), Ok)

    def _was_shed(self, plan: Plan, attempt: Attempt) -> bool:
        pool = self.view().pools.get(plan.route.pool)
        shed = attempt.status == SHED_STATUS
        return shed and pool is not None and pool.shed_is_not_run

    def _note_success(self, name: str, attempt: Attempt) -> None:
        with self.dispatcher.lock:
            self.dispatcher.health.record_success(name)
            if attempt.load is not None:
                self.dispatcher.health.record_load(name, attempt.load)

    def _note_failure(
        self, pool: str, name: str, conn: Connection, exc: Exception
    ) -> None:
        # A connection that was reused may have gone silent on its own; only a new
        # one says something about the server.
        if conn.reused or isinstance(exc, CallerGone | BodyBroken | LinkBusy):
            return
        self.dispatcher.record_failure(pool, name)
