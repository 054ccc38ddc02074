"""Update the metrics that describe the other hosts and the view."""

from damasktally.entry.metrics import EntryMetrics
from damasktally.fleet.members import MemberTable
from damasktally.fleet.view import FleetView


def update_fleet_gauges(
    metrics: EntryMetrics, members: MemberTable, view: FleetView, now: float
) -> None:
    """Set the gauges to what this host knows of the fleet.

    :param now: time of the event loop in seconds.
    """
    metrics.hosts_heard.set(len(members.live_records(now)))
    for topic, age_s in view.staleness.confirmed_ages_s(now):
        metrics.view_age.labels(topic.value).set(age_s)
