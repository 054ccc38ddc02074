"""Take in which server processes lost their responses to a request."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from dataclasses import dataclass
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
EXCUSED_MEMORY_S = 10.0
"""A loss that is put down to the link counts after all if the server's process is not
registered any more within this long: it has ended."""
END_WINDOW_S = 5
"""Losses at one process within this many seconds count as one end of it: its next
process is known as such only once it registered."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A response that was lost.

    :param window: number of the time in which it was lost.
    :param lost_at: seconds on the event loop's clock.
    """

    fingerprint: str
    server: Server
    window: int
    lost_at: float


class CrashReports:
    """Record losses and answers by request, and log which requests are blocked.

    ``on_blocked`` is called with the losses of a request that is blocked from then on,
    at each host that lost one of the responses; ``on_unblocked`` with the fingerprint
    of one that is not blocked any more. The host sets both to store what is blocked.

    :param suspects: decides which requests are blocked.
    :param breaks: breaks of this host's connections to servers.
    :param is_registered: returns whether a server still runs as the same process, by
        its registration.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        breaks: LinkBreaks,
        is_registered: Callable[[Server], bool],
    ) -> None:
        self._suspects = suspects
        self._breaks = breaks
        self._is_registered = is_registered
        self._excused: list[_Loss] = []
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
            loss = _Loss(fingerprint, server, window, now)
            self._loop.call_later(DECISION_DELAY_S, self._judge_loss, loss)
        elif attempt.outcome is AttemptOutcome.ANSWERED:
            if attempt.response.status < 500:
                self._suspects.record_answer(fingerprint, now)

    def _judge_loss(self, loss: _Loss) -> None:
        """Record a loss, unless this host's own link explains it."""
        server = loss.server
        if self._breaks.is_own_link(server.id, loss.lost_at):
            emit(LOSS_IGNORED, server=server.id, fingerprint=loss.fingerprint)
            self._excused.append(loss)
        else:
            self._record_loss(loss)

    def _record_loss(self, loss: _Loss) -> None:
        now = self._loop.time()
        process = _process_of(loss.server)
        self._suspects.record_loss(
            loss.fingerprint, process, loss.window, now, now - loss.lost_at
        )

    def _reconsider_excused(self, now: float) -> None:
        """Record the excused losses whose servers turned out to have ended."""
        ended = [loss for loss in self._excused if not self._is_registered(loss.server)]
        for loss in ended:
            self._record_loss(loss)
        self._excused = [
            loss
            for loss in self._excused
            if loss not in ended and now - loss.lost_at <= EXCUSED_MEMORY_S
        ]

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
        self._reconsider_excused(now)
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
