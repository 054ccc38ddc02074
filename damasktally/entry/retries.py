"""Decide whether a request may be sent once more."""

from damasktally.decisions.retry_budget import RetryBudget
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import RequestTrace
from damasktally.entry.topology import FleetTopology
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Bounds


class Retries:
    """Keep the retry budget of each service.

    :param topology: the hosts among which the retry slack is divided.
    :param bounds: limits agreed with the users of the fleet.
    """

    def __init__(
        self, topology: FleetTopology, bounds: Bounds, metrics: EntryMetrics
    ) -> None:
        self._topology = topology
        self._bounds = bounds
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record a request to a service, which allows a part of a retry.

        :param now: seconds on the event loop's clock.
        """
        self._budget(service).record_request(now)

    def take(self, trace: RequestTrace, send_count: int, now: float) -> bool:
        """Return whether the route and the retry budget allow another attempt.

        A retry is taken from the budget and counted.

        :param send_count: number of servers that have received the request.
        :param now: seconds on the event loop's clock.
        """
        max_attempts = trace.route.max_attempts
        if trace.forwarded:
            max_attempts = min(max_attempts, trace.forwarded.attempts_left)
        if send_count >= max_attempts:
            trace.reason = Reason.ATTEMPTS_USED
            return False
        fleet_size = self._topology.fleet_size(now)
        slack_share = self._bounds.retry_slack / fleet_size
        if not self._budget(trace.service).take(now, slack_share):
            trace.reason = Reason.RETRY_BUDGET_USED
            trace.inputs = {"extra": round(slack_share, 2), "hosts": fleet_size}
            return False
        self._metrics.retries.inc()
        return True

    def _budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window_s)
            self._budgets[service] = budget
        return budget
