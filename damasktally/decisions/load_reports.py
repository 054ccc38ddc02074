"""Decide which load reports of servers this host passes on to other hosts.

Reports of busy servers are passed on, and one more when a server stops being busy. A
fleet whose servers are not busy therefore sends none.
"""

from dataclasses import dataclass
from math import ceil, inf

from damasktally.decisions.load import REPORT_LIFETIME_S
from damasktally.fleet.model import Server, ServerReport
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.server_loads import ServerLoadReport, max_loads

BUSY_SLOT_FRACTION = 0.5
"""A server with requests for this fraction of its slots is busy."""
BUSY_SLOWDOWN = 1.5
"""A server whose work takes this many times the usual time is busy."""
MAX_REPORTS_PER_S = 250.0
"""Reports that all messages of one kind carry a second, and at once after a pause.

It bounds the bytes that each host receives while most servers are busy.
"""
RENEWAL_AGE_S = 0.4
"""Age of the last sent report from which the server's next one is sent.

Messages are sent every 0.2 s, so that the receivers get it when the last one is about
to lose weight.
"""
MIN_SLOWDOWN_CHANGE = 0.5
"""Change of the slowdown that is sent with the next message."""


@dataclass(frozen=True, slots=True)
class _KnownReport:
    """Newest report of a server that is busy, or just stopped being busy.

    :param slots: requests that the server processes at once.
    :param reported_at: when the response arrived, in seconds on the event loop's clock.
    :param scope: how this host learned of it.
    """

    started_ms: int
    running: int
    waiting: int
    slowdown: float
    slots: int
    reported_at: float
    scope: ReportScope

    @property
    def total(self) -> int:
        """Return the number of requests that the server holds."""
        return self.running + self.waiting

    @property
    def is_busy(self) -> bool:
        """Return whether other hosts should know of the server's load."""
        return _is_busy(self.total, self.slots, self.slowdown)


def _is_busy(total: int, slots: int, slowdown: float) -> bool:
    if slowdown >= BUSY_SLOWDOWN:
        return True
    return total > 0 and total >= BUSY_SLOT_FRACTION * slots


class LoadOutbox:
    """What the messages of one kind carried, and how much the next one may carry."""

    def __init__(self) -> None:
        self.sent: dict[str, _KnownReport] = {}
        self._allowance = MAX_REPORTS_PER_S
        self._refilled_at = -inf

    def limit(self, now: float) -> int:
        """Return how many reports the next message may carry at most."""
        refill = (now - self._refilled_at) * MAX_REPORTS_PER_S
        self._allowance = min(MAX_REPORTS_PER_S, self._allowance + refill)
        self._refilled_at = now
        return int(self._allowance)

    def record(self, server: str, report: _KnownReport) -> None:
        """Record a report that a message carries."""
        self.sent[server] = report
        self._allowance -= 1


class LoadReports:
    """Newest reports of busy servers.

    Times called ``now`` are in seconds on the event loop's clock. The caller checks
    that a report is newer than the known one, as
    :class:`~damasktally.decisions.load.ServerLoads` does.
    """

    def __init__(self) -> None:
        self._known: dict[str, _KnownReport] = {}

    def record_own(self, server: Server, report: ServerReport, now: float) -> None:
        """Record the load that a response to this host reported.

        The report of a server that is not busy is kept only if it was busy before, as
        far as this host knows.
        """
        slots = report.slots or server.slots
        slowdown = 1.0 if report.slowdown is None else report.slowdown
        is_busy = _is_busy(report.running + report.waiting, slots, slowdown)
        if not is_busy and not self._is_known_busy(server.id, now):
            return
        self._known[server.id] = _KnownReport(
            server.started_ms,
            report.running,
            report.waiting,
            slowdown,
            slots,
            now,
            ReportScope.OWN,
        )

    def _is_known_busy(self, server: str, now: float) -> bool:
        previous = self._known.get(server)
        return (
            previous is not None
            and previous.is_busy
            and now - previous.reported_at <= REPORT_LIFETIME_S
        )

    def record(
        self, report: ServerLoadReport, slots: int, scope: ReportScope, now: float
    ) -> None:
        """Record a report that another host passed on.

        :param slots: requests that the server processes at once.
        """
        self._known[report.server] = _KnownReport(
            report.started_ms,
            report.running,
            report.waiting,
            report.slowdown_percent / 100.0,
            slots,
            now - report.age_ms / 1000.0,
            scope,
        )

    def take(
        self, outbox: LoadOutbox, scope: ReportScope, now: float
    ) -> tuple[ServerLoadReport, ...]:
        """Return the reports for the next message, the newest first.

        A report is sent once: if the message is lost, the server's next report replaces
        it, or its weight would soon have been zero.

        :param outbox: what earlier messages carried; it is updated.
        :param scope: the widest scope of the reports.
        """
        if not self._known:
            outbox.sent.clear()
            return ()
        self._remove_expired(outbox, now)
        due = [
            (known.reported_at, name)
            for name, known in self._known.items()
            if known.scope <= scope and _is_due(known, outbox.sent.get(name), now)
        ]
        if not due:
            return ()
        due.sort(reverse=True)
        chosen = [name for _, name in due[: min(max_loads(scope), outbox.limit(now))]]
        for name in chosen:
            outbox.record(name, self._known[name])
        return tuple(_encode(name, self._known[name], now) for name in chosen)

    def _remove_expired(self, outbox: LoadOutbox, now: float) -> None:
        """Remove the reports that no longer count."""
        for name, known in list(self._known.items()):
            if now - known.reported_at > REPORT_LIFETIME_S:
                del self._known[name]
        for name in [name for name in outbox.sent if name not in self._known]:
            del outbox.sent[name]


def _is_due(known: _KnownReport, sent: _KnownReport | None, now: float) -> bool:
    """Return whether the next message should carry a report.

    The receivers need it once the report that they have is old, or if the server's
    load has changed much since.
    """
    if sent is known:
        return False
    if sent is None or sent.is_busy != known.is_busy:
        return True
    if now - sent.reported_at >= RENEWAL_AGE_S:
        return True
    is_load_changed = abs(sent.total - known.total) >= BUSY_SLOT_FRACTION * known.slots
    return is_load_changed or abs(sent.slowdown - known.slowdown) >= MIN_SLOWDOWN_CHANGE


def _encode(server: str, known: _KnownReport, now: float) -> ServerLoadReport:
    """Return a report as sent; its age is rounded up, so that it grows on the way."""
    return ServerLoadReport(
        server,
        known.started_ms,
        known.running,
        known.waiting,
        max(1, round(known.slowdown * 100)),
        ceil((now - known.reported_at) * 1000),
    )
