"""Take in what other hosts report of backend servers and of requests."""

from damasktally.entry.crash_reports import CrashReports
from damasktally.entry.server_reports import ServerReports
from damasktally.fleet.members import Heartbeat
from damasktally.fleet.server_limits import ReportScope
from damasktally.fleet.summaries import WHOLE_FLEET, RelaySummary


class PeerReports:
    """Pass the reports in heartbeats and summaries on to what records them.

    :param server_reports: receives the rate limits and loads of servers, and which
        ones leave.
    :param crash_reports: receives the requests under which servers ended.
    """

    def __init__(
        self, server_reports: ServerReports, crash_reports: CrashReports
    ) -> None:
        self._server_reports = server_reports
        self._crash_reports = crash_reports

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the reports in a heartbeat."""
        self._server_reports.record_limits(
            heartbeat.server_limits, ReportScope.DATA_CENTRE, heartbeat.host
        )
        self._server_reports.record_loads(
            heartbeat.server_loads, ReportScope.DATA_CENTRE
        )
        self._server_reports.record_leaving(heartbeat.leaving_servers, heartbeat.host)
        self._crash_reports.merge(heartbeat.crash_reports)

    def record_summary(self, summary: RelaySummary, is_relay: bool) -> None:
        """Record the reports in a summary.

        :param is_relay: whether this host is a relay. It has the limits and loads of
            the whole fleet from the summaries of data centres.
        """
        if summary.scope != WHOLE_FLEET or not is_relay:
            self._server_reports.record_limits(
                summary.server_limits, ReportScope.FLEET, summary.relay
            )
            self._server_reports.record_loads(summary.server_loads, ReportScope.FLEET)
        self._server_reports.record_leaving(summary.leaving_servers, summary.relay)
        self._crash_reports.merge(summary.crash_reports)
