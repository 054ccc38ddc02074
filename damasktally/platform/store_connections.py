"""Connections to the platform's store, and the outcome of each request on them."""

from asyncio import Future, get_running_loop, wait
from typing import Any, Protocol

from damasktally.errors import DamasktallyError
from damasktally.http1.connecting import ConnectFailed, ConnectTimeout, connect
from damasktally.http1.messages import Response
from damasktally.http1.outbound import AnswerLost, ServerConnection
from damasktally.http1.response_memory import ResponseMemory

CONNECT_TIMEOUT_S = 1.0
LATE_RESPONSE_TIMEOUT_S = 4.0
"""How long a response is awaited after its caller gave up: it shows that the store is
slow."""
MIN_SERVER_ERROR_STATUS = 500


class StoreUnavailable(DamasktallyError):
    """The store did not respond, or responded with an error."""


class StoreTimeout(StoreUnavailable):
    """The store did not respond in time, and may still respond late."""


class CallRecorder(Protocol):
    """Record of the outcomes of calls, such as
    :class:`~damasktally.decisions.store_calls.StoreCalls`.

    Calls are what ``record_sent`` returns. Times are in seconds on the event loop's
    clock.
    """

    @property
    def latency_s(self) -> float:
        """Return the longest of the latest response times, in seconds."""

    def record_sent(self, now: float) -> Any:
        """Record that a call begins, and return it."""

    def record_response(self, now: float, call: Any = None) -> None:
        """Record a response to a call, or to a watch if there is none."""

    def record_failure(self, call: Any, now: float) -> None:
        """Record that the store refused a call or its connection."""

    def record_timeout(self, call: Any) -> None:
        """Record that the caller waits no longer for the response to a call."""

    def record_cancelled(self, call: Any) -> None:
        """Record that this host gave up a call."""


class StoreConnections:
    """Send requests to the store, and keep idle connections for later ones.

    Timeouts are longer while the store is slow, by its latest response times.

    :param address: host and port of the store.
    :param calls: is told the outcome of each call.
    :param memory: limits the bytes of all responses that are being received.
    """

    def __init__(
        self, address: tuple[str, int], calls: CallRecorder, memory: ResponseMemory
    ) -> None:
        self._address = address
        self._calls = calls
        self._memory = memory
        self._loop = get_running_loop()
        self._idle: list[ServerConnection] = []

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def wait_for_change(self, data: bytes, timeout_s: float) -> Response:
        """Send a watch, whose response takes as long as nothing changes.

        :param data: the encoded request.
        :raises StoreUnavailable: if there is no response.
        """
        conn = await self._acquire()
        pending = await self._send(conn, data, timeout_s)
        if not pending.done():
            pending.cancel()
            conn.close()
            raise _no_response()
        response = _result_of(pending)
        self._keep_idle(conn)
        if response.status < MIN_SERVER_ERROR_STATUS:
            self._calls.record_response(self._loop.time())
        return response

    async def exchange(self, data: bytes, timeout_s: float, is_read: bool) -> Response:
        """Send a request to which the store responds at once, and record the outcome.

        :param data: the encoded request.
        :param is_read: whether a late response may be awaited. A late write is reset,
            so that it does not take effect later.
        :raises StoreUnavailable: if there is no response.
        """
        call = self._calls.record_sent(self._loop.time())
        try:
            conn = await self._acquire()
            pending = await self._send(conn, data, timeout_s)
            if not pending.done():
                self._give_up(conn, pending, call, is_read)
                raise _no_response()
            response = _result_of(pending)
        except StoreTimeout:
            self._calls.record_timeout(call)
            raise
        except StoreUnavailable:
            self._calls.record_failure(call, self._loop.time())
            raise
        except BaseException:
            self._calls.record_cancelled(call)
            raise
        self._keep_idle(conn)
        self._record_status(call, response)
        return response

    async def _acquire(self) -> ServerConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.can_send:
                return conn
        try:
            return await connect(self._address, CONNECT_TIMEOUT_S, self._memory)
        except ConnectFailed as exc:
            is_timeout = isinstance(exc, ConnectTimeout)
            error = StoreTimeout if is_timeout else StoreUnavailable
            raise error(
                "The store cannot be reached.", "Check the network to it."
            ) from exc

    async def _send(
        self, conn: ServerConnection, data: bytes, timeout_s: float
    ) -> Future[Response]:
        """Send a request, and wait for the response for a time.

        A response that waits to be read as the time ends is in time: this host may have
        been suspended.
        """
        pending = conn.send(data, _accept_any_response)
        try:
            await wait([pending], timeout=timeout_s + self._calls.latency_s)
        except BaseException:
            pending.cancel()
            conn.close()
            raise
        return pending

    def _give_up(
        self,
        conn: ServerConnection,
        pending: Future[Response],
        call: Any,
        is_read: bool,
    ) -> None:
        """Leave a call, whose response may still show that the store is slow."""
        if not is_read:
            pending.cancel()
            conn.close()
            return
        timer = self._loop.call_later(LATE_RESPONSE_TIMEOUT_S, conn.close)

        def finish(pending: Future[Response]) -> None:
            timer.cancel()
            if not pending.cancelled() and pending.exception() is None:
                self._keep_idle(conn)
                self._record_status(call, pending.result())

        pending.add_done_callback(finish)

    def _record_status(self, call: Any, response: Response) -> None:
        now = self._loop.time()
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self._calls.record_failure(call, now)
        else:
            self._calls.record_response(now, call)

    def _keep_idle(self, conn: ServerConnection) -> None:
        if conn.can_send:
            self._idle.append(conn)


def _accept_any_response(response: Response) -> bool:
    return True


def _result_of(pending: Future[Response]) -> Response:
    """Return a response that has arrived.

    :raises StoreUnavailable: if the store closed the connection instead.
    """
    try:
        return pending.result()
    except AnswerLost as exc:
        raise StoreUnavailable(
            f"The store did not respond ({type(exc).__name__}).", "Try again later."
        ) from exc


def _no_response() -> StoreTimeout:
    return StoreTimeout("The store did not respond in time.", "Try again later.")
