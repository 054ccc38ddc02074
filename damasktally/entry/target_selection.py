"""Select the server, or the other host, to which a request is sent next."""

from math import inf

from damasktally.decisions.server_selection import (
    MAX_CANDIDATE_SERVERS,
    choose_server,
    relative_run_time,
)
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.host_forwarder import HostForwarder
from damasktally.entry.leases import LeaseGate
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import RequestTrace
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.request_rules import allowed_regions, priority_of
from damasktally.entry.time_guard import TimeGuard
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Member, Server
from damasktally.http1.messages import Request
from damasktally.platform.headers import AFFINITY_KEY

RETURN_MEMORY_S = 5.0
"""A service that was regained so recently may not have room for all requests yet."""


class TargetSelector:
    """Select targets, and explain in the trace why there is none.

    :param candidates: ranks the servers for a request.
    :param host_forwarder: chooses another host if this one lacks servers.
    :param reachability: tells which services this host reaches.
    :param leases: decides which servers are contended.
    :param time_guard: decides whether there is time for a run.
    """

    def __init__(
        self,
        candidates: ServerCandidates,
        host_forwarder: HostForwarder,
        reachability: ReachabilityMonitor,
        leases: LeaseGate,
        time_guard: TimeGuard,
        metrics: EntryMetrics,
    ) -> None:
        self._candidates = candidates
        self._host_forwarder = host_forwarder
        self._reachability = reachability
        self._leases = leases
        self._time_guard = time_guard
        self._metrics = metrics

    def select(
        self, req: Request, trace: RequestTrace, tried_servers: list[str], now: float
    ) -> Server | Member | None:
        """Return the server, or else the host, for the next attempt.

        Sets how long a run at the server is expected to take.
        """
        target = self._select(req, trace, tried_servers, now)
        if isinstance(target, Server):
            loads = self._candidates.loads
            trace.relative_time = relative_run_time(
                loads.estimate(target.id, now),
                target.slots,
                loads.slowdown(target.id, now),
            )
        return target

    def _select(
        self, req: Request, trace: RequestTrace, tried_servers: list[str], now: float
    ) -> Server | Member | None:
        """Return the target of the next attempt.

        A host is chosen if this one does not reach the service, or does not reach the
        servers that would have room.
        """
        home_regions = allowed_regions(trace.route, trace.customer)
        if home_regions is None:
            trace.reason = Reason.NO_COMMON_HOME
            return None
        if not self._reachability.is_reachable(trace.service):
            host = self._select_host(trace, home_regions)
            if host is not None:
                return host
        affinity_key = req.header(AFFINITY_KEY) if trace.route.affinity else None
        ranked = self._candidates.rank_servers(
            trace.service, home_regions, affinity_key, tried_servers, now
        )
        if trace.lease_refusal is not None:
            return self._choose_free_server(ranked, trace, now)
        if ranked:
            return self._choose_server(ranked, trace, now)
        if self._are_servers_missing(trace.service, home_regions, now):
            host = self._select_host(trace, home_regions)
            if host is not None:
                return host
        self._explain_missing_servers(trace, home_regions, tried_servers, now)
        return None

    def _select_host(
        self, trace: RequestTrace, home_regions: frozenset[str]
    ) -> Member | None:
        """Return another host for a request that no host forwarded yet, if any."""
        if trace.forwarded:
            return None
        return self._host_forwarder.choose(
            trace.service, home_regions, trace.hosts_tried
        )

    def _are_servers_missing(
        self, service: str, home_regions: frozenset[str], now: float
    ) -> bool:
        """Return whether other hosts may have servers to use that this one lacks.

        It may not reach some of them, or treat them as restarted after a return.
        """
        if self._reachability.was_regained_within(service, RETURN_MEMORY_S, now):
            return True
        return self._candidates.has_unreachable_server(service, home_regions)

    def _explain_missing_servers(
        self,
        trace: RequestTrace,
        home_regions: frozenset[str],
        tried_servers: list[str],
        now: float,
    ) -> None:
        """Set why no server is usable, and when one may be."""
        trace.retry_after_s = self._candidates.pause_end_s(
            trace.service, home_regions, now
        )
        if trace.retry_after_s is not None:
            trace.reason = Reason.SERVERS_PAUSED
        elif not tried_servers:
            trace.reason = Reason.NO_SERVER

    def _choose_server(
        self, ranked: list[Server], trace: RequestTrace, now: float
    ) -> Server | None:
        """Return the server with room among the first ranked ones, or ``None``.

        If all of them look full, the manager of the preferred one decides, if there is
        time for a run. If only time is missing, the request may be a trial.
        """
        trace.needs_lease = False
        max_relative_time = self._time_guard.max_relative_time(trace, now)
        selected = self._choose_with_room(ranked, trace, max_relative_time, now)
        if selected is None:
            if self._may_lease(ranked[0], max_relative_time, now):
                trace.needs_lease = True
                return ranked[0]
            selected = self._choose_for_trial(ranked, trace, now)
        if selected is not None:
            self._observe_report_age(selected, now)
        return selected

    def _choose_with_room(
        self,
        ranked: list[Server],
        trace: RequestTrace,
        max_relative_time: float,
        now: float,
    ) -> Server | None:
        """Return the server that has room and ends the request soonest, if any.

        :param max_relative_time: time that is left, relative to that of the shortest
            run.
        """
        estimated_load = self._candidates.loads.estimate
        slowdown = self._candidates.loads.slowdown
        return choose_server(
            ranked,
            lambda server: estimated_load(server.id, now),
            priority_of(trace.route, trace.customer),
            slowdown=lambda server: slowdown(server.id, now),
            max_relative_time=max_relative_time,
            is_service_full=self._candidates.diversions.is_service_full(trace.service),
        )

    def _may_lease(self, server: Server, max_relative_time: float, now: float) -> bool:
        """Return whether the manager of a server may find room in time."""
        slowdown = self._candidates.loads.slowdown(server.id, now)
        return self._leases.is_enabled and slowdown <= max_relative_time

    def _choose_for_trial(
        self, ranked: list[Server], trace: RequestTrace, now: float
    ) -> Server | None:
        """Return a server with room if a trial is due, else explain the refusal."""
        trace.inputs = self._loads_of(ranked, now)
        selected = self._choose_with_room(ranked, trace, inf, now)
        if selected is None:
            trace.reason = Reason.NO_ROOM
        elif not self._time_guard.begin_trial(trace, now):
            self._time_guard.explain_refusal(trace, now)
            return None
        return selected

    def _loads_of(self, ranked: list[Server], now: float) -> dict[str, float]:
        """Return how many requests the candidates hold, for the log."""
        estimated_load = self._candidates.loads.estimate
        return {
            f"held by {server.id}": round(estimated_load(server.id, now), 1)
            for server in ranked[:MAX_CANDIDATE_SERVERS]
        }

    def _observe_report_age(self, selected: Server, now: float) -> None:
        age_s = self._candidates.loads.report_age_s(selected.id, now)
        if age_s is not None:
            self._metrics.load_report_age.observe(age_s)

    def _choose_free_server(
        self, ranked: list[Server], trace: RequestTrace, now: float
    ) -> Server | None:
        """Return a candidate that looks free, after the manager of another refused."""
        trace.needs_lease = False
        for server in ranked[:MAX_CANDIDATE_SERVERS]:
            is_refused = server.id in trace.servers_refused
            if not is_refused and not self._leases.is_contended(server, now):
                return server
        trace.reason = trace.lease_refusal
        return None

    def needs_lease(
        self, trace: RequestTrace, target: Server | Member, now: float
    ) -> bool:
        """Return whether a lease is needed before the request is sent.

        After a refusal, the service is contended, and an estimate by which another
        server is free may be old.
        """
        if isinstance(target, Member):
            return False
        if trace.needs_lease or trace.lease_refusal is not None:
            return True
        return self._leases.is_contended(target, now)
