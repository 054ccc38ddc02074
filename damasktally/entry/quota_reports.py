"""Collect the counts of the other hosts, by which the limits are divided."""

from dataclasses import replace

from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import RELAYED_LAG_S, REPORT_LAG_S
from damasktally.decisions.quota_report import QuotaReport
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S, MemberRecord, MemberTable
from damasktally.fleet.summaries import WHOLE_FLEET, SummaryRecord, SummaryTable


class QuotaReports:
    """Combine the counts in direct heartbeats with those in the summaries of relays.

    Times called ``now`` are times of the event loop in seconds.

    :param topology: decides whether this host relies on relays.
    :param members: hosts that send heartbeats to this one.
    :param summaries: the last summary of each relay.
    :param heartbeat_history: counts that this host sent in its heartbeats.
    """

    def __init__(
        self,
        topology: FleetTopology,
        members: MemberTable,
        summaries: SummaryTable,
        heartbeat_history: HeartbeatHistory,
    ) -> None:
        self._topology = topology
        self._members = members
        self._summaries = summaries
        self._heartbeat_history = heartbeat_history

    def collect(self, now: float) -> tuple[list[QuotaReport], int, float]:
        """Return the counts of the other hosts, for the division of limits.

        :returns: the reports, the number of hosts whose counts are missing, and the
            age in seconds that the counts may have.
        """
        if self._topology.is_full_mesh(now):
            live = self._members.live_records(now)
            # A host that started while the store was away knows few of the others.
            other_count = max(
                len(self._members.records()), self._topology.fleet_size(now) - 1
            )
            return (
                [_report_from_record(record) for record in live],
                other_count - len(live),
                REPORT_LAG_S,
            )
        live = (
            self._topology.live_local_records(now)
            if self._topology.is_relay(now)
            else []
        )
        reports = [_report_from_record(record) for record in live]
        for relayed in self._topology.relayed_records(now):
            if now - relayed.received_at <= HEARTBEAT_TIMEOUT_S:
                reports += self._reports_from_relays(relayed)
        live_count = 1 + sum(
            report.host_count for report in reports if report.is_primary
        )
        return (
            reports,
            max(0, self._topology.fleet_size(now) - live_count),
            RELAYED_LAG_S,
        )

    def _reports_from_relays(self, record: SummaryRecord) -> list[QuotaReport]:
        """Return the reports of a primary relay and of its standbys.

        Both report the same counts. Only the primary's are added up; the standbys'
        are followed so that one of them can take over without a jump.
        """
        standbys = self._summaries.standbys(record.summary.scope)
        reports = [self._report_from_relay(record, True)]
        reports += [self._report_from_relay(standby, False) for standby in standbys]
        return [report for report in reports if report is not None]

    def _report_from_relay(
        self, record: SummaryRecord, is_primary: bool
    ) -> QuotaReport | None:
        summary = record.summary
        if summary.scope != WHOLE_FLEET:
            identity = (f"{summary.scope}|{summary.relay}", summary.started_ms)
            return QuotaReport(
                identity,
                record.admitted,
                record.demand,
                summary.live_host_count,
                is_primary,
            )
        sequence = summary.included_heartbeats.get(self._members.own.host)
        # Sums with and without this host's counts differ by those counts, so that one
        # must not be taken for growth of the other: they get separate identities.
        identity = (f"{summary.relay}|{sequence is not None}", summary.started_ms)
        host_count = max(0, summary.live_host_count - 1)
        report = QuotaReport(
            identity, record.admitted, record.demand, host_count, is_primary
        )
        if sequence is None:
            return report
        own = self._heartbeat_history.sent_counts(sequence)
        if own is None:
            return None
        return replace(report, own_admitted=own.admitted, own_demand=own.demand)


def _report_from_record(record: MemberRecord) -> QuotaReport:
    return QuotaReport(record.identity, record.admitted, record.demand)
