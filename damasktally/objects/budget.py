"""Rate limit and metric of the calls that a host makes to the platform."""

from threading import Lock

from prometheus_client import CollectorRegistry, Counter

from damasktally.clock import Clock
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.objects.exceptions import BudgetExceeded

BURST_S = 5.0
"""Size of the burst, as the seconds of the permitted rate that it amounts to."""


class CallBudget:
    """Rate limit of a host's calls to the platform, with a counter by purpose.

    :param calls_per_s: calls a second that this host may make on average.
    :param clock: monotonic time in seconds.
    :param registry: metrics registry in which the counter is registered.
    """

    def __init__(
        self, calls_per_s: float, clock: Clock, registry: CollectorRegistry
    ) -> None:
        self._clock = clock
        self._lock = Lock()
        depth = calls_per_s * BURST_S
        self._bucket = TokenBucket(rate=calls_per_s, depth=depth, updated_at=clock())
        self._bucket.fill()
        self._calls = Counter(
            "damasktally_platform_calls",
            "Calls to the platform, by purpose.",
            ["purpose"],
            registry=registry,
        )

    def take(self, purpose: str) -> None:
        """Take one call from the budget and count it, or refuse it.

        :param purpose: label of the call in the metric.
        :raises BudgetExceeded: when the budget is used up.
        """
        with self._lock:
            has_budget = self._bucket.take(1.0, self._clock())
        if not has_budget:
            raise BudgetExceeded(
                f"The budget for calls to the platform is used up ({purpose}).",
                "Wait, or raise [platform] calls_per_s.",
            )
        self._calls.labels(purpose).inc()
