"""Send a request to one server and classify the outcome."""

from asyncio import get_running_loop, timeout_at

from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.server_reports import ServerReports
from damasktally.events import emit
from damasktally.events.catalogue import SERVER_PAUSED
from damasktally.fleet.model import Customer, Server
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import (
    Headers,
    Request,
    Response,
    encode_request,
    end_to_end_headers,
)
from damasktally.http1.outbound import AnswerLost, ConnectFailed, ServerConnection
from damasktally.platform.headers import (
    API_KEY,
    CUSTOMER,
    EXPECTED_SERVER,
    NOT_RUN,
    REMAINING_MS,
    REQUEST_ID,
    decode_server_report,
)

CONNECT_TIMEOUT_S = 0.35
MAX_IDLE_S = 5.0
"""Seconds after which an idle connection is not reused."""
MAX_IDLE_AT_MOST_ONCE_S = 2.0
"""Shorter limit for requests that may run at most once.

If the server closes an idle connection while such a request is sent on it, the
request cannot be retried.
"""
EXCLUDED_HEADERS = frozenset({API_KEY, CUSTOMER, EXPECTED_SERVER, REMAINING_MS})
"""Headers of the caller's request that are dropped or replaced by this host."""
MISDIRECTED_STATUS = 421
"""The server is not the one that the request was meant for."""
RECOVERY_WARMUP_S = 3.0
"""Warm-up assumed for a server that was unreachable, as it may have restarted."""


