"""Keep requests that end servers away from the next ones."""

from damasktally.entry.crash_reports import CrashReports
from damasktally.entry.fingerprint import fingerprint_of
from damasktally.entry.outcome import Attempt, AttemptOutcome, RequestTrace
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Server
from damasktally.http1.messages import Request


class CrashGuard:
    """Refuse blocked requests, and record what attempts show of servers that ended.

    :param crash_reports: decides which requests are blocked, since they end servers.
    """

    def __init__(self, crash_reports: CrashReports) -> None:
        self._crash_reports = crash_reports

    def is_blocked(self, req: Request, trace: RequestTrace) -> bool:
        """Return whether the request is one that ends servers, and explain it.

        A blocked request may be let through as a trial, which holds until its next
        attempt has ended.
        """
        if self._crash_reports.is_empty or trace.is_trial:
            return False
        blocked_s = self._crash_reports.blocked_s(_fingerprint(req, trace))
        if blocked_s <= 0:
            return False
        trace.is_trial = self._crash_reports.take_trial(trace.fingerprint)
        if trace.is_trial:
            trace.inputs = {"tried though blocked for s": round(blocked_s, 1)}
            return False
        trace.reason = Reason.ENDS_SERVERS
        trace.retry_after_s = blocked_s
        trace.inputs = {"blocked for s": round(blocked_s, 1)}
        return True

    def record_attempt(
        self, req: Request, trace: RequestTrace, server: Server, attempt: Attempt
    ) -> None:
        """Record a lost response, or an answer, which shows that the server is alive.

        A response that was lost because the caller left shows nothing.
        """
        trace.is_trial = False
        if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN):
            self._crash_reports.record_alive(server)
        is_lost = attempt.outcome is AttemptOutcome.LOST
        if is_lost and req.is_disconnected:
            return
        if is_lost or not self._crash_reports.is_empty:
            self._crash_reports.record_attempt(
                _fingerprint(req, trace), server, attempt
            )


def _fingerprint(req: Request, trace: RequestTrace) -> str:
    """Return the request's fingerprint, computed at its first use."""
    if not trace.fingerprint:
        trace.fingerprint = fingerprint_of(req, trace.customer)
    return trace.fingerprint
