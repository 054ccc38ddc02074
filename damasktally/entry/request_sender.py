"""Send a request on a pooled connection and wait for its response."""

from asyncio import get_running_loop, timeout_at
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from damasktally.entry.body_streams import BodyStreams
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.outcome import AttemptOutcome
from damasktally.http1.connecting import ConnectFailed
from damasktally.http1.messages import Request, Response
from damasktally.http1.outbound import AnswerLost, ServerConnection
from damasktally.http1.response_stream import ResponseStream
from damasktally.platform.headers import NOT_RUN, REQUEST_ID

CONNECT_TIMEOUT_S = 0.35
MAX_IDLE_S = 5.0
"""Seconds after which an idle connection is not reused."""
MAX_HELD_UP_S = 1.0
"""Seconds for which a server may be held up before the loss of the response is no
longer the server's failure: a server may cut off what is not read or not sent."""


@dataclass(frozen=True, slots=True)
class SendOptions:
    """How one attempt to send a request is made.

    :param target: key of the pooled connections: a server's id or a host's name.
    :param address: host and port for a new connection.
    :param encode: returns the bytes to send, given the milliseconds that remain.
    :param deadline: time on the event loop's clock in seconds.
    :param at_most_once: whether the request must not run more than once.
    :param is_wanted: returns whether the request may still be sent, once there is a
        connection for it.
    :param on_head: called with the response, or with the head of one that is forwarded
        as it arrives.
    """

    target: str
    address: tuple[str, int]
    encode: Callable[[int], bytes]
    deadline: float
    at_most_once: bool
    is_wanted: Callable[[], bool] = lambda: True
    on_head: Callable[[Response], None] = lambda response: None


class RequestSender:
    """Send requests on connections of a pool.

    :param pool: opens connections, and keeps idle ones.
    :param streams: responses that are forwarded as they arrive.
    """

    def __init__(self, pool: ConnectionPool, streams: BodyStreams) -> None:
        self._pool = pool
        self._streams = streams
        self._loop = get_running_loop()

    async def send(
        self, req: Request, options: SendOptions
    ) -> tuple[AttemptOutcome, Response | None]:
        """Acquire a connection, then send the request unless it is abandoned.

        :returns: the outcome, ``ANSWERED`` for any response, and the response. A
            response that broke off while it was forwarded has another outcome.
        """
        try:
            conn = await self._acquire(req, options)
        except ConnectFailed:
            return AttemptOutcome.NOT_SENT, None
        remaining_s = options.deadline - self._loop.time()
        if req.is_disconnected or remaining_s <= 0 or not options.is_wanted():
            self._pool.release(options.target, conn)
            return AttemptOutcome.ABANDONED, None
        return await self._send_and_receive(req, conn, options)

    async def _acquire(self, req: Request, options: SendOptions) -> ServerConnection:
        """Return a connection, a new one where a late response would do harm.

        A response to an earlier request may still arrive on a connection that was used
        before, and one that rejects its request need not name it. A request that may
        run at most once would be repeated or refused although it runs, and one without
        an id would get the other's response. If the receiver closes an idle connection
        as such a request is sent on it, the request cannot be retried either.

        :raises ConnectFailed: if no connection is established in time.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, options.deadline - self._loop.time())
        if options.at_most_once or req.header(REQUEST_ID) is None:
            return await self._pool.open(options.target, options.address, timeout_s)
        return await self._pool.acquire(
            options.target, options.address, timeout_s, MAX_IDLE_S
        )

    async def _send_and_receive(
        self, req: Request, conn: ServerConnection, options: SendOptions
    ) -> tuple[AttemptOutcome, Response | None]:
        """Send the request on a connection and wait for its response.

        If the caller disconnects, the connection is closed and the response is lost,
        unless the request was sent completely and may run at most once.
        """
        remaining_ms = max(1, int((options.deadline - self._loop.time()) * 1000))
        request_id = req.header(REQUEST_ID)
        streamed_head: Response | None = None

        def open_stream(
            head: Response, length: int | None, received_bytes: int
        ) -> ResponseStream | None:
            nonlocal streamed_head
            stream = self._streams.open(req, head, length, received_bytes)
            if stream is not None:
                options.on_head(head)
                streamed_head = stream.head
                streamed_head.stream = stream
            return stream

        pending_response = conn.send(
            options.encode(remaining_ms),
            lambda response: _matches_request(response, request_id),
            req.method == b"HEAD",
            open_stream,
            self._streams.min_response_bytes,
            req.upload,
        )
        req.on_disconnect = partial(
            _close_on_disconnect, req, conn, options.at_most_once
        )
        try:
            async with timeout_at(options.deadline):
                response = await pending_response
        except TimeoutError:
            conn.close()
            return _outcome_at_deadline(req, streamed_head), streamed_head
        except AnswerLost:
            return _outcome_of_loss(req, streamed_head), streamed_head
        finally:
            req.on_disconnect = None
            if req.upload is not None:
                req.upload.detach()
            if streamed_head is not None:
                self._streams.close(streamed_head.stream)
            self._streams.end_whole(req)
        self._pool.release(options.target, conn)
        if streamed_head is not None:
            return AttemptOutcome.ANSWERED, streamed_head
        options.on_head(response)
        return AttemptOutcome.ANSWERED, response


def _close_on_disconnect(
    req: Request, conn: ServerConnection, at_most_once: bool
) -> None:
    """Close a server's connection, as the caller has disconnected.

    A request that may run at most once continues if the server gets all of it.
    """
    is_incomplete = req.upload is not None and not req.upload.is_complete
    if is_incomplete or not at_most_once:
        conn.close()


def _outcome_at_deadline(
    req: Request, streamed_head: Response | None
) -> AttemptOutcome:
    """Return the outcome of a request whose deadline passed.

    :param streamed_head: head of the response that was being forwarded, if any.
    """
    if req.upload is not None and req.upload.is_awaited:
        return AttemptOutcome.CALLER_TOO_SLOW
    if streamed_head is not None and streamed_head.stream.is_caller_slow:
        return AttemptOutcome.CALLER_TOO_SLOW
    return AttemptOutcome.TIMED_OUT


def _outcome_of_loss(req: Request, streamed_head: Response | None) -> AttemptOutcome:
    """Return the outcome of a request whose response was lost.

    :param streamed_head: head of the response that was being forwarded, if any.
    """
    held_up_s = req.upload.awaited_s if req.upload is not None else 0.0
    if streamed_head is not None:
        held_up_s = max(held_up_s, streamed_head.stream.held_up_s)
    if held_up_s > MAX_HELD_UP_S:
        return AttemptOutcome.CALLER_TOO_SLOW
    return AttemptOutcome.LOST


def _matches_request(response: Response, request_id: bytes | None) -> bool:
    """Return whether a response is for a request, and not a late one for another.

    Servers and hosts repeat the request id in their responses. A response without one
    matches if the request had none either, or if the server did not run it.
    """
    response_request_id = response.header(REQUEST_ID)
    if response_request_id is None:
        return request_id is None or response.header(NOT_RUN) is not None
    return response_request_id == request_id
