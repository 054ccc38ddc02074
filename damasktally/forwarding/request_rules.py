"""Find the route of a request, whether it is idempotent, and why it is refused."""

from collections.abc import Callable

from damasktally.forwarding.attempt import CallerRequest
from damasktally.forwarding.exceptions import AnswerLate, CallerGone, LinkBusy
from damasktally.forwarding.refusals import (
    BODY_CUT,
    CALLER_GONE,
    LINK_FULL,
    REASONS_BY_CODE,
    SERVER_FAILED,
    SERVER_TIMEOUT,
    Refusal,
)
from damasktally.forwarding.request_parsing import InvalidBody
from damasktally.resources.kinds import Route
from damasktally.resources.view import View
from damasktally.steering.dispatcher import NoSlot

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}


class Once:
    """Call a function at most once.

    :param action: the function, which is called by the first :meth:`run`.
    """

    def __init__(self, action: Callable[[], None]) -> None:
        self._action: Callable[[], None] | None = action

    def run(self) -> None:
        """Call the function unless it was called before."""
        action, self._action = self._action, None
        if action is not None:
            action()


def find_route(view: View, path: bytes) -> tuple[str, Route] | None:
    """Return the name of the route with the longest matching prefix, and the route.

    The view holds its routes ordered by descending length of the prefix.

    :param path: the decoded path of the request.
    """
    decoded_path = path.decode("utf-8", "replace")
    for name, route in view.routes:
        prefix = route.prefix
        if decoded_path == prefix or decoded_path.startswith(prefix.rstrip("/") + "/"):
            return name, route
    return None


def is_idempotent(req: CallerRequest, route: Route) -> bool:
    """Return whether a request may run more than once.

    A route can limit this to safe methods.
    """
    methods = SAFE_METHODS if route.safe_methods_only else IDEMPOTENT_METHODS
    return req.method in methods


def refusal_for_missing_slot(no_slot: NoSlot) -> Refusal:
    """Return the refusal of a request that got no slot."""
    return Refusal(REASONS_BY_CODE[no_slot.reason_code], no_slot.retry_after_s)


def refusal_for_error(exc: Exception, was_sent: bool) -> Refusal:
    """Return the refusal of a request whose attempt failed.

    :param exc: the error that ended the attempt.
    :param was_sent: whether a byte of the request may have reached the server.
    """
    if isinstance(exc, LinkBusy) and not was_sent:
        return Refusal(LINK_FULL, 1.0)
    if isinstance(exc, CallerGone):
        return Refusal(CALLER_GONE)
    if isinstance(exc, InvalidBody):
        return Refusal(BODY_CUT)
    if isinstance(exc, AnswerLate):
        return Refusal(SERVER_TIMEOUT)
    return Refusal(SERVER_FAILED)
