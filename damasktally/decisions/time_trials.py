"""Let a few requests through that would be refused for want of time.

Requests that are refused show nothing of the servers. Without trials, a host would
learn that they are well again only once its latest runs no longer count, and would then
send all requests at once. Every refusal for want of time therefore ends without help
from other requests: one of its own route is let through soon.
"""

from dataclasses import dataclass, field
from math import inf

MIN_INTERVAL_S = 1.0
"""Shortest time between two trials of a route."""
MAX_INTERVAL_S = 3.0
"""Longest time between them. In between, a trial follows once the one before it has
ended, which it has at its deadline at the latest."""


@dataclass(slots=True)
class _ServiceTrials:
    """Trials of a service.

    :param next_at: when the next trial is allowed, by route.
    :param repeatable_at: when the latest one with an idempotent request began.
    """

    next_at: dict[str, float] = field(default_factory=dict)
    repeatable_at: float = -inf


class TimeTrials:
    """Decide which requests become trials.

    Whether a trial ran may remain unknown, which is worse for a request that may run at
    most once. While idempotent requests of the service are tried, the others are
    tried as seldom as possible.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceTrials] = {}

    def begin(
        self,
        service: str,
        route: str,
        is_repeatable: bool,
        remaining_s: float,
        now: float,
    ) -> bool:
        """Begin a trial with a request, unless there was one a moment ago.

        :param is_repeatable: whether the request is idempotent.
        :param remaining_s: seconds until its deadline.
        :returns: whether the request is a trial.
        """
        if self.wait_s(service, route, now) > 0:
            return False
        trials = self._services.setdefault(service, _ServiceTrials())
        interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, remaining_s))
        if is_repeatable:
            trials.repeatable_at = now
        elif now - trials.repeatable_at < MAX_INTERVAL_S:
            interval_s = MAX_INTERVAL_S
        trials.next_at[route] = now + interval_s
        return True

    def wait_s(self, service: str, route: str, now: float) -> float:
        """Return the seconds until a request of a route may be a trial."""
        trials = self._services.get(service)
        if trials is None:
            return 0.0
        return max(0.0, trials.next_at.get(route, now) - now)

    def remove_expired(self, now: float) -> None:
        """Remove what no longer delays a trial."""
        for service, trials in list(self._services.items()):
            trials.next_at = {
                route: at for route, at in trials.next_at.items() if at > now
            }
            if not trials.next_at and now - trials.repeatable_at >= MAX_INTERVAL_S:
                del self._services[service]
