"""Send a request to one server and say how that ended."""

from asyncio import get_running_loop, timeout_at

from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.outcome import Attempt, Ending
from damasktally.events import emit
from damasktally.events.catalogue import SERVER_PAUSED
from damasktally.fleet.model import Customer, Server
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import (
    Headers,
    Request,
    Response,
    encode_request,
    end_to_end,
)
from damasktally.http1.outbound import AnswerLost, ConnectFailed, ServerConnection
from damasktally.platform.headers import (
    API_KEY,
    CUSTOMER,
    EXPECTED_SERVER,
    NOT_RUN,
    REMAINING_MS,
    REQUEST_ID,
    SERVER_LOAD,
    parse_load,
)

CONNECT_TIMEOUT_S = 0.35
KEPT_IDLE_S = 5.0
KEPT_IDLE_ONCE_S = 2.0
"""Requests that may run only once use connections that worked a moment ago."""
SET_HERE = frozenset({API_KEY, CUSTOMER, EXPECTED_SERVER, REMAINING_MS})
MISDIRECTED = 421
COLD_AGAIN_S = 3.0
"""A server that was out of reach may have started anew and be cold."""


class Forwarder:
    """Send requests to servers and note what that tells about them.

    :param view: told about servers that were replaced at their address.
    :param candidates: told about loads and failures.
    :param pool: connections to servers.
    """

    def __init__(
        self, view: FleetView, candidates: ServerCandidates, pool: ConnectionPool
    ) -> None:
        self._view = view
        self._candidates = candidates
        self._pool = pool
        self._loop = get_running_loop()

    async def send(
        self,
        req: Request,
        server: Server,
        customer: Customer | None,
        ends: float,
        once: bool,
    ) -> Attempt:
        """Send a request.

        :param ends: when its time is up, on the loop's clock.
        :param once: it must not run twice.
        """
        began = self._loop.time()
        self._candidates.sent(server.id, began)
        try:
            ending, response = await self._exchange(req, server, customer, ends, once)
        finally:
            self._candidates.loads.end(server.id)
        self._learn(server, ending, response)
        return Attempt(server.id, ending, self._loop.time() - began, response)

    async def _exchange(
        self,
        req: Request,
        server: Server,
        customer: Customer | None,
        ends: float,
        once: bool,
    ) -> tuple[Ending, Response | None]:
        left = ends - self._loop.time()
        max_idle_s = KEPT_IDLE_ONCE_S if once else KEPT_IDLE_S
        try:
            conn = await self._pool.take(
                server.id, server.address, min(CONNECT_TIMEOUT_S, left), max_idle_s
            )
        except ConnectFailed:
            return Ending.NOT_SENT, None
        left = ends - self._loop.time()
        if req.gone or left <= 0:
            self._pool.give_back(server.id, conn)
            return Ending.ABANDONED, None
        return await self._converse(req, conn, server, customer, ends, once)

    async def _converse(
        self,
        req: Request,
        conn: ServerConnection,
        server: Server,
        customer: Customer | None,
        ends: float,
        once: bool,
    ) -> tuple[Ending, Response | None]:
        data = self._encode(req, server, customer, ends)
        request_id = req.header(REQUEST_ID)
        answer = conn.send(
            data, lambda response: _belongs(response, request_id), req.method == b"HEAD"
        )
        if not once:
            req.on_gone = conn.close
        try:
            async with timeout_at(ends):
                response = await answer
        except TimeoutError:
            conn.close()
            return Ending.TIMED_OUT, None
        except AnswerLost:
            return Ending.LOST, None
        finally:
            req.on_gone = None
        self._report(server, response)
        self._pool.give_back(server.id, conn)
        return _ending(response), response

    def _encode(
        self, req: Request, server: Server, customer: Customer | None, ends: float
    ) -> bytes:
        left_ms = max(1, int((ends - self._loop.time()) * 1000))
        headers: Headers = end_to_end(req.headers, SET_HERE)
        headers.append((REMAINING_MS, b"%d" % left_ms))
        headers.append((EXPECTED_SERVER, server.id.encode()))
        if customer is not None:
            headers.append((CUSTOMER, customer.name.encode()))
        return encode_request(req.method, req.target, headers, req.body)

    def _report(self, server: Server, response: Response) -> None:
        value = response.header(SERVER_LOAD)
        load = parse_load(value) if value is not None else None
        if load is not None:
            running, waiting, _ = load
            now = self._loop.time()
            self._candidates.loads.record_report(server.id, running, waiting, now)

    def _learn(self, server: Server, ending: Ending, response: Response | None) -> None:
        suspicions = self._candidates.suspicions
        now = self._loop.time()
        if ending is Ending.REPLACED:
            self._pool.drop(server.id)
            self._view.drop_server(server.id)
        elif ending is Ending.ANSWERED and response.status < 500:
            if suspicions.record_success(server.id):
                self._view.servers.extend_warm_up(server.id, now + COLD_AGAIN_S)
        elif ending is Ending.NOT_SENT:
            self._pool.drop(server.id)
            self._suspect(server, ending, unreachable=True)
        elif ending in (Ending.LOST, Ending.ANSWERED):
            self._suspect(server, ending, unreachable=False)

    def _suspect(self, server: Server, ending: Ending, unreachable: bool) -> None:
        now = self._loop.time()
        if self._candidates.suspicions.record_failure(server.id, now, unreachable):
            emit(
                SERVER_PAUSED,
                server=server.id,
                address=f"{server.address[0]}:{server.address[1]}",
                reason=ending.value,
            )


def _belongs(response: Response, request_id: bytes | None) -> bool:
    """Tell whether an answer is for a request, and not a late one for another."""
    answered = response.header(REQUEST_ID)
    if answered is None:
        return request_id is None or response.header(NOT_RUN) is not None
    return answered == request_id


def _ending(response: Response) -> Ending:
    if response.status == MISDIRECTED:
        return Ending.REPLACED
    if response.header(NOT_RUN) is not None:
        return Ending.NOT_RUN
    return Ending.ANSWERED
