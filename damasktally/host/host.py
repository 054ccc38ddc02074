"""Entry host: assembly of its components, start and graceful shutdown."""

from collections.abc import Callable
from math import inf
from random import Random
from threading import Event, Thread
from time import time

from pykka import ActorRef

from damasktally.addresses import split_address
from damasktally.admission import AdmissionController
from damasktally.clock import Clock, seconds_since_boot
from damasktally.conf import Settings
from damasktally.escrow.limit_table import LimitTable
from damasktally.escrow.shares import connection_share
from damasktally.escrow.slots import SlotTable
from damasktally.escrow.urgent_loans import UrgentLoanRequests
from damasktally.events import emit
from damasktally.events.catalogue import HOST_LEAVING, HOST_STARTED, HOST_STOPPED
from damasktally.forwarding.attempt import CallerRequest
from damasktally.forwarding.caller_port import CallerPort, CallerPortHooks
from damasktally.forwarding.claims import IdempotencyClaims
from damasktally.forwarding.forwarder import Forwarder
from damasktally.forwarding.request_records import RecentRequests, RequestRecord
from damasktally.forwarding.retry_budget import RetryBudget
from damasktally.forwarding.upstream import ConnectionPool
from damasktally.host.admin_port import AdminHooks, AdminPort
from damasktally.host.fleet import FleetState, new_incarnation
from damasktally.host.graceful_shutdown import GracefulShutdown, ShutdownReport
from damasktally.host.lookup_handler import LookupHandler
from damasktally.host.member import MemberActor, MemberDependencies
from damasktally.host.member_messages import LoanNeeded, MemberTick, ViewChanged
from damasktally.host.peer_handler import HostPeerHandler
from damasktally.host.prober import Prober, ProbeTick
from damasktally.host.reporter import Reporter, ReporterDependencies, ReportTick
from damasktally.host.roster_keeper import (
    RosterDependencies,
    RosterKeeper,
    RosterTick,
)
from damasktally.host.status import add_host_gauges, describe_host
from damasktally.host.store_watch import StoreWatch
from damasktally.host.view_keeper import PublishedView, ViewKeeper
from damasktally.membership.freshness import Freshness, Isolation
from damasktally.metrics import HostMetrics
from damasktally.objects import ObjectStore
from damasktally.objects.budget import CallBudget
from damasktally.objects.client import HttpStore
from damasktally.peers import GrpcPeerNetwork
from damasktally.peers.peer_pb2 import Endpoint
from damasktally.resources.kinds import Member
from damasktally.resources.view import View
from damasktally.steering.dispatcher import Dispatcher
from damasktally.steering.health import HealthTable
from damasktally.steering.pacer import Pacer

MEMBER_TICK_INTERVAL_S = 0.25
"""Mean seconds between two timer messages to the member actor."""
ROSTER_TICK_INTERVAL_S = 0.5
"""Mean seconds between two timer messages to the roster keeper."""
REPORT_TICK_INTERVAL_S = 0.5
"""Mean seconds between two timer messages to the reporter."""


