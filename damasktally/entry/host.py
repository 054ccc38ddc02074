"""Assemble the parts of an entry host and run them."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from random import Random

from damasktally.addresses import split_address
from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.decisions.lost_responses import ServerStates
from damasktally.decisions.quota import CustomerQuotas
from damasktally.decisions.store_calls import StoreCalls
from damasktally.decisions.store_reach import StoreReach
from damasktally.entry.body_streams import BodyStreams
from damasktally.entry.caller_resources import OPERATORS_FRACTION, CallerResources
from damasktally.entry.candidates import ServerCandidates
from damasktally.entry.capacity_log import CapacityLog
from damasktally.entry.confirmations import Confirmations
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.crash_protection import CrashProtection
from damasktally.entry.draining import drain_requests
from damasktally.entry.eviction_log import EvictionLog
from damasktally.entry.fleet_gauges import update_fleet_gauges
from damasktally.entry.follower_role import FollowerRole
from damasktally.entry.forwarded_requests import ForwardedRequests
from damasktally.entry.forwarder import Forwarder
from damasktally.entry.host_forwarder import HostForwarder
from damasktally.entry.host_handlers import HostHandlers
from damasktally.entry.leases import HostLeases
from damasktally.entry.message_builder import FleetMessageBuilder
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outage_monitor import OutageMonitor
from damasktally.entry.outbox import OwnState
from damasktally.entry.output import LogOutput, report_dropped_lines
from damasktally.entry.peer_reports import PeerReports
from damasktally.entry.peers import PeerProtocol
from damasktally.entry.ports import HostPorts
from damasktally.entry.quota_reports import QuotaReports
from damasktally.entry.reachability_monitor import ReachabilityMonitor
from damasktally.entry.registration import Registration
from damasktally.entry.requests import RequestHandler
from damasktally.entry.retries import Retries
from damasktally.entry.server_gauges import update_server_gauges
from damasktally.entry.server_reports import ServerReports
from damasktally.entry.server_sender import ServerSender
from damasktally.entry.settings import EntrySettings, own_member
from damasktally.entry.share_updates import ShareUpdates
from damasktally.entry.state_transfer import StateTransfer
from damasktally.entry.store_eras import EraFollower, EraProblemLog
from damasktally.entry.store_sync import StoreSync
from damasktally.entry.store_topology import StoreTopology
from damasktally.entry.suspension import SuspensionDetector
from damasktally.entry.time_guard import TimeGuard
from damasktally.entry.topology import FleetTopology
from damasktally.entry.unreadable_objects import UnreadableObjectLog
from damasktally.entry.view_log import log_view_change
from damasktally.events import emit
from damasktally.events.catalogue import (
    HOST_LEAVING,
    HOST_RESUMED,
    HOST_STARTED,
    HOST_STOPPED,
    SETTINGS_RELOADED,
)
from damasktally.fleet.members import MemberTable
from damasktally.fleet.model import CallerLimits
from damasktally.fleet.summaries import SummaryTable
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders, ViewChange
from damasktally.http1.response_memory import ResponseMemory
from damasktally.platform.bounds import decode_bounds
from damasktally.platform.codec import decode_configuration, decode_server
from damasktally.platform.store import CONFIGURATION_NAME, StoreClient

TICK_INTERVAL_S = 0.25
"""Interval of heartbeats and of the work that decisions depend on, in a full mesh."""
RELAYED_TICK_INTERVAL_S = 0.2
"""The same in a large fleet: shorter, as each relay adds to the age of the counts."""
MAINTENANCE_INTERVAL_S = 1.0


class EntryHost:
    """Run an entry host until it is stopped.

    :param settings: the host's settings.
    :param output: writes log lines; the lines that it dropped are counted and logged.
    """

    def __init__(self, settings: EntrySettings, output: LogOutput | None) -> None:
        self._settings = settings
        self._loop = get_running_loop()
        self._rng = Random()
        self._bounds = decode_bounds(settings.bounds.agreed)
        self._metrics = EntryMetrics()
        self._output = output
        self._own = own_member(settings)
        self._members = MemberTable(self._own)
        self._view = FleetView(
            Decoders(decode_configuration, decode_server, CONFIGURATION_NAME),
            self._log_change,
            lambda now: self._outages.reregistration_deadline(now),
        )
        response_memory = ResponseMemory()
        self._store_calls = StoreCalls()
        self._store = StoreClient(
            split_address(settings.store.address),
            self._store_calls,
            lambda purpose: self._metrics.store_calls.labels(purpose).inc(),
            response_memory,
            EraProblemLog(self._metrics).record,
            UnreadableObjectLog(self._metrics).record,
        )
        self._summaries = SummaryTable()
        heartbeat_history = HeartbeatHistory()
        reach = StoreReach()
        self._topology = FleetTopology(self._members, self._summaries)
        self._store_topology = StoreTopology(
            self._members,
            self._summaries,
            self._topology,
            self._view.revisions,
            reach,
            self._store_calls,
        )
        self._outages = OutageMonitor(self._store_topology)
        self._confirmations = Confirmations(self._view, self._topology)
        self._quota_reports = QuotaReports(
            self._topology, self._members, self._summaries, heartbeat_history
        )
        self._quotas = CustomerQuotas.from_bounds(self._bounds)
        self._share_updates = ShareUpdates(self._update_shares, self._quotas.rates)
        self._registration = Registration(
            self._store, self._members, settings.fleet.first_start, self._rng
        )
        self._era_follower = EraFollower(
            self._view, self._registration, lambda: self._blocked_requests.renew()
        )
        self._store_sync = StoreSync(
            self._store,
            self._view,
            self._confirmations.record,
            FollowerRole.from_topology(
                self._topology,
                self._store_topology,
                lambda: self._registration.is_complete,
            ),
            reach,
            self._store_calls,
            self._rng,
        )
        self._transfer = StateTransfer(
            self._members,
            self._summaries,
            self._topology,
            self._store_topology,
            self._view,
            self._confirmations.record,
            self._rng,
        )
        self._candidates = ServerCandidates(
            self._view, self._own, self._topology, settings.region_of, self._rng
        )
        self._server_reports = ServerReports(
            self._view,
            self._candidates.loads,
            self._candidates.load_reports,
            self._candidates.limits,
            self._candidates.pauses,
            self._metrics,
        )
        servers = self._view.servers
        crashes = CrashProtection(
            self._own.host,
            self._store,
            ServerStates(servers.is_registered, servers.has_left),
            self._rng,
        )
        self._crash_suspects, self._crash_reports = crashes.suspects, crashes.reports
        self._blocked_requests = crashes.blocked_requests
        message_builder = FleetMessageBuilder(
            self._own,
            self._topology,
            self._summaries,
            self._view,
            self._quotas,
            heartbeat_history,
            self._candidates.limits,
            self._candidates.load_reports,
            self._crash_suspects,
            self._own_state,
        )
        self._peer_protocol = PeerProtocol(
            self._members,
            self._summaries,
            self._topology,
            self._store_topology,
            message_builder,
            self._transfer,
            PeerReports(self._server_reports, crashes.reports),
            self._share_updates.handle_counts,
        )
        reach.on_lost = self._peer_protocol.announce_store_loss
        self._capacity_log = CapacityLog(self._view)
        self._connection_pool = ConnectionPool(response_memory, crashes.link_breaks)
        self._reachability = ReachabilityMonitor(
            self._candidates, self._connection_pool, self._rng
        )
        self._streams = BodyStreams.from_config(
            settings.limits, response_memory, self._metrics
        )
        forwarder = Forwarder(
            self._view,
            self._candidates,
            self._server_reports,
            self._connection_pool,
            self._reachability,
            self._streams,
        )
        self._leases = HostLeases(
            self._members,
            self._topology,
            self._view,
            self._candidates,
            self._metrics,
            lambda: self.is_ready,
        )
        self._server_reports.on_load = self._leases.record_report
        self._time_guard = TimeGuard(self._candidates.loads, self._metrics)
        self._host_pool = ConnectionPool(response_memory, LinkBreaks())
        self._requests = RequestHandler(
            self._view,
            self._candidates,
            ServerSender(forwarder, self._candidates, self._leases.gate, crashes.guard),
            HostForwarder(
                self._own,
                self._topology,
                self._host_pool,
                self._streams,
                self._metrics,
                self._rng,
            ),
            self._reachability,
            crashes.guard,
            self._quotas,
            Retries(self._topology, self._bounds, self._metrics),
            self._leases.gate,
            self._time_guard,
            self._metrics,
            self._rng,
        )
        handlers = HostHandlers(
            self._view,
            self._own,
            self._topology,
            lambda: self.is_ready,
            self._reachability,
            self._metrics,
            self._bounds.max_lookup_ttl_s,
            self._rng,
        )
        self._resources = CallerResources.from_config(settings.limits)
        forwarded = ForwardedRequests(self._requests, self._own.capacity)
        self._ports = HostPorts.from_config(
            settings.listen,
            lambda: cfg.limits if (cfg := self._view.configuration) else CallerLimits(),
            self._requests.handle,
            forwarded.handle,
            handlers,
            self._streams,
            self._streams.unsent,
            self._resources,
        )
        self._eviction_log = EvictionLog(
            self._ports, self._resources.memory, self._metrics
        )
        self._tasks: list[Task] = []
        self._is_stopping = False
        self._is_stopped = False
        self._suspension_detector = SuspensionDetector()

    @classmethod
    def from_config(
        cls, settings: EntrySettings, output: LogOutput | None = None
    ) -> "EntryHost":
        """Return a host for the given settings.

        :param settings: the host's settings.
        :param output: writes log lines, or ``None`` if their loss is not reported.
        """
        return cls(settings, output)

    async def start(self) -> None:
        """Start listening and exchanging state with the store and the other hosts."""
        peer_address = self._own.peer_address
        await self._peer_protocol.start(peer_address)
        await self._transfer.start(
            peer_address, self._resources.connections(OPERATORS_FRACTION)
        )
        await self._leases.start(self._settings.listen.leases)
        self._store_sync.start()
        self._blocked_requests.start()
        self._tasks = [create_task(self._register()), create_task(self._run_ticks())]
        await self._ports.listen()
        emit(
            HOST_STARTED,
            host=self._own.host,
            data_centre=self._own.data_centre,
            callers=self._own.caller_address,
        )

    async def stop(self) -> int:
        """Drain the host and stop it, if possible without aborting a request.

        Callers that have not looked up again may still connect for a while. After
        that, requests in flight may finish until shortly before the process is killed.

        :returns: number of requests that were aborted.
        """
        self._is_stopping = True
        emit(HOST_LEAVING, under_way=self._ports.busy_connection_count)
        await drain_requests(
            self._ports,
            lambda: self._peer_protocol.send_due_messages([]),
            self._bounds.stop_timeout_s,
        )
        self._is_stopped = True
        self._peer_protocol.send_due_messages([])
        aborted_count = self._ports.busy_connection_count
        emit(HOST_STOPPED, cut=aborted_count)
        await self.close()
        return aborted_count

    async def close(self) -> None:
        """Cancel all tasks and close all ports at once."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)
        await self._store_sync.stop()
        for part in (
            self._era_follower,
            self._blocked_requests,
            self._reachability,
            self._peer_protocol,
            self._leases,
            self._share_updates,
            self._transfer,
        ):
            part.close()
        self._connection_pool.close_all()
        self._host_pool.close_all()
        self._ports.close()

    def reload(self) -> None:
        """Log that the settings were read again; changed addresses need a restart."""
        emit(SETTINGS_RELOADED, host=self._own.host)

    async def _register(self) -> None:
        await self._registration.run()
        self._topology.invalidate()
        self._peer_protocol.send_due_messages([])

    async def _run_ticks(self) -> None:
        last_maintenance_at = self._loop.time()
        while True:
            is_full_mesh = self._topology.is_full_mesh(self._loop.time())
            await sleep(TICK_INTERVAL_S if is_full_mesh else RELAYED_TICK_INTERVAL_S)
            now = self._loop.time()
            self._tick(now)
            if now - last_maintenance_at >= MAINTENANCE_INTERVAL_S:
                last_maintenance_at = now
                self._run_maintenance(now)

    def _tick(self, now: float) -> None:
        """Do the frequent work, on which decisions depend."""
        self._detect_suspension()
        self._peer_protocol.send_due_messages(self._settings.seeds)
        self._peer_protocol.log_liveness_changes(now)
        self._transfer.catch_up(now)
        self._confirmations.record_relays(now)
        self._store_calls.update(now)
        self._outages.update(now)
        self._view.remove_expired_servers(now)
        self._view.return_dropped_servers(now)
        self._view.settle(now)
        self._era_follower.follow()
        self._crash_reports.handle_block_changes()
        self._reachability.probe(now)
        self._candidates.update_diversions(now)
        self._share_updates.request(now)

    def _run_maintenance(self, now: float) -> None:
        """Do the work that can wait for a second."""
        self._members.remove_silent(now)
        self._summaries.remove_silent(now)
        self._ports.enforce_timeouts(now)
        known_servers = self._view.servers.ids()
        self._connection_pool.close_all_except(known_servers)
        self._candidates.keep_only(known_servers)
        self._leases.run_maintenance(known_servers)
        self._server_reports.keep_only(known_servers)
        self._reachability.keep_only(self._view.servers.services())
        self._crash_suspects.remove_expired(now)
        self._time_guard.run_maintenance(now)
        self._capacity_log.log_changes(now)
        self._eviction_log.log_changes()
        self._update_metrics(now)

    def _update_shares(self, now: float) -> None:
        cfg = self._view.configuration
        if cfg is None:
            return
        reports, silent_count, lag_s = self._quota_reports.collect(now)
        self._quotas.update_shares(cfg.customers, reports, silent_count, now, lag_s)

    def _update_metrics(self, now: float) -> None:
        if self._output is not None:
            report_dropped_lines(self._output, self._metrics)
        metrics = self._metrics
        metrics.body_bytes_held.set(self._streams.held_bytes)
        metrics.blocked_requests.set(self._crash_suspects.blocked_count(now))
        update_fleet_gauges(metrics, self._members, self._view, now)
        update_server_gauges(metrics, self._candidates, self._reachability, now)

    def _detect_suspension(self) -> None:
        suspended_s = self._suspension_detector.measure_s()
        if suspended_s > 0:
            emit(HOST_RESUMED, suspended_s=round(suspended_s, 2))
            self._connection_pool.close_all()
            self._host_pool.close_all()
            self._store_sync.reconnect()

    def _own_state(self) -> OwnState:
        own_age_s = self._store_sync.store_age_s
        return OwnState(
            self.is_ready,
            self._is_stopped,
            self._store_topology.announced_age_s(own_age_s, self._loop.time()),
            self._reachability.unreachable_services(),
            self._store_sync.has_lost_store,
            self._store_calls.show_unavailable(self._loop.time()),
        )

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        is_configured = self._view.configuration is not None
        return is_configured and len(self._view.servers) > 0 and not self._is_stopping

    def _log_change(self, change: ViewChange) -> None:
        self._peer_protocol.announce_view_change()
        self._metrics.view_lag.labels(change.topic.value).observe(change.behind_s)
        log_view_change(change)
