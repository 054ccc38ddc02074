"""Outcomes of forwarding attempts, and the trace of a request."""

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from damasktally.entry.host_headers import ForwardedRequest
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Customer, Route
from damasktally.http1.messages import Response


class AttemptOutcome(Enum):
    """How an attempt to send a request to a server ended.

    The value is the word in the log.
    """

    ANSWERED = "answered"
    """The server sent a response that belongs to this request."""
    NOT_RUN = "not-run"
    """The server reported that it did not run the request."""
    REPLACED = "replaced"
    """Another server now uses the address; the request did not run."""
    NOT_SENT = "not-sent"
    """No connection could be established, so nothing was sent."""
    ABANDONED = "abandoned"
    """Nothing was sent, as the caller disconnected, the deadline passed, or the server
    asked for a pause, left or was evacuated meanwhile."""
    LOST = "lost"
    """The request was sent, but no complete response arrived: it may have run."""
    TIMED_OUT = "timed-out"
    """The deadline passed after the request was sent: it may have run."""
    CALLER_TOO_SLOW = "caller-too-slow"
    """The caller sent its body, or read the response, so slowly that the deadline
    passed or the server gave up. The request may have run."""
    REFUSED_BY_HOST = "refused-by-host"
    """The other host to which the request was forwarded refused it; it did not run."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to send a request, for retry decisions and the log.

    :param target: id of the server, or ``host`` and the name of the host to which it
        was forwarded.
    :param duration_s: seconds from the start of the attempt to its outcome.
    :param response: the response, if one was received, or the head of one that was
        being forwarded as it arrived.
    :param is_final: whether no other attempt follows, whatever the outcome.
    :param removal_age_s: how long before the start of the attempt this host had learned
        that the server's registration was removed, or None if it was registered.
    """

    target: str
    outcome: AttemptOutcome
    duration_s: float
    response: Response | None = None
    is_final: bool = False
    removal_age_s: float | None = None

    @property
    def is_streamed(self) -> bool:
        """Return whether a response was forwarded to the caller as it arrived."""
        return self.response is not None and self.response.stream is not None

    @property
    def server_duration_s(self) -> float:
        """Return the duration without the time for which the server was held up."""
        if not self.is_streamed:
            return self.duration_s
        return self.duration_s - self.response.stream.held_up_s


MAY_HAVE_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.LOST,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CALLER_TOO_SLOW,
    }
)
"""Outcomes after which a server may have run the request."""


@dataclass(slots=True)
class RequestTrace:
    """What determined the response to a request, for its log line.

    :param configuration: version of the configuration, or 0 if there was none.
    :param reason: why the request ended as it did.
    :param deadline: when the caller or the route stops waiting, in seconds on the event
        loop's clock.
    :param fingerprint: hash by which the same request is recognised, once computed.
    :param retry_after_s: when a refused caller may return, if the decision named it.
    :param forwarded: set if another host forwarded the request to this one.
    :param hosts_tried: names of the hosts to which this one forwarded the request.
    :param is_trial: whether it is blocked, and let through to see whether it is still
        one that ends servers.
    :param is_time_trial: whether its time is too short by the latest runs of its route,
        and it is let through to see whether that still holds.
    :param relative_time: expected time at the chosen server, relative to that at one of
        the usual speed that has a free slot.
    :param needs_lease: whether the chosen server looks full, so that only its manager
        can tell whether it has room.
    :param lease_refusal: why a manager refused the request, if one did.
    :param servers_refused: ids of the servers whose managers did.
    :param waited_s: seconds for which it waited for leases.
    :param inputs: the values on which the last decision was based, by name.
    """

    request_id: str
    configuration: int = 0
    route: Route | None = None
    customer: Customer | None = None
    service: str = ""
    reason: Reason | None = None
    deadline: float = inf
    attempts: list[Attempt] = field(default_factory=list)
    fingerprint: str = ""
    retry_after_s: float | None = None
    forwarded: ForwardedRequest | None = None
    hosts_tried: list[str] = field(default_factory=list)
    is_trial: bool = False
    is_time_trial: bool = False
    relative_time: float = 1.0
    needs_lease: bool = False
    lease_refusal: Reason | None = None
    servers_refused: list[str] = field(default_factory=list)
    waited_s: float = 0.0
    inputs: dict[str, float] = field(default_factory=dict)
