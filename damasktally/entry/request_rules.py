"""Rules that follow from a request, its route and its customer alone."""

from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.fleet.model import Configuration, Customer, Route
from damasktally.http1.messages import Request
from damasktally.platform.headers import REMAINING_MS, parse_milliseconds

DEFAULT_DEADLINE_S = 30.0
"""Seconds for a request whose caller sent no deadline."""
MIN_REMAINING_TIME_S = 0.02
"""A request with fewer seconds than this until its deadline is not sent."""


def find_route(cfg: Configuration, req: Request) -> Route | None:
    """Return the route for a request's host name and path."""
    host = (req.header(b"host") or b"").decode("latin-1").partition(":")[0]
    path = req.target.partition(b"?")[0].decode("latin-1")
    return cfg.find_route(host.lower(), path)


def deadline_of(req: Request, route: Route) -> float:
    """Return a request's deadline on the event loop's clock, in seconds.

    The time that the caller allows counts from the first byte of the request, and is
    limited by the route's timeout.
    """
    remaining_s = parse_milliseconds(req.header(REMAINING_MS)) or DEFAULT_DEADLINE_S
    if route.timeout_s > 0:
        remaining_s = min(remaining_s, route.timeout_s)
    return req.first_byte_at + remaining_s


def allowed_regions(route: Route, customer: Customer | None) -> frozenset[str] | None:
    """Return the regions that may serve a request.

    :returns: the regions that both the route and the customer allow; an empty set
        allows all regions, and ``None`` means that they have none in common.
    """
    customer_regions = customer.home_regions if customer else frozenset()
    if not route.home_regions or not customer_regions:
        return route.home_regions or customer_regions
    return (route.home_regions & customer_regions) or None


def priority_of(route: Route, customer: Customer | None) -> int:
    """Return the customer's priority if it has one, else the route's."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def settles_request(attempt: Attempt, at_most_once: bool) -> bool:
    """Return whether no further attempt follows.

    Errors of a server (5xx) and lost responses are retried, unless the request may
    run at most once. What another host responds is final, as it made the attempts
    that were left, unless it had no server either. A response that was being forwarded
    as it arrived is final, as the caller has a part of it.
    """
    if attempt.is_final or attempt.is_streamed:
        return True
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return at_most_once or attempt.response.status < 500
    if attempt.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CALLER_TOO_SLOW):
        return True
    return attempt.outcome is AttemptOutcome.LOST and at_most_once
