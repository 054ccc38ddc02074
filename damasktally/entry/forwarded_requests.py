"""Take callers' requests that other hosts forward."""

from damasktally.entry.host_headers import REFUSAL, ForwardedRequest
from damasktally.entry.refusals import retry_later_response, text_response
from damasktally.entry.requests import RequestHandler
from damasktally.events.reasons import Reason
from damasktally.http1.messages import Request, Response
from damasktally.platform.headers import REQUEST_ID

MAX_REQUESTS_PER_CORE = 128
"""Requests of other hosts under way at once, for each core of this host."""
RETRY_AFTER_S = 0.3


class ForwardedRequests:
    """Handle forwarded requests, up to a bound.

    :param requests: handles the requests that are taken.
    :param capacity: capacity of this host in cores.
    """

    def __init__(self, requests: RequestHandler, capacity: float) -> None:
        self._requests = requests
        self._max_count = max(16, int(MAX_REQUESTS_PER_CORE * capacity))
        self._count = 0

    async def handle(self, req: Request) -> Response:
        """Return the response to a request that another host forwarded."""
        forwarded = ForwardedRequest.decode(req)
        if forwarded is None:
            return text_response(400, "not-forwarded")
        if self._count >= self._max_count:
            return _refuse(req)
        self._count += 1
        try:
            return await self._requests.handle_forwarded(req, forwarded)
        finally:
            self._count -= 1


def _refuse(req: Request) -> Response:
    reason = Reason.TOO_MANY_FORWARDED.value
    response = retry_later_response(503, reason, RETRY_AFTER_S)
    response.headers.append((REFUSAL, reason.encode()))
    response.headers.append((REQUEST_ID, req.header(REQUEST_ID) or b""))
    return response
