"""Write the log line of a request."""

from damasktally.entry.outcome import RequestTrace
from damasktally.events import emit
from damasktally.events.catalogue import REQUEST_ENDED
from damasktally.fleet.model import era_of, revision_in_era
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.http1.messages import Request


def log_request(
    req: Request, trace: RequestTrace, status: int, view: FleetView, now: float
) -> None:
    """Log how a request ended, and what determined it.

    :param status: status of the final response.
    :param view: the view on which the decisions were based.
    :param now: seconds on the event loop's clock.
    """
    servers_revision = view.revisions[Topic.SERVERS]
    emit(
        REQUEST_ENDED,
        request=trace.request_id,
        status=status,
        reason=trace.reason.value,
        route=trace.route.name if trace.route else "",
        customer=trace.customer.name if trace.customer else "",
        service=trace.service,
        configuration=trace.configuration,
        servers_revision=revision_in_era(servers_revision),
        store_era=era_of(servers_revision),
        ms=round((now - req.first_byte_at) * 1000, 1),
        caller_gone=req.is_disconnected,
        view_age_s=round(view.staleness.newest_age_s(now), 2),
        inputs=trace.inputs,
        fingerprint=trace.fingerprint,
        forwarded_by=trace.forwarded.host if trace.forwarded else "",
        attempts=[
            [
                attempt.target,
                attempt.outcome.value,
                round(attempt.duration_s * 1000, 1),
            ]
            for attempt in trace.attempts
        ],
        removed_s={
            attempt.target: round(attempt.removal_age_s, 2)
            for attempt in trace.attempts
            if attempt.removal_age_s is not None
        },
    )
