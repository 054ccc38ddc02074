"""Estimate how long a request of a route runs at least, by the route's latest runs.

The estimate tells which requests cannot end before their deadlines. It is kept for each
route, since the requests of one route may take many times as long as those of another
of the same service. The fastest of the latest runs counts: if one of them was fast
enough for a request, another one may be. If all of them were cut off at their
deadlines, a run takes longer than the longest of them did.

A run takes longer while its server is slow or has a queue. Both are known when a server
is selected, so times are divided by what they explain, see
:func:`~damasktally.decisions.server_selection.relative_run_time`.
"""

from collections import deque
from dataclasses import dataclass

LATEST_RUNS = 20
"""Runs of a route that count."""
MIN_RUNS = 3
"""With fewer runs, nothing is known of a route: a single one may concern an unusual
request, or a server that has just started."""
RUN_LIFETIME_S = 5.0
"""Seconds after its end from which a run no longer counts."""
CUT_OFF_FACTOR = 1.25
"""A run that was cut off would have taken longer. By how much is unknown; it counts as
this many times as long."""


@dataclass(frozen=True, slots=True)
class RunEstimate:
    """How long a request of a route runs at least.

    :param seconds: at a server of the usual speed that has a free slot.
    :param run_count: number of runs that it is based on.
    :param age_s: seconds since the newest of them ended.
    """

    seconds: float
    run_count: int
    age_s: float


@dataclass(frozen=True, slots=True)
class _Run:
    ended_at: float
    seconds: float
    is_cut_off: bool


class RunTimes:
    """Keep the times of the latest runs, by service and route.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, deque[_Run]]] = {}

    def record_run(
        self, service: str, route: str, seconds: float, relative_time: float, now: float
    ) -> None:
        """Add a run that has ended with a response.

        :param seconds: time from sending the request until its response.
        :param relative_time: expected time at its server, relative to the time at a
            server of the usual speed that has a free slot.
        """
        self._add(service, route, _Run(now, seconds / relative_time, False))

    def record_cut_off(
        self, service: str, route: str, seconds: float, relative_time: float, now: float
    ) -> None:
        """Add a run that was cut off at its deadline.

        :param seconds: time from sending the request until its deadline.
        :param relative_time: see :meth:`record_run`.
        """
        least_s = seconds * CUT_OFF_FACTOR / relative_time
        self._add(service, route, _Run(now, least_s, True))

    def _add(self, service: str, route: str, run: _Run) -> None:
        routes = self._runs.setdefault(service, {})
        routes.setdefault(route, deque(maxlen=LATEST_RUNS)).append(run)

    def estimate(self, service: str, route: str, now: float) -> RunEstimate | None:
        """Return how long a request runs at least, or ``None`` if that is unknown."""
        runs = self._runs.get(service, {}).get(route, ())
        recent = [run for run in runs if now - run.ended_at < RUN_LIFETIME_S]
        if len(recent) < MIN_RUNS:
            return None
        completed = [run.seconds for run in recent if not run.is_cut_off]
        seconds = min(completed) if completed else max(run.seconds for run in recent)
        return RunEstimate(seconds, len(recent), now - recent[-1].ended_at)

    def forget_other_routes(self, service: str, route: str) -> None:
        """Remove the runs of all routes of a service but one."""
        routes = self._runs.get(service, {})
        self._runs[service] = {name: routes[name] for name in routes if name == route}

    def remove_expired(self, now: float) -> None:
        """Remove routes of which no run counts any more."""
        for service, routes in list(self._runs.items()):
            self._runs[service] = {
                name: runs
                for name, runs in routes.items()
                if now - runs[-1].ended_at < RUN_LIFETIME_S
            }
            if not self._runs[service]:
                del self._runs[service]
