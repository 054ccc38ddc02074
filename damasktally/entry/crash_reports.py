"""Take in which server processes lost their responses to a request."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from time import time

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.lost_responses import (
    DECISION_DELAY_S,
    Excuse,
    LostResponse,
    LostResponses,
    process_of,
)
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.events import emit
from damasktally.events.catalogue import (
    LOSS_IGNORED,
    REQUEST_BLOCKED,
    REQUEST_UNBLOCKED,
)
from damasktally.fleet.crash_reports import CrashReport
from damasktally.fleet.model import Server

JUDGEMENT_MARGIN_S = 0.005
"""A timer may fire slightly early by the clock."""
END_WINDOW_S = 5
"""Losses at one process within this many seconds count as one end of it: its next
process is known as such only once it registered."""


class CrashReports:
    """Record losses and answers by request, and log which requests are blocked.

    ``on_blocked`` is called with the losses of a request that is blocked from then on,
    at each host that lost one of the responses; ``on_unblocked`` with the fingerprint
    of one that is not blocked any more. The host sets both to store what is blocked.

    :param suspects: decides which requests are blocked.
    :param losses: judges which losses count.
    """

    def __init__(self, suspects: CrashSuspects, losses: LostResponses) -> None:
        self._suspects = suspects
        self._losses = losses
        self.on_blocked: Callable[[CrashReport], None] | None = None
        self.on_unblocked: Callable[[str], None] | None = None
        self._loop = get_running_loop()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is known to have lost a response."""
        return len(self._suspects) == 0 and len(self._losses) == 0

    def blocked_s(self, fingerprint: str) -> float:
        """Return for how many seconds a request stays blocked; 0 if it is not."""
        return self._suspects.blocked_s(fingerprint, self._loop.time())

    def take_trial(self, fingerprint: str) -> bool:
        """Return whether a blocked request may be tried at one server, and count it."""
        return self._suspects.take_trial(fingerprint, self._loop.time())

    def record_attempt(
        self, fingerprint: str, server: Server, attempt: Attempt
    ) -> None:
        """Record a lost response, or an answer by a server that ran the request."""
        now = self._loop.time()
        if attempt.outcome is AttemptOutcome.LOST:
            window = int(time() // END_WINDOW_S)
            loss = LostResponse(fingerprint, server.id, server.started_ms, window, now)
            self._add_loss(loss)
        elif attempt.outcome is AttemptOutcome.ANSWERED:
            if attempt.response.status < 500:
                self._losses.record_answer(fingerprint, now)

    def _add_loss(self, loss: LostResponse) -> None:
        excuse = self._losses.add(loss)
        if excuse is not None:
            _log_excuse(loss, excuse)
            return
        self._loop.call_later(DECISION_DELAY_S + JUDGEMENT_MARGIN_S, self._judge)

    def _judge(self) -> None:
        """Judge the losses that are due."""
        for loss in self._losses.judge(self._loop.time()):
            _log_excuse(loss, Excuse.OWN_LINK)

    def record_alive(self, server: Server) -> None:
        """Record that a server answered some request."""
        process = process_of(server.id, server.started_ms)
        self._suspects.record_alive(process, self._loop.time())

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Merge what another host or the store reported."""
        now = self._loop.time()
        for report in reports:
            self._suspects.merge(report, now)

    def handle_block_changes(self) -> None:
        """Log which requests are blocked from now on, or not any more, and store it."""
        now = self._loop.time()
        self._losses.reconsider_excused(now)
        changes = self._suspects.take_block_changes(now)
        for fingerprint in changes.ended:
            emit(REQUEST_UNBLOCKED, fingerprint=fingerprint)
            if self.on_unblocked is not None:
                self.on_unblocked(fingerprint)
        for fingerprint in changes.begun:
            is_own = self._suspects.has_own_loss(fingerprint)
            emit(
                REQUEST_BLOCKED,
                fingerprint=fingerprint,
                seconds=round(self.blocked_s(fingerprint), 1),
                own_loss=is_own,
            )
            if is_own and self.on_blocked is not None:
                self.on_blocked(self._suspects.report(fingerprint, now))


def _log_excuse(loss: LostResponse, excuse: Excuse) -> None:
    emit(
        LOSS_IGNORED,
        server=loss.server,
        fingerprint=loss.fingerprint,
        reason=excuse.value,
    )
