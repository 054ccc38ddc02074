"""Take in which server processes lost their responses to a request."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from time import time

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.events import emit
from damasktally.events.catalogue import REQUEST_BLOCKED
from damasktally.fleet.crash_reports import CrashReport
from damasktally.fleet.model import Server

END_WINDOW_S = 5
"""Losses at one process within this many seconds count as one end of it."""
OWN_SOURCE = "self"
"""Source, in the log, of what this host's own requests showed."""


class CrashReports:
    """Record losses and answers by request, and log which requests are blocked.

    ``on_blocked`` is called with the losses of a request that is blocked from then on,
    at each host that lost one of the responses; the host sets it to keep them.

    :param suspects: decides which requests are blocked.
    """

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects
        self.on_blocked: Callable[[CrashReport], None] | None = None
        self._loop = get_running_loop()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is known to have lost a response."""
        return len(self._suspects) == 0

    def blocked_s(self, fingerprint: str) -> float:
        """Return for how many seconds a request stays blocked; 0 if it is not."""
        return self._suspects.blocked_s(fingerprint, self._loop.time())

    def record_attempt(
        self, fingerprint: str, server: Server, attempt: Attempt
    ) -> None:
        """Record a lost response, or an answer by a server that ran the request."""
        now = self._loop.time()
        if attempt.outcome is AttemptOutcome.LOST:
            if self._suspects.record_loss(fingerprint, _end_of(server, time()), now):
                self._handle_blocked(fingerprint, OWN_SOURCE)
        elif attempt.outcome is AttemptOutcome.ANSWERED:
            if attempt.response.status < 500:
                self._suspects.record_answer(fingerprint, now)

    def merge(self, reports: Iterable[CrashReport], source: str) -> None:
        """Merge what another host reported.

        :param source: name of the host that sent the reports, for the log.
        """
        now = self._loop.time()
        for report in reports:
            if self._suspects.merge(report, now):
                self._handle_blocked(report.fingerprint, source)

    def _handle_blocked(self, fingerprint: str, source: str) -> None:
        """Log that a request is blocked from now on, and keep it if that is due."""
        emit(
            REQUEST_BLOCKED,
            fingerprint=fingerprint,
            seconds=round(self.blocked_s(fingerprint), 1),
            source=source,
        )
        if self.on_blocked is not None and self._suspects.has_own_loss(fingerprint):
            self.on_blocked(self._suspects.report(fingerprint, self._loop.time()))


def _end_of(server: Server, unix_s: float) -> str:
    """Identify the end of a server's process, for all hosts that see it.

    The next process is known only once it registered, so the time is part of it.
    """
    return f"{server.id}/{server.started_ms}/{int(unix_s // END_WINDOW_S)}"
