"""Take in what backend servers report of themselves with their responses."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable

from damasktally.decisions.load import ServerLoads
from damasktally.decisions.load_reports import LoadReports
from damasktally.decisions.server_limits import ServerLimits
from damasktally.decisions.server_pauses import ServerPauses
from damasktally.entry.metrics import EntryMetrics
from damasktally.events import emit
from damasktally.events.catalogue import (
    SERVER_ASKED_FOR_PAUSE,
    SERVER_LIMIT_CHANGED,
    SERVER_REPORT_UNREADABLE,
)
from damasktally.fleet.model import Server, ServerReport
from damasktally.fleet.server_limits import ReportScope, ServerLimitReport
from damasktally.fleet.server_loads import ServerLoadReport
from damasktally.fleet.view import FleetView

OWN_SOURCE = "self"
"""Source, in the log, of what a response to this host reported."""


class ServerReports:
    """Pass each report on to the decisions that depend on it, and log changes.

    ``on_load`` is called with each server that reports running and waiting requests,
    their numbers and the age of the report in seconds.

    :param view: receives which servers leave.
    :param loads: receives the numbers of running and waiting requests.
    :param load_reports: receives the same, to pass them on to other hosts.
    :param limits: receives the rate limits.
    :param pauses: receives the pauses that servers ask for.
    """

    def __init__(
        self,
        view: FleetView,
        loads: ServerLoads,
        load_reports: LoadReports,
        limits: ServerLimits,
        pauses: ServerPauses,
        metrics: EntryMetrics,
    ) -> None:
        self.on_load: Callable[[Server, int, int, float], None] | None = None
        self._metrics = metrics
        self._view = view
        self._loads = loads
        self._load_reports = load_reports
        self._limits = limits
        self._pauses = pauses
        self._unreadable: set[tuple[str, tuple[str, ...]]] = set()
        self._loop = get_running_loop()

    def record(self, server: Server, report: ServerReport) -> None:
        """Record the report of a server that a response to this host carried."""
        now = self._loop.time()
        if report.running is not None and report.waiting is not None:
            self._record_load(server, report, now)
            if self.on_load is not None:
                self.on_load(server, report.running, report.waiting, 0.0)
        if report.is_leaving:
            self.record_leaving([(server.id, server.started_ms)], OWN_SOURCE)
        if report.pause_s is not None:
            self._record_pause(server, report.pause_s, now)
        if report.unreadable:
            self._log_unreadable(server, report)
        if report.is_limit_unreadable:
            return
        limit = ServerLimitReport(
            server.id, server.started_ms, report.rate_limit, age_s=0.0
        )
        self.record_limits([limit], ReportScope.OWN, OWN_SOURCE)

    def _record_load(self, server: Server, report: ServerReport, now: float) -> None:
        if self._loads.record_report(
            server.id,
            report.running,
            report.waiting,
            report.slowdown,
            now,
            server.started_ms,
        ):
            self._load_reports.record_own(server, report, now)

    def _record_pause(self, server: Server, pause_s: float, now: float) -> None:
        self._metrics.pauses_asked.inc()
        if self._pauses.record(server.id, server.started_ms, pause_s, now):
            emit(SERVER_ASKED_FOR_PAUSE, server=server.id, seconds=pause_s)

    def record_leaving(self, servers: Iterable[tuple[str, int]], source: str) -> None:
        """Record server processes that said that they leave.

        :param servers: id and start of each process.
        :param source: name of the host that sent them, for the log.
        """
        for server, started_ms in servers:
            self._view.mark_leaving(server, started_ms, source, self._loop.time())

    def record_loads(
        self, reports: Iterable[ServerLoadReport], scope: ReportScope
    ) -> None:
        """Record loads of servers that another host learned of.

        Those of servers that this host does not know, or knows as another process, are
        ignored.
        """
        now = self._loop.time()
        for report in reports:
            known = self._view.servers.get(report.server)
            if known is None or known.server.started_ms != report.started_ms:
                continue
            if self._loads.record_shared_report(report, now):
                self._load_reports.record(report, known.server.slots, scope, now)
                if self.on_load is not None:
                    age_s = report.age_ms / 1000.0
                    self.on_load(known.server, report.running, report.waiting, age_s)

    def record_limits(
        self, reports: Iterable[ServerLimitReport], scope: ReportScope, source: str
    ) -> None:
        """Record limits of servers that this host or another one learned of.

        :param source: name of the host that sent them, for the log.
        """
        now = self._loop.time()
        for report in reports:
            if self._limits.record(report, scope, now):
                emit(
                    SERVER_LIMIT_CHANGED,
                    server=report.server,
                    limit=report.rate,
                    source=source,
                    age_s=report.age_s,
                )

    def _log_unreadable(self, server: Server, report: ServerReport) -> None:
        """Log once for each server which of its headers cannot be decoded."""
        entry = (server.id, report.unreadable)
        if entry not in self._unreadable:
            self._unreadable.add(entry)
            emit(
                SERVER_REPORT_UNREADABLE,
                server=server.id,
                headers=list(report.unreadable),
            )

    def keep_only(self, servers: set[str]) -> None:
        """Remove what is known of all but the given servers."""
        now = self._loop.time()
        self._limits.keep_only(servers, now)
        self._pauses.keep_only(servers, now)
        self._unreadable = {item for item in self._unreadable if item[0] in servers}
