"""Count platform calls by purpose and keep them inside a budget."""

from threading import Lock

from prometheus_client import CollectorRegistry, Counter

from damasktally.clock import Clock
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.objects.exceptions import BudgetExceeded

BURST_S = 5.0


class CallBudget:
    """Refuse calls once a host's own rate of platform calls is used up.

    :param calls_per_s: calls a second that this host may make.
    :param clock: seconds, never going back.
    :param registry: where the counter is registered.
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
            "Calls made to the platform, by purpose.",
            ["purpose"],
            registry=registry,
        )

    def spend(self, purpose: str) -> None:
        """Take one call from the budget.

        :param purpose: what the call is for.
        :raises BudgetExceeded: when the budget is used up.
        """
        with self._lock:
            has_budget = self._bucket.take(1.0, self._clock())
        if not has_budget:
            raise BudgetExceeded(
                f"The budget of platform calls is used up ({purpose}).",
                "Wait, or raise [platform] calls_per_s.",
            )
        self._calls.labels(purpose).inc()