class Forwarder:
    """Send requests to servers and record the servers' load and failures.

    :param view: servers that were replaced at their address are removed from it.
    :param candidates: receives loads, successes and failures.
    :param reports: receives what servers report of themselves.
    :param pool: idle connections to servers.
    :param reachability: receives which servers answered, and which were not reached.
    """

    def __init__(
        self,
        view: FleetView,
        candidates: ServerCandidates,
        reports: ServerReports,
        pool: ConnectionPool,
        reachability: ReachabilityMonitor,
    ) -> None:
        self._view = view
        self._reachability = reachability
        self._reports = reports
        self._candidates = candidates
        self._pool = pool
        self._loop = get_running_loop()

    async def send(
        self,
        req: Request,
        server: Server,
        customer: Customer | None,
        deadline: float,
        at_most_once: bool,
    ) -> Attempt:
        """Send a request to a server, and record and return the outcome.

        :param customer: the customer whose name is sent along, if any.
        :param deadline: time on the event loop's clock in seconds.
        :param at_most_once: whether the request must not run more than once.
        """
        started_at = self._loop.time()
        self._candidates.record_send(server.id, started_at)
        self._reachability.record_sent(server)
        try:
            outcome, response = await self._connect_and_send(
                req, server, customer, deadline, at_most_once
            )
        finally:
            self._candidates.loads.end(server.id)
            self._reachability.record_ended(server)
        if not (outcome is AttemptOutcome.LOST and req.is_disconnected):
            # A response that was lost because the caller left is no server's failure.
            self._record_outcome(server, outcome, response)
            self._record_reachability(server, outcome)
        return Attempt(server.id, outcome, self._loop.time() - started_at, response)

    async def _connect_and_send(
        self,
        req: Request,
        server: Server,
        customer: Customer | None,
        deadline: float,
        at_most_once: bool,
    ) -> tuple[AttemptOutcome, Response | None]:
        """Acquire a connection, then send the request unless it is abandoned."""
        remaining_s = deadline - self._loop.time()
        max_idle_s = MAX_IDLE_AT_MOST_ONCE_S if at_most_once else MAX_IDLE_S
        try:
            conn = await self._pool.acquire(
                server.id,
                server.address,
                min(CONNECT_TIMEOUT_S, remaining_s),
                max_idle_s,
            )
        except ConnectFailed:
            return AttemptOutcome.NOT_SENT, None
        remaining_s = deadline - self._loop.time()
        if req.is_disconnected or remaining_s <= 0:
            self._pool.release(server.id, conn)
            return AttemptOutcome.ABANDONED, None
        return await self._send_and_receive(
            req, conn, server, customer, deadline, at_most_once
        )

    async def _send_and_receive(
        self,
        req: Request,
        conn: ServerConnection,
        server: Server,
        customer: Customer | None,
        deadline: float,
        at_most_once: bool,
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request on a connection and wait for its response.

        If the caller disconnects, the connection is closed and the response is lost,
        unless the request may run at most once.
        """
        data = self._encode_request(req, server, customer, deadline)
        request_id = req.header(REQUEST_ID)
        pending_response = conn.send(
            data,
            lambda response: _matches_request(response, request_id),
            req.method == b"HEAD",
        )
        if not at_most_once:
            req.on_disconnect = conn.close
        try:
            async with timeout_at(deadline):
                response = await pending_response
        except TimeoutError:
            conn.close()
            return AttemptOutcome.TIMED_OUT, None
        except AnswerLost:
            return AttemptOutcome.LOST, None
        finally:
            req.on_disconnect = None
        if response.status != MISDIRECTED_STATUS:
            self._reports.record(server, decode_server_report(response))
        self._pool.release(server.id, conn)
        return _classify_response(response), response

    def _encode_request(
        self, req: Request, server: Server, customer: Customer | None, deadline: float
    ) -> bytes:
        """Encode the request with the headers that this host sets."""
        remaining_ms = max(1, int((deadline - self._loop.time()) * 1000))
        headers: Headers = end_to_end_headers(req.headers, EXCLUDED_HEADERS)
        headers.append((REMAINING_MS, b"%d" % remaining_ms))
        headers.append((EXPECTED_SERVER, server.id.encode()))
        if customer is not None:
            headers.append((CUSTOMER, customer.name.encode()))
        return encode_request(req.method, req.target, headers, req.body)

    def _record_outcome(
        self, server: Server, outcome: AttemptOutcome, response: Response | None
    ) -> None:
        """Update the server's state after an attempt.

        A server that was replaced is removed. A success after the server was
        unreachable starts a warm-up. Failures are reported to outlier detection.
        """
        outlier_detector = self._candidates.outlier_detector
        now = self._loop.time()
        if outcome is AttemptOutcome.REPLACED:
            self._pool.close_server(server.id)
            self._view.drop_server(server.id)
        elif outcome is AttemptOutcome.ANSWERED and response.status < 500:
            if outlier_detector.record_success(server.id):
                self._view.servers.extend_warm_up(server.id, now + RECOVERY_WARMUP_S)
        elif outcome is AttemptOutcome.NOT_SENT:
            self._pool.close_server(server.id)
            self._record_failure(server, outcome, unreachable=True)
        elif outcome in (AttemptOutcome.LOST, AttemptOutcome.ANSWERED):
            self._record_failure(server, outcome, unreachable=False)

    def _record_reachability(self, server: Server, outcome: AttemptOutcome) -> None:
        """Record what an attempt shows of the connection to the server.

        A deadline that passed shows nothing, as a server that is busy causes it, too.
        """
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.LOST):
            self._reachability.record_failure(server, outcome.value)
        elif outcome not in (AttemptOutcome.TIMED_OUT, AttemptOutcome.ABANDONED):
            self._reachability.record_answered(server)

    def _record_failure(
        self, server: Server, outcome: AttemptOutcome, unreachable: bool
    ) -> None:
        """Record a failure, and log when outlier detection pauses the server."""
        now = self._loop.time()
        if self._candidates.outlier_detector.record_failure(
            server.id, now, unreachable
        ):
            emit(
                SERVER_PAUSED,
                server=server.id,
                address=f"{server.address[0]}:{server.address[1]}",
                reason=outcome.value,
            )


def _matches_request(response: Response, request_id: bytes | None) -> bool:
    """Return whether a response is for a request, and not a late one for another.

    Servers repeat the request id in their responses. A response without one matches
    if the request had none either, or if the server did not run it.
    """
    response_request_id = response.header(REQUEST_ID)
    if response_request_id is None:
        return request_id is None or response.header(NOT_RUN) is not None
    return response_request_id == request_id


def _classify_response(response: Response) -> AttemptOutcome:
    """Return the outcome for a response that matches its request."""
    if response.status == MISDIRECTED_STATUS:
        return AttemptOutcome.REPLACED
    if response.header(NOT_RUN) is not None:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.ANSWERED
