"""Send a request to one server and classify the outcome."""

from asyncio import get_running_loop
from functools import partial

from damasktally.entry.body_streams import BodyStreams
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.host_headers import HOST_HEADERS
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.request_sender import RequestSender, SendOptions
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
from damasktally.platform.headers import (
    API_KEY,
    CUSTOMER,
    EXPECTED_SERVER,
    NOT_RUN,
    REMAINING_MS,
    decode_server_report,
)

EXCLUDED_HEADERS = HOST_HEADERS | {API_KEY, CUSTOMER, EXPECTED_SERVER, REMAINING_MS}
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
    :param streams: responses that are forwarded as they arrive.
    """

    def __init__(
        self,
        view: FleetView,
        candidates: ServerCandidates,
        reports: ServerReports,
        pool: ConnectionPool,
        reachability: ReachabilityMonitor,
        streams: BodyStreams,
    ) -> None:
        self._view = view
        self._reachability = reachability
        self._reports = reports
        self._candidates = candidates
        self._pool = pool
        self._sender = RequestSender(pool, streams)
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
        removal_age_s = self._view.servers.removal_age_s(server.id, started_at)
        self._candidates.record_send(server.id, started_at)
        self._reachability.record_sent(server)
        try:
            outcome, response = await self._send(
                req, server, customer, deadline, at_most_once
            )
        finally:
            self._candidates.loads.end(server.id)
            self._reachability.record_ended(server)
        if not (outcome is AttemptOutcome.LOST and req.is_disconnected):
            # A response that was lost because the caller left is no server's failure.
            self._record_outcome(server, outcome, response)
            self._record_reachability(server, outcome)
        return Attempt(
            server.id,
            outcome,
            self._loop.time() - started_at,
            response,
            removal_age_s=removal_age_s,
        )

    async def _send(
        self,
        req: Request,
        server: Server,
        customer: Customer | None,
        deadline: float,
        at_most_once: bool,
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request, and record what the server reports of itself."""
        encode = partial(_encode_request, req, server, customer)
        options = SendOptions(
            server.id,
            server.address,
            encode,
            deadline,
            at_most_once,
            partial(self._candidates.wants_requests, server),
            partial(self._record_report, server),
        )
        outcome, response = await self._sender.send(req, options)
        if outcome is not AttemptOutcome.ANSWERED:
            return outcome, response
        return _classify_response(response), response

    def _record_report(self, server: Server, head: Response) -> None:
        """Record what a server reports of itself, unless it is another server."""
        if head.status != MISDIRECTED_STATUS:
            self._reports.record(server, decode_server_report(head))

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
            self._view.drop_server(server, now)
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
        The same holds for a response that broke off as its caller read too slowly.
        """
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.LOST):
            self._reachability.record_failure(server, outcome.value)
        elif outcome not in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CALLER_TOO_SLOW,
            AttemptOutcome.ABANDONED,
        ):
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


def _encode_request(
    req: Request, server: Server, customer: Customer | None, remaining_ms: int
) -> bytes:
    """Encode the request with the headers that this host sets."""
    headers: Headers = end_to_end_headers(req.headers, EXCLUDED_HEADERS)
    headers.append((REMAINING_MS, b"%d" % remaining_ms))
    headers.append((EXPECTED_SERVER, server.id.encode()))
    if customer is not None:
        headers.append((CUSTOMER, customer.name.encode()))
    return encode_request(req.method, req.target, headers, req.body, req.upload)


def _classify_response(response: Response) -> AttemptOutcome:
    """Return the outcome for a response that matches its request."""
    if response.status == MISDIRECTED_STATUS:
        return AttemptOutcome.REPLACED
    if response.header(NOT_RUN) is not None:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.ANSWERED
