"""Build the response that a caller gets when no further attempt follows."""

from random import Random

from damasktally.decisions.response_times import ResponseTimes
from damasktally.entry.host_headers import REFUSAL
from damasktally.entry.outcome import (
    MAY_HAVE_RUN_OUTCOMES,
    Attempt,
    AttemptOutcome,
    RequestTrace,
)
from damasktally.entry.refusals import retry_later_response, text_response
from damasktally.events.reasons import Reason
from damasktally.http1.messages import Request, Response, end_to_end_headers
from damasktally.platform.headers import (
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
)

NO_SERVER_RETRY_AFTER_S = 0.5
"""Retry delay if a service has no usable server, before jitter."""
MIN_JITTER = 0.7
MAX_JITTER = 1.3
"""Bounds of the factor that spreads the times at which refused callers return."""
EXCLUDED_RESPONSE_HEADERS = frozenset(
    {SERVER_LOAD, SERVER_LIMIT, SERVER_LEAVING, REFUSAL}
)
"""Headers by which servers and other hosts tell this host of their own state."""
CONTENT_ENCODING = b"content-encoding"


class FinalResponses:
    """Build final responses, and estimate when refused callers should return.

    :param response_times: response times of each service.
    """

    def __init__(self, response_times: ResponseTimes, rng: Random) -> None:
        self._response_times = response_times
        self._rng = rng

    def from_failure(self, trace: RequestTrace) -> Response:
        """Return the response to a request that is not attempted any more.

        If an attempt was lost or timed out, the request may have run: it gets a 502
        that does not invite a retry. Otherwise it gets the last server's response, or
        a 503 if there was none.
        """
        outcomes = {attempt.outcome for attempt in trace.attempts}
        answered = [
            attempt
            for attempt in trace.attempts
            if attempt.outcome is AttemptOutcome.ANSWERED
        ]
        if AttemptOutcome.LOST in outcomes or AttemptOutcome.TIMED_OUT in outcomes:
            return text_response(502, trace.reason.value)
        if answered:
            return self.from_attempt(answered[-1], trace)
        wait_s = self._retry_after_s(trace)
        return retry_later_response(503, trace.reason.value, wait_s)

    def _retry_after_s(self, trace: RequestTrace) -> float:
        """Return the seconds after which a refused request may be served.

        A time that the decision named is only moved back, as nothing changes before.
        """
        if trace.retry_after_s is not None:
            return trace.retry_after_s * self._rng.uniform(1.0, MAX_JITTER)
        if trace.reason is Reason.NO_SERVER:
            return self.jitter(NO_SERVER_RETRY_AFTER_S)
        return self.jitter(self._response_times.expected_wait_s(trace.service))

    def from_attempt(self, attempt: Attempt, trace: RequestTrace) -> Response:
        """Return the response for an attempt that settles its request.

        A response that was forwarded as it arrived is returned as the caller got it.

        A response with a ``Content-Encoding`` gets a 502: servers do not encode, so
        it is not the server's own.
        """
        if attempt.is_streamed:
            trace.reason = _reason_of_stream(attempt, trace)
            return attempt.response
        if attempt.outcome is AttemptOutcome.TIMED_OUT:
            trace.reason = Reason.SERVER_TOO_SLOW
            return text_response(504, trace.reason.value)
        if attempt.outcome is AttemptOutcome.CALLER_TOO_SLOW:
            trace.reason = Reason.CALLER_TOO_SLOW
            return text_response(504, trace.reason.value)
        if attempt.outcome is AttemptOutcome.LOST:
            trace.reason = Reason.ANSWER_LOST
            return text_response(502, trace.reason.value)
        response = attempt.response
        if response.header(CONTENT_ENCODING) is not None:
            trace.reason = Reason.ENCODED_ANSWER
            return text_response(502, trace.reason.value)
        trace.reason = _refusal_of(response) or trace.reason or Reason.ANSWERED
        return forwarded_response(response)

    def from_upload(
        self, req: Request, attempt: Attempt, trace: RequestTrace
    ) -> Response:
        """Return the response for an attempt that took a part of the request's body.

        No other attempt follows, as that part is not in the host any more.
        """
        if attempt.outcome is AttemptOutcome.LOST and req.is_disconnected:
            trace.reason = Reason.CALLER_GONE
            return self.from_failure(trace)
        if attempt.outcome in MAY_HAVE_RUN_OUTCOMES:
            return self.from_attempt(attempt, trace)
        trace.reason = Reason.BODY_SENT
        if attempt.response is None or attempt.outcome is AttemptOutcome.REPLACED:
            return self.from_failure(trace)
        response = self.from_attempt(attempt, trace)
        if response.header(RETRY_AFTER) is None:
            wait_s = self._retry_after_s(trace)
            response.headers.append((RETRY_AFTER, b"%.3f" % wait_s))
        return response

    def jitter(self, wait_s: float) -> float:
        """Vary a retry delay, so that refused callers do not return all at once."""
        return wait_s * self._rng.uniform(MIN_JITTER, MAX_JITTER)


def forwarded_response(response: Response) -> Response:
    """Return a server's response with the headers that callers get."""
    headers = end_to_end_headers(response.headers, EXCLUDED_RESPONSE_HEADERS)
    return Response(
        response.status,
        headers,
        response.body,
        stated_length=response.stated_length,
    )


def _reason_of_stream(attempt: Attempt, trace: RequestTrace) -> Reason:
    """Return why a response that was forwarded as it arrived ended."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return trace.reason or Reason.ANSWERED
    if attempt.response.stream.is_discarded:
        return Reason.CALLER_GONE
    if attempt.outcome is AttemptOutcome.CALLER_TOO_SLOW:
        return Reason.CALLER_TOO_SLOW
    if attempt.outcome is AttemptOutcome.TIMED_OUT:
        return Reason.SERVER_TOO_SLOW
    return Reason.ANSWER_LOST


def _refusal_of(response: Response) -> Reason | None:
    """Return the reason for which another host refused a request, if it did."""
    word = response.header(REFUSAL)
    if word is None:
        return None
    known = {reason.value: reason for reason in Reason}
    return known.get(word.decode(), Reason.REFUSED_BY_HOST)
