"""Put one entry host together, start it, and stop it without cutting work."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from json import dumps
from math import inf
from random import Random
from threading import Event, Thread
from time import sleep, time

from pykka import ActorRef

from damasktally.admission import Admission, digest_of
from damasktally.clock import Clock, boot_time
from damasktally.conf import Settings
from damasktally.conf.settings import split_address
from damasktally.escrow.ledger import Ledger
from damasktally.escrow.lending import UrgentAsks
from damasktally.escrow.shares import connection_share
from damasktally.escrow.slots import SlotTable
from damasktally.events import emit
from damasktally.events.catalogue import HOST_LEAVING, HOST_STARTED, HOST_STOPPED
from damasktally.forwarding.attempt import CallerRequest
from damasktally.forwarding.caller_port import CallerPort, CallerPortHooks
from damasktally.forwarding.claims import Claims
from damasktally.forwarding.explain import ExplainRing, RequestRecord
from damasktally.forwarding.forwarder import Forwarder
from damasktally.forwarding.retry import RetryBudget
from damasktally.forwarding.upstream import ConnectionPool
from damasktally.host.admin_port import AdminHooks, AdminPort
from damasktally.host.fleet import Fleet, new_incarnation
from damasktally.host.member import (
    LoanWanted,
    MemberActor,
    MemberParts,
    RosterSeen,
    Tick,
)
from damasktally.host.peer_handler import HostPeerHandler
from damasktally.host.prober import Prober, ProbeTick
from damasktally.host.reporter import Reporter, ReporterParts, ReportTick
from damasktally.host.roster_keeper import (
    DutyTick,
    LeaveRoster,
    RosterKeeper,
    RosterParts,
)
from damasktally.host.store_watch import StoreWatch
from damasktally.host.view_keeper import Published, ViewKeeper
from damasktally.membership.freshness import Freshness, Isolation
from damasktally.metrics import HostMetrics
from damasktally.peers import PeerNetwork
from damasktally.peers.peer_pb2 import Endpoint
from damasktally.platform import ObjectStore
from damasktally.platform.budget import CallBudget
from damasktally.platform.client import HttpStore
from damasktally.resources.kinds import Member
from damasktally.resources.view import View
from damasktally.steering.dispatcher import Dispatcher
from damasktally.steering.health import HealthTable
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts
from damasktally.steering.pacer import Pacer

MEMBER_TICK_S = 0.25
DUTY_TICK_S = 0.5
REPORT_TICK_S = 0.5
QUIET_S = 0.5
ENTRIES_LIFE_S = 0.1
"""Seconds for which look-ups use the same list of hosts."""


@dataclass(frozen=True, slots=True)
class StopReport:
    """Tell how a planned stop went.

    :param cut: requests that were still under way when the wait was over.
    """

    cut: int
    left_roster: bool


class Host:
    """Run one entry host.

    :param store: the platform.
    :param probe: the platform with a short timeout.
    :param observe: hook that sees every request as it ends; see
        ``docs/internals/extending.md``.
    """

    def __init__(
        self,
        settings: Settings,
        store: ObjectStore,
        probe: ObjectStore,
        metrics: HostMetrics,
        clock: Clock = boot_time,
        rng: Random | None = None,
        observe: Callable[[RequestRecord, float], None] | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.clock = clock
        self.rng = rng or Random()
        self._store = store
        self._probe = probe
        self._extra_observe = observe
        self._stopping = Event()
        self._closing = False
        self._witnessed_at = -inf
        self._clients: tuple[View | None, ClientTable] = (None, ClientTable(()))
        self._entries: tuple[float, list[EntryHost]] = (-inf, [])
        self._build_state()
        self._build_request_path()
        self._build_control()

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        observe: Callable[[RequestRecord, float], None] | None = None,
    ) -> "Host":
        """Build a host that reaches the platform over HTTP."""
        metrics = HostMetrics()
        platform = settings.platform
        budget = CallBudget(platform.calls_per_s, boot_time, metrics.registry)
        store = HttpStore(platform.url, platform.timeout_s, budget)
        probe = HttpStore(platform.url, platform.probe_timeout_s, budget)
        return cls(settings, store, probe, metrics, observe=observe)

    def start(self) -> None:
        """Bind all ports and start all parts.

        :raises OSError: when a port cannot be bound.
        """
        self.network.start()
        self.admin.start()
        self.caller_port.start()
        self._watch.start(self._stopping)
        self._every(MEMBER_TICK_S, self.member, Tick())
        self._every(DUTY_TICK_S, self._keeper, DutyTick())
        self._every(REPORT_TICK_S, self._reporter, ReportTick())
        self._every(
            self.settings.forwarding.probe_interval_s, self._prober, ProbeTick()
        )
        emit(HOST_STARTED, host=self.settings.host.name)

    def stop(self) -> StopReport:
        """Leave without cutting a request.

        First look-ups stop naming this host; after their lifetime every answer closes
        its connection; when the work is done, shares are given up and the roster is
        left.
        """
        emit(HOST_LEAVING, host=self.settings.host.name)
        self.fleet.leaving = True
        self._wait_for_lookups()
        self._closing = True
        cut = self._wait_for_work()
        left = self._give_up_shares()
        self._end()
        emit(HOST_STOPPED, host=self.settings.host.name, cut=cut)
        return StopReport(cut, left)

    def kill(self) -> None:
        """End at once, as a crash would: nothing is given back."""
        self._end()

    def view(self) -> View:
        """Return the view in force."""
        return self.published.view

    def may_serve_keyed(self) -> bool:
        """Tell whether withdrawn keys are known in time."""
        if self.settings.isolation.keyed == "serve":
            return True
        return self.freshness.state() is not Isolation.ISOLATED

    def endpoint(self) -> Endpoint:
        """Describe this host to its peers."""
        own = self.fleet.own
        return Endpoint(
            host=own.host,
            incarnation=own.incarnation,
            region=own.region,
            data_centre=own.data_centre,
            peer=own.peer,
            caller=own.caller,
            leaving=self.fleet.leaving,
            headroom=self.dispatcher.headroom(),
            serving=self.may_serve_keyed() and not self._closing,
        )

    def entry_hosts(self) -> list[EntryHost]:
        """Return the hosts that a look-up may name, as of the last moment."""
        at, hosts = self._entries
        now = self.clock()
        if now - at > ENTRIES_LIFE_S:
            hosts = self._find_entry_hosts()
            self._entries = (now, hosts)
        return hosts

    def _find_entry_hosts(self) -> list[EntryHost]:
        drained = self.view().drained_hosts
        with self.fleet.lock:
            endpoints = [*self.fleet.heard_endpoints(), self.endpoint()]
        return [
            EntryHost(e.host, e.caller, e.region, e.data_centre, e.headroom)
            for e in endpoints
            if e.serving and not e.leaving and e.host not in drained
        ]

    def lookup(self, req: CallerRequest) -> tuple[bytes, int]:
        """Answer a look-up."""
        self.metrics.looked_up()
        view = self.view()
        centre = self._client_table(view).find(_client_of(req))
        region = view.data_centres[centre].region if centre else ""
        policy = view.policy("default")
        latency = view.regions[region].latency_ms if region in view.regions else {}
        key = view.keys_by_digest.get(digest_of(req.secret)) if req.secret else None
        customer = key.customer if key is not None and not key.withdrawn else ""
        hosts = rank_hosts(
            self.entry_hosts(), region, centre or "", customer, latency, policy
        )
        body = {
            "hosts": [
                {"host": h.host, "address": h.address, "region": h.region}
                for h in hosts
            ],
            "lifetime_s": policy.lookup_lifetime_s,
            "isolation": self.freshness.state().value,
        }
        return dumps(body).encode(), policy.lookup_lifetime_s

    def status(self) -> dict:
        """Describe this host for operators."""
        view = self.view()
        with self.fleet.lock:
            generation = self.fleet.roster.generation
            identity = self.fleet.identity
            is_member = self.fleet.is_member
            peers = sorted(e.host for e in self.fleet.heard_endpoints())
            settled = self.fleet.rates.settled(self.clock())
            confirmed_at = self.fleet.confirmed_at()
        confirmed = self.clock() - confirmed_at if confirmed_at > -inf else None
        return {
            "host": self.settings.host.name,
            "identity": identity,
            "region": self.settings.host.region,
            "revision": view.revision,
            "in_force_since_unix_s": self.published.since,
            "isolation": self.freshness.state().value,
            "confirmed_age_s": round(self.freshness.confirmed_age(), 3),
            "member": is_member,
            "membership_confirmed_age_s": confirmed,
            "generation": generation,
            "shares_settled": settled,
            "leaving": self.fleet.leaving,
            "peers": peers,
            "in_flight": self.admission.in_flight(),
            "queued": self.dispatcher.queued(),
            "headroom": round(self.dispatcher.headroom(), 3),
            "limits": [asdict(report) for report in self.ledger.report()],
            "drained_servers": sorted(view.drained_servers),
            "problems": view.problems(),
            "unix_s": time(),
        }

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
        self.published = Published()
        self.freshness = Freshness(cfg.isolation.bound_s, self.clock)
        self.fleet = Fleet(member, self.clock, hold_s, hold_s + longest_s)
        self.ledger = Ledger(self.fleet.identity, self.fleet.rates, self.clock)
        self.urgent = UrgentAsks(self.ledger, self.fleet.hints)
        self.pacer = Pacer(self.ledger)
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
        self.admission = Admission(self.ledger, cfg.caller.threads, self._want_loan)
        self.connections = ConnectionPool(self.clock, self._connections_allowed)
        self.ring = ExplainRing()
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
            claims=Claims(self._store, time),
            retries=RetryBudget(),
            ring=self.ring,
            observe=self._observe,
        )
        hooks = CallerPortHooks(
            handle=self._carry,
            lookup=self.lookup,
            region_of=self._region_of,
            closing=lambda: self._closing,
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
                ready=self.may_serve_keyed,
                status=self.status,
                explain=self.ring.find,
            ),
        )

    def _build_control(self) -> None:
        cfg = self.settings
        handler = HostPeerHandler(
            self.fleet,
            self.ledger,
            self.dispatcher,
            self.published,
            self.freshness,
            self.endpoint,
            lambda: self._witnessed_at,
        )
        self.network = PeerNetwork(
            split_address(cfg.peer.address), cfg.peer.credential, handler
        )
        self._view_keeper = ViewKeeper.start(
            self.published, self.freshness, self.clock, self._view_changed
        )
        parts = RosterParts(
            self.fleet, self._store, self.clock, self.rng, self._rejoined
        )
        self._keeper = RosterKeeper.start(parts)
        self.member = MemberActor.start(
            MemberParts(
                settings=cfg,
                fleet=self.fleet,
                ledger=self.ledger,
                dispatcher=self.dispatcher,
                network=self.network,
                published=self.published,
                freshness=self.freshness,
                clock=self.clock,
                rng=self.rng,
                endpoint=self.endpoint,
                keeper=self._view_keeper.tell,
                witnessed_at=lambda: self._witnessed_at,
                removals=lambda: list(parts.votes.votes),
                agreed=parts.votes.agree,
                urgent=self.urgent,
            )
        )
        self._reporter = Reporter.start(
            ReporterParts(
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
            self._probe,
            self._view_keeper,
            self.clock,
            cfg.platform.watch_wait_s,
            self.rng,
            self._store_silent,
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        add = self.metrics.gauge
        add("headroom_ratio", "Free part of the slots owned.", self.dispatcher.headroom)
        add("queued_requests", "Requests that wait.", self.dispatcher.queued)
        add("in_flight_requests", "Requests under way.", self.admission.in_flight)
        add("view_revision", "Revision in force.", lambda: self.view().revision)
        add(
            "view_age_seconds",
            "Seconds since the view was confirmed.",
            self.freshness.confirmed_age,
        )
        add(
            "roster_generation",
            "Generation of the roster known.",
            lambda: self.fleet.roster.generation,
        )
        add(
            "isolated",
            "1 when withdrawn keys may be missed.",
            lambda: float(self.freshness.state() is Isolation.ISOLATED),
        )

    def _carry(self, req: CallerRequest, sink: object) -> object:
        return self.forwarder.handle(req, sink)

    def _observe(self, record: RequestRecord, now: float) -> None:
        self.metrics.observe(record)
        if self._extra_observe is not None:
            self._extra_observe(record, now)

    def _want_loan(self, limit: str, amount: float) -> bool:
        if not self.urgent.worth_it(limit):
            return False
        self.member.tell(LoanWanted(limit, amount))
        return True

    def _connections_allowed(self, server: str) -> int:
        found = self.view().servers.get(server)
        if found is None:
            return 0
        with self.fleet.lock:
            return int(
                self.fleet.rates.smallest(
                    lambda roster: connection_share(
                        roster, self.fleet.identity, found.connections
                    ),
                    self.clock(),
                )
            )

    def _view_changed(self, view: View) -> None:
        self.member.tell(RosterSeen())

    def _rejoined(self) -> None:
        self.ledger.window = self.fleet.rates
        self.ledger.start_incarnation(self.fleet.identity)
        self.dispatcher.start_incarnation()

    def _store_silent(self, sent_at: float) -> None:
        if self.settings.host.region == self.settings.platform.region:
            self._witnessed_at = max(self._witnessed_at, sent_at)

    def _is_first_member(self) -> bool:
        with self.fleet.lock:
            members = self.fleet.roster.members
            return bool(members) and members[0].identity == self.fleet.identity

    def _region_of(self, address: str) -> str:
        view = self.view()
        centre = self._client_table(view).find(address)
        return view.data_centres[centre].region if centre else ""

    def _client_table(self, view: View) -> ClientTable:
        known, table = self._clients
        if known is not view:
            if known is None or known.data_centres != view.data_centres:
                table = ClientTable.from_data_centres(view.data_centres)
            self._clients = (view, table)
        return table

    def _every(self, period_s: float, actor: ActorRef, message: object) -> None:
        def loop() -> None:
            while not self._stopping.wait(period_s * self.rng.uniform(0.9, 1.1)):
                if actor.is_alive():
                    actor.tell(message)

        Thread(target=loop, daemon=True).start()

    def _wait_for_lookups(self) -> None:
        lifetime_s = self.view().policy("default").lookup_lifetime_s
        self._stopping.wait(lifetime_s)

    def _wait_for_work(self) -> int:
        """Wait until no request was under way for a while.

        :returns: requests that were still under way when the time was over.
        """
        end = self.clock() + self.settings.forwarding.stop_wait_s
        quiet_since = self.clock()
        while self.clock() < end:
            if self.admission.in_flight() or self.dispatcher.headroom() < 1:
                quiet_since = self.clock()
            elif self.clock() - quiet_since >= QUIET_S:
                return 0
            sleep(0.02)
        return self.admission.in_flight()

    def _give_up_shares(self) -> bool:
        """Stop spending; the roster is left with consent once nothing is lent."""
        end = self.clock() + self.settings.membership.fence_s
        while self.clock() < end and self.ledger.lent():
            sleep(0.05)
        with self.dispatcher.lock:
            slots_lent = self.dispatcher.slots.lent(self.clock())
        consented = not self.ledger.lent() and not slots_lent
        self.ledger.start_incarnation(self.fleet.identity)
        self.dispatcher.start_incarnation()
        try:
            return bool(self._keeper.ask(LeaveRoster(consented), timeout=5.0))
        except Exception:
            # The platform may be down; the others remove this host later.
            return False

    def _end(self) -> None:
        self._stopping.set()
        self.caller_port.stop()
        self.admin.stop()
        for actor in (
            self.member,
            self._keeper,
            self._reporter,
            self._prober,
            self._view_keeper,
        ):
            actor.stop(block=False)
        self.network.stop()
        self.connections.close_idle(0.0)


def _client_of(req: CallerRequest) -> str:
    """Return the client's address: the query's ``client``, else the caller's own."""
    _, _, query = req.target.partition("?")
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "client" and value:
            return value
    try:
        return req.sock.getpeername()[0] if req.sock is not None else ""
    except OSError:
        return ""
