"""Take in which server processes lost their responses to a request."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from time import time

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import TOGETHER_S, LinkBreaks
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.events import emit
from damasktally.events.catalogue import (
    LOSS_IGNORED,
    REQUEST_BLOCKED,
    REQUEST_UNBLOCKED,
)
from damasktally.fleet.crash_reports import CrashReport
from damasktally.fleet.model import Server

DECISION_DELAY_S = TOGETHER_S + 0.05
"""A loss is judged this long after it, when breaks of the same link are known."""
END_WINDOW_S = 5
"""Losses at one process within this many seconds count as one end of it: its next
process is known as such only once it registered."""


class CrashReports:
    """Record losses and answers by request, and log which requests are blocked.

    ``on_blocked`` is called with the losses of a request that is blocked from then on,
    at each host that lost one of the responses; ``on_unblocked`` with the fingerprint
    of one that is not blocked any more. The host sets both to store what is blocked.

    :param suspects: decides which requests are blocked.
    :param breaks: breaks of this host's connections to servers.
    :param is_cut_off: returns whether this host does not reach a service that other
        hosts reach.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        breaks: LinkBreaks,
        is_cut_off: Callable[[str], bool],
    ) -> None:
        self._suspects = suspects
        self._breaks = breaks
        self._is_cut_off = is_cut_off
        self.on_blocked: Callable[[CrashReport], None] | None = None
        self.on_unblocked: Callable[[str], None] | None = None
        self._loop = get_running_loop()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is known to have lost a response."""
        return len(self._suspects) == 0

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
            self._loop.call_later(
                DECISION_DELAY_S, self._judge_loss, fingerprint, server, window, now
            )
        elif attempt.outcome is AttemptOutcome.ANSWERED:
            if attempt.response.status < 500:
                self._suspects.record_answer(fingerprint, now)

    def _judge_loss(
        self, fingerprint: str, server: Server, window: int, lost_at: float
    ) -> None:
        """Record a loss, unless this host's own link explains it."""
        is_own_link = self._breaks.is_own_link(server.id, lost_at)
        if is_own_link or self._is_cut_off(server.service):
            emit(LOSS_IGNORED, server=server.id, fingerprint=fingerprint)
            return
        now = self._loop.time()
        self._suspects.record_loss(
            fingerprint, _process_of(server), window, now, now - lost_at
        )

    def record_alive(self, server: Server) -> None:
        """Record that a server answered some request."""
        self._suspects.record_alive(_process_of(server), self._loop.time())

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Merge what another host or the store reported."""
        now = self._loop.time()
        for report in reports:
            self._suspects.merge(report, now)

    def handle_block_changes(self) -> None:
        """Log which requests are blocked from now on, or not any more, and store it."""
        now = self._loop.time()
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


def _process_of(server: Server) -> str:
    return f"{server.id}/{server.started_ms}"