class Host:
    """Entry host with all its components.

    The constructor builds the components and starts the actors; :meth:`start` binds the
    ports and starts the timers.

    :param store: the platform's object store.
    :param probe_store: the same store with a short timeout.
    :param clock: monotonic time in seconds.
    :param observe: hook that is called with the record of every request when it ends,
        and the time in seconds; see ``docs/internals/extending.md``.
    """

    def __init__(
        self,
        settings: Settings,
        store: ObjectStore,
        probe_store: ObjectStore,
        metrics: HostMetrics,
        clock: Clock = seconds_since_boot,
        rng: Random | None = None,
        observe: Callable[[RequestRecord, float], None] | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.clock = clock
        self.rng = rng or Random()
        self._store = store
        self._probe_store = probe_store
        self._extra_observer = observe
        self.stopping = Event()
        self.is_closing = False
        self._store_silent_at = -inf
        self._build_state()
        self._build_request_path()
        self._build_control_plane()

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        observe: Callable[[RequestRecord, float], None] | None = None,
    ) -> "Host":
        """Build a host that accesses the platform over HTTP.

        :param observe: hook that is called with the record of every request when it
            ends, and the time in seconds.
        """
        metrics = HostMetrics()
        platform = settings.platform
        budget = CallBudget(platform.calls_per_s, seconds_since_boot, metrics.registry)
        store = HttpStore(platform.url, platform.timeout_s, budget)
        probe_store = HttpStore(platform.url, platform.probe_timeout_s, budget)
        return cls(settings, store, probe_store, metrics, observe=observe)

    def start(self) -> None:
        """Bind all ports, and start the watch of the store and the timers.

        :raises OSError: when a port cannot be bound.
        """
        self.network.start()
        self.admin.start()
        self.caller_port.start()
        self._watch.start(self.stopping)
        self._start_timer(MEMBER_TICK_INTERVAL_S, self.member_actor, MemberTick())
        self._start_timer(ROSTER_TICK_INTERVAL_S, self.roster_keeper, RosterTick())
        self._start_timer(REPORT_TICK_INTERVAL_S, self._reporter, ReportTick())
        self._start_timer(
            self.settings.forwarding.probe_interval_s, self._prober, ProbeTick()
        )
        emit(HOST_STARTED, host=self.settings.host.name)

    def stop(self) -> ShutdownReport:
        """Shut down gracefully, so that requests in flight can finish.

        Look-ups stop returning this host first. After their lifetime, every response
        closes its connection. When no request is in flight, the host stops using its
        shares and leaves the roster.

        :returns: the number of requests that did not finish, and whether the host
            left the roster.
        """
        emit(HOST_LEAVING, host=self.settings.host.name)
        shutdown = GracefulShutdown(self)
        self.fleet.leaving = True
        shutdown.wait_for_lookup_expiry()
        self.is_closing = True
        unfinished = shutdown.wait_for_requests()
        left = shutdown.release_shares()
        self._stop_components()
        emit(HOST_STOPPED, host=self.settings.host.name, cut=unfinished)
        return ShutdownReport(unfinished, left)

    def kill(self) -> None:
        """Stop at once, as in a crash: shares and loans are not released."""
        self._stop_components()

    def view(self) -> View:
        """Return the view in force."""
        return self.published.view

    def may_serve_keyed(self) -> bool:
        """Return whether requests with keys may be served.

        An isolated host may serve a key that was withdrawn, as it does not receive the
        change. It therefore refuses keys unless ``[isolation] keyed`` is ``serve``.
        """
        if self.settings.isolation.keyed == "serve":
            return True
        return self.freshness.isolation() is not Isolation.ISOLATED

    def make_endpoint(self) -> Endpoint:
        """Return the addresses and state of this host, for peers and look-ups."""
        own = self.fleet.own_member
        return Endpoint(
            host=own.host,
            incarnation=own.incarnation,
            region=own.region,
            data_centre=own.data_centre,
            peer=own.peer,
            caller=own.caller,
            leaving=self.fleet.leaving,
            headroom=self.dispatcher.headroom(),
            serving=self.may_serve_keyed() and not self.is_closing,
        )

    def _build_state(self) -> None:
        cfg = self.settings
        member = Member(
            host=cfg.host.name,
            incarnation=new_incarnation(),
            region=cfg.host.region,
            data_centre=cfg.host.data_centre,
            peer=cfg.peer.address,
            caller=cfg.caller.address,
        )
        hold_s = cfg.membership.fence_s + cfg.membership.margin_s
        longest_s = cfg.forwarding.longest_request_s
        self.published = PublishedView()
        self.freshness = Freshness(cfg.isolation.bound_s, self.clock)
        self.fleet = FleetState(member, self.clock, hold_s, hold_s + longest_s)
        self.limit_table = LimitTable(
            self.fleet.identity, self.fleet.rate_window, self.clock
        )
        self.urgent_loans = UrgentLoanRequests(self.limit_table, self.fleet.hints)
        self.pacer = Pacer(self.limit_table)
        self.dispatcher = Dispatcher(
            region=cfg.host.region,
            data_centre=cfg.host.data_centre,
            clock=self.clock,
            rng=self.rng,
            slots=SlotTable(longest_s),
            health=HealthTable(self.clock, self.rng),
            view=self.view,
        )

    def _build_request_path(self) -> None:
        cfg = self.settings
        self.admission = AdmissionController(
            self.limit_table, cfg.caller.threads, self._request_loan
        )
        self.connections = ConnectionPool(self.clock, self._max_connections)
        self.recent_requests = RecentRequests()
        self.forwarder = Forwarder(
            host=cfg.host.name,
            region=cfg.host.region,
            clock=self.clock,
            view=self.view,
            may_serve_keyed=self.may_serve_keyed,
            admission=self.admission,
            dispatcher=self.dispatcher,
            pacer=self.pacer,
            connections=self.connections,
            claims=IdempotencyClaims(self._store, time),
            retry_budget=RetryBudget(),
            recent_requests=self.recent_requests,
            observe=self._observe,
        )
        self.lookup_handler = LookupHandler(
            clock=self.clock,
            view=self.view,
            fleet=self.fleet,
            freshness=self.freshness,
            make_endpoint=self.make_endpoint,
            count_lookup=self.metrics.count_lookup,
        )
        hooks = CallerPortHooks(
            handle_request=self._handle_request,
            handle_lookup=self.lookup_handler.handle_lookup,
            find_region=self.lookup_handler.find_region,
            is_closing=lambda: self.is_closing,
            clock=self.clock,
        )
        self.caller_port = CallerPort(
            split_address(cfg.caller.address), cfg.caller.threads, hooks
        )
        self.admin = AdminPort(
            split_address(cfg.admin.address),
            cfg.admin.token,
            AdminHooks(
                self.metrics.registry,
                is_ready=self.may_serve_keyed,
                describe_status=lambda: describe_host(self),
                find_request=self.recent_requests.find,
            ),
        )

    def _build_control_plane(self) -> None:
        cfg = self.settings
        handler = HostPeerHandler(
            self.fleet,
            self.limit_table,
            self.dispatcher,
            self.published,
            self.freshness,
            self.make_endpoint,
            lambda: self._store_silent_at,
        )
        self.network = GrpcPeerNetwork(
            split_address(cfg.peer.address), cfg.peer.credential, handler
        )
        self._view_keeper = ViewKeeper.start(
            self.published, self.freshness, self.clock, self._on_view_change
        )
        dependencies = RosterDependencies(
            self.fleet, self._store, self.clock, self.rng, self._on_rejoin
        )
        self.roster_keeper = RosterKeeper.start(dependencies)
        self.member_actor = MemberActor.start(
            MemberDependencies(
                settings=cfg,
                fleet=self.fleet,
                limit_table=self.limit_table,
                dispatcher=self.dispatcher,
                network=self.network,
                published=self.published,
                freshness=self.freshness,
                clock=self.clock,
                rng=self.rng,
                make_endpoint=self.make_endpoint,
                notify_view_keeper=self._view_keeper.tell,
                store_silent_at=lambda: self._store_silent_at,
                removal_suspects=lambda: list(dependencies.votes.voters_by_suspect),
                record_agreement=dependencies.votes.record_agreement,
                urgent_loans=self.urgent_loans,
            )
        )
        self._reporter = Reporter.start(
            ReporterDependencies(
                self.fleet,
                self._store,
                self.published,
                self.freshness,
                self.clock,
                self._is_first_member,
            )
        )
        self._prober = Prober.start(self.dispatcher, self.view)
        self._watch = StoreWatch(
            self._store,
            self._probe_store,
            self._view_keeper,
            self.clock,
            cfg.platform.watch_wait_s,
            self.rng,
            self._on_store_failure,
        )
        add_host_gauges(self)

    def _handle_request(self, req: CallerRequest, writer: object) -> object:
        return self.forwarder.handle(req, writer)

    def _observe(self, record: RequestRecord, now: float) -> None:
        self.metrics.record_request(record)
        if self._extra_observer is not None:
            self._extra_observer(record, now)

    def _request_loan(self, limit: str, amount: float) -> bool:
        if not self.urgent_loans.may_succeed(limit):
            return False
        self.member_actor.tell(LoanNeeded(limit, amount))
        return True

    def _max_connections(self, server: str) -> int:
        backend_server = self.view().servers.get(server)
        if backend_server is None:
            return 0
        with self.fleet.lock:
            return int(
                self.fleet.rate_window.smallest_share(
                    lambda roster: connection_share(
                        roster, self.fleet.identity, backend_server.connections
                    ),
                    self.clock(),
                )
            )

    def _on_view_change(self, view: View) -> None:
        self.member_actor.tell(ViewChanged())

    def _on_rejoin(self) -> None:
        self.limit_table.window = self.fleet.rate_window
        self.limit_table.start_incarnation(self.fleet.identity)
        self.dispatcher.start_incarnation()

    def _on_store_failure(self, sent_at: float) -> None:
        if self.settings.host.region == self.settings.platform.region:
            self._store_silent_at = max(self._store_silent_at, sent_at)

    def _is_first_member(self) -> bool:
        with self.fleet.lock:
            members = self.fleet.roster.members
            return bool(members) and members[0].identity == self.fleet.identity

    def _start_timer(self, period_s: float, actor: ActorRef, message: object) -> None:
        def loop() -> None:
            while not self.stopping.wait(period_s * self.rng.uniform(0.9, 1.1)):
                if actor.is_alive():
                    actor.tell(message)

        Thread(target=loop, daemon=True).start()

    def _stop_components(self) -> None:
        self.stopping.set()
        self.caller_port.stop()
        self.admin.stop()
        for actor in (
            self.member_actor,
            self.roster_keeper,
            self._reporter,
            self._prober,
            self._view_keeper,
        ):
            actor.stop(block=False)
        self.network.stop()
        self.connections.close_idle(0.0)
