"""Refuse requests that cannot end before their deadlines, as long as that is so."""

from asyncio import get_running_loop
from dataclasses import dataclass
from math import inf

from damasktally.decisions.load import ServerLoads
from damasktally.decisions.run_times import RUN_LIFETIME_S, RunTimes
from damasktally.decisions.time_trials import TimeTrials
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, AttemptOutcome, RequestTrace
from damasktally.events import emit
from damasktally.events.catalogue import ROUTE_RECOVERED, ROUTE_TOO_SLOW
from damasktally.events.reasons import Reason
from damasktally.fleet.model import RetryPolicy

GATEWAY_TIMEOUT_STATUS = 504
"""The server itself gave up, as the deadline that it was told had passed."""
MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class _SlowRoute:
    """A route of which some requests are refused for want of time.

    :param since: when the first of them was refused.
    :param refused_at: when the latest of them was.
    :param remaining_s: how much time that one had.
    :param refused_count: number of them.
    """

    since: float
    refused_at: float
    remaining_s: float
    refused_count: int = 0


class TimeGuard:
    """Decide whether requests have time for a run, and learn from their attempts.

    :param loads: tells how slow servers are.
    """

    def __init__(self, loads: ServerLoads, metrics: EntryMetrics) -> None:
        self._loads = loads
        self._metrics = metrics
        self._run_times = RunTimes()
        self._trials = TimeTrials()
        self._slow_routes: dict[tuple[str, str], _SlowRoute] = {}
        self._loop = get_running_loop()

    def max_relative_time(self, trace: RequestTrace, now: float) -> float:
        """Return the time that is left for a request, relative to its shortest run.

        It is infinite if the time of a run is unknown, and for a trial.
        """
        estimate = self._run_times.estimate(trace.service, trace.route.name, now)
        if estimate is None or trace.is_time_trial or estimate.seconds <= 0:
            return inf
        return (trace.deadline - now) / estimate.seconds

    def begin_trial(self, trace: RequestTrace, now: float) -> bool:
        """Let a request through although its time is too short, if a trial is due.

        Only a request that was not sent yet becomes one: what is left to the others
        after their first attempts may be too short in any case.
        """
        if trace.attempts:
            return False
        trace.is_time_trial = self._trials.begin(
            trace.service,
            trace.route.name,
            trace.route.retry_policy is not RetryPolicy.NEVER,
            trace.deadline - now,
            now,
        )
        if trace.is_time_trial:
            trace.inputs = {"trial": 1} | self._inputs(trace, now)
        return trace.is_time_trial

    def explain_refusal(self, trace: RequestTrace, now: float) -> None:
        """Set why a request is refused, and when the next trial may show more."""
        trace.reason = Reason.NO_TIME
        trace.inputs |= self._inputs(trace, now)
        wait_s = self._trials.wait_s(trace.service, trace.route.name, now)
        trace.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        self._record_refusal(trace, now)

    def _inputs(self, trace: RequestTrace, now: float) -> dict[str, float]:
        """Return the figures on which the decision is based, for the log."""
        inputs = {"left s": round(trace.deadline - now, 3)}
        estimate = self._run_times.estimate(trace.service, trace.route.name, now)
        if estimate is not None:
            inputs["expected s"] = round(estimate.seconds, 3)
            inputs["runs"] = estimate.run_count
            inputs["newest run age s"] = round(estimate.age_s, 2)
        return inputs

    def _record_refusal(self, trace: RequestTrace, now: float) -> None:
        """Log the first request that even an idle server would not end in time."""
        key = trace.service, trace.route.name
        remaining_s = trace.deadline - now
        estimate = self._run_times.estimate(*key, now)
        if trace.attempts or estimate is None or estimate.seconds <= remaining_s:
            return
        route = self._slow_routes.get(key)
        if route is None:
            route = self._slow_routes[key] = _SlowRoute(now, now, remaining_s)
            emit(
                ROUTE_TOO_SLOW,
                service=trace.service,
                route=trace.route.name,
                request=trace.request_id,
                **self._inputs(trace, now),
            )
        route.refused_at = now
        route.remaining_s = remaining_s
        route.refused_count += 1

    def record_attempt(
        self, trace: RequestTrace, server: str, attempt: Attempt, now: float
    ) -> None:
        """Learn from an attempt to send a request to a server.

        A server that fails says nothing of the time that a run takes.

        :param server: id of the server.
        """
        if trace.is_time_trial:
            self._metrics.time_trials.labels(attempt.outcome.value).inc()
        is_cut_off = _is_cut_off(attempt)
        if not is_cut_off and not _is_completed(attempt):
            return
        times = self._run_times
        record = times.record_cut_off if is_cut_off else times.record_run
        record(
            trace.service,
            trace.route.name,
            attempt.server_duration_s,
            max(trace.relative_time, self._loads.slowdown(server, now)),
            now,
        )
        if trace.is_time_trial and not is_cut_off:
            # The servers are well again: no other route needs a trial of its own.
            times.forget_other_routes(trace.service, trace.route.name)

    def run_maintenance(self, now: float) -> None:
        """Log which routes recovered, and remove what no longer counts."""
        self._run_times.remove_expired(now)
        self._trials.remove_expired(now)
        for key, route in list(self._slow_routes.items()):
            if self._is_recovered(key, route, now):
                del self._slow_routes[key]
                emit(
                    ROUTE_RECOVERED,
                    service=key[0],
                    route=key[1],
                    refused=route.refused_count,
                    lasted_s=round(route.refused_at - route.since, 2),
                )
        self._metrics.slow_routes.set(len(self._slow_routes))

    def _is_recovered(
        self, key: tuple[str, str], route: _SlowRoute, now: float
    ) -> bool:
        """Return whether the latest request that was refused would be sent by now."""
        if now - route.refused_at >= RUN_LIFETIME_S:
            return True
        estimate = self._run_times.estimate(*key, now)
        return estimate is None or estimate.seconds <= route.remaining_s


def _is_cut_off(attempt: Attempt) -> bool:
    """Return whether a run did not end before the deadline."""
    if attempt.outcome is AttemptOutcome.TIMED_OUT:
        return True
    return (
        attempt.outcome is AttemptOutcome.ANSWERED
        and attempt.response.status == GATEWAY_TIMEOUT_STATUS
    )


def _is_completed(attempt: Attempt) -> bool:
    """Return whether a run ended with a response that is no server error."""
    is_answered = attempt.outcome is AttemptOutcome.ANSWERED
    return is_answered and attempt.response.status < 500
