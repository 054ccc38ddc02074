"""Update the metrics that describe the backend servers as a whole."""

from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.reachability_monitor import ReachabilityMonitor


def update_server_gauges(
    metrics: EntryMetrics,
    candidates: ServerCandidates,
    reachability: ReachabilityMonitor,
    now: float,
) -> None:
    """Set the gauges to what this host knows of the servers.

    :param now: time of the event loop in seconds.
    """
    metrics.paused_servers.set(candidates.pauses.paused_count(now))
    metrics.limited_servers.set(candidates.limits.limited_count())
    metrics.diverting_servers.set(candidates.diversions.diverted_count())
    metrics.unreachable_services.set(len(reachability.unreachable_services()))
