"""Put an entry host together and run it."""

from asyncio import (
    AbstractEventLoop,
    CancelledError,
    Event,
    Server,
    create_task,
    gather,
    get_running_loop,
    sleep,
)
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time

from prometheus_client import generate_latest

from damasktally.decisions.directory import Candidate, addresses_for
from damasktally.decisions.quota import CustomerQuotas, QuotaReport
from damasktally.entry.candidates import Candidates
from damasktally.entry.forwarder import Forwarder
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.output import LogOutput
from damasktally.entry.peers import PeerNetwork
from damasktally.entry.refusals import final
from damasktally.entry.requests import RequestHandler
from damasktally.entry.server_pool import ServerPool
from damasktally.entry.settings import EntrySettings, split_address
from damasktally.entry.store_sync import StoreSync
from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import (
    HOST_LEAVING,
    HOST_RESUMED,
    HOST_STARTED,
    HOST_STOPPED,
    LOG_LINES_LEFT_OUT,
    SETTINGS_RELOADED,
    VIEW_CHANGED,
)
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.model import CallerLimits, Member
from damasktally.fleet.view import Decoders, FleetView, Topic, ViewChange
from damasktally.http1.inbound import CallerPort
from damasktally.http1.messages import Request, Response
from damasktally.platform.bounds import decode_bounds
from damasktally.platform.calls import asks_readiness, lookup_answer, parse_lookup
from damasktally.platform.codec import (
    decode_configuration,
    decode_member,
    decode_server,
    encode_member,
)
from damasktally.platform.store import (
    CONFIGURATION_NAME,
    MEMBERS_KIND,
    StoreClient,
    StoreUnavailable,
)

TICK_S = 0.25
LOOKUP_TTL_S = 2.0
REGISTER_PAUSE_S = 1.0
SUSPENDED_S = 0.5
"""Clocks that differ by this much more than before show a suspension."""
LISTEN_ON_S = 2.5
"""After SIGTERM, callers that have not looked up again may still connect."""
STOP_MARGIN_S = 0.4
QUOTA_SLACK_PART = 0.85
"""Part of the tolerated excess that hosts use; the rest covers late counts."""
BACKLOG = 512


class EntryHost:
    """Run an entry host until it is told to stop.

    :param settings: the host's settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._loop: AbstractEventLoop = get_running_loop()
        self._rng = Random()
        self._bounds = decode_bounds(settings.bounds.agreed)
        self._metrics = EntryMetrics()
        self._output = LogOutput(1, self._loop)
        self._own = _own_member(settings)
        self._members = MemberTable(self._own)
        self._view = FleetView(
            Decoders(decode_configuration, decode_server, CONFIGURATION_NAME),
            self._log_change,
        )
        self._confirmed: dict[Topic, float] = {}
        self._store = StoreClient(
            split_address(settings.store.address),
            lambda purpose: self._metrics.store_calls.labels(purpose).inc(),
        )
        self._sync = StoreSync(self._store, self._view, self._confirm, self._rng)
        self._peers = PeerNetwork(
            self._members, self._view, self._heartbeat, self._confirm
        )
        self._quotas = CustomerQuotas(QUOTA_SLACK_PART * self._bounds.quota_slack)
        self._pool = ServerPool()
        self._candidates = Candidates(self._view, self._members, settings.region_of)
        forwarder = Forwarder(self._view, self._candidates, self._pool)
        self._requests = RequestHandler(
            self._view,
            self._members,
            self._candidates,
            forwarder,
            self._quotas,
            self._metrics,
            self._bounds,
            self._rng,
        )
        self._callers = CallerPort(self._requests.handle, self._limits)
        self._inner = [
            CallerPort(handle, CallerLimits)
            for handle in (self._readiness, self._lookup, self._metrics_page)
        ]
        self._servers: list[Server] = []
        self._leaving = False
        self._stopped = False
        self._sequence = 0
        self._asked_to_stop = Event()
        self._boot_offset = _boot_offset()

    @classmethod
    def from_config(cls, settings: EntrySettings) -> "EntryHost":
        """Return a host for some settings."""
        return cls(settings)

    async def run(self) -> None:
        """Serve until SIGTERM, and then leave without cutting a request."""
        for number in (SIGTERM, SIGINT):
            self._loop.add_signal_handler(number, self._asked_to_stop.set)
        self._loop.add_signal_handler(SIGHUP, lambda: emit(SETTINGS_RELOADED))
        await self._peers.start(split_address(self._settings.listen.peers))
        self._sync.start()
        tasks = [create_task(self._register()), create_task(self._tick())]
        await self._listen()
        emit(
            HOST_STARTED,
            host=self._own.host,
            data_centre=self._own.data_centre,
            callers=self._own.caller_address,
        )
        await self._asked_to_stop.wait()
        await self._stop()
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        await self._sync.stop()

    async def _listen(self) -> None:
        listen = self._settings.listen
        ports = [
            (listen.callers, self._callers),
            (listen.readiness, self._inner[0]),
            (listen.directory, self._inner[1]),
        ]
        if listen.metrics_port:
            host, _ = split_address(listen.callers)
            ports.append((f"{host}:{listen.metrics_port}", self._inner[2]))
        for address, port in ports:
            server = await self._loop.create_server(
                port.connection, *split_address(address), backlog=BACKLOG
            )
            self._servers.append(server)

    async def _stop(self) -> None:
        began = self._loop.time()
        self._leaving = True
        self._callers.draining = True
        emit(HOST_LEAVING, under_way=self._callers.under_way)
        self._peers.send_heartbeats([])
        await sleep(LISTEN_ON_S)
        self._servers[0].close()
        ends = began + self._bounds.stop_s - STOP_MARGIN_S
        self._callers.close_idle()
        while self._callers.under_way and self._loop.time() < ends:
            await sleep(0.05)
            self._callers.close_idle()
        self._stopped = True
        self._peers.send_heartbeats([])
        emit(HOST_STOPPED, cut=self._callers.under_way)
        self._output.flush()

    async def _register(self) -> None:
        """Make this host known in the store, and learn the others from it."""
        spec = encode_member(self._own)
        while True:
            try:
                held = await self._store.create(MEMBERS_KIND, self._own.host, spec)
                if not _same_place(held, spec):
                    await self._store.replace(MEMBERS_KIND, self._own.host, spec)
                listing = await self._store.list_objects(MEMBERS_KIND)
            except StoreUnavailable:
                await sleep(REGISTER_PAUSE_S * self._rng.uniform(0.5, 1.5))
                continue
            for item in listing.specs.values():
                self._learn(item)
            self._peers.send_heartbeats([])
            return

    def _learn(self, spec: object) -> None:
        try:
            self._members.learn(decode_member(spec), self._loop.time())
        except DamasktallyError as exc:
            emit(VIEW_CHANGED, topic="hosts", detail=str(exc))

    async def _tick(self) -> None:
        while True:
            try:
                await sleep(TICK_S)
                self._tick_once(self._loop.time())
            except CancelledError:
                raise

    def _tick_once(self, now: float) -> None:
        self._notice_suspension()
        self._peers.send_heartbeats(self._settings.seeds)
        self._peers.note_changes(now)
        self._peers.catch_up(now)
        self._members.forget_silent(now)
        self._view.expire(now)
        self._divide(now)
        for port in (self._callers, *self._inner):
            port.sweep(now)
        known = self._view.servers.ids()
        self._pool.keep_only(known)
        self._candidates.loads.keep_only(known)
        self._candidates.suspicions.keep_only(known)
        self._publish(now)

    def _divide(self, now: float) -> None:
        cfg = self._view.configuration
        if cfg is None:
            return
        heard = self._members.heard(now)
        unheard = len(self._members.records()) - len(heard)
        reports = [
            QuotaReport(
                (record.member.host, record.member.started_ms),
                record.admitted,
                record.demand,
            )
            for record in heard
        ]
        self._quotas.divide(cfg.customers, reports, unheard, now)

    def _publish(self, now: float) -> None:
        left_out = self._output.left_out
        if left_out > self._output.left_out_reported:
            emit(LOG_LINES_LEFT_OUT, lines=left_out - self._output.left_out_reported)
            self._output.left_out_reported = left_out
        self._metrics.log_lines_left_out.set(left_out)
        self._metrics.hosts_heard.set(len(self._members.heard(now)))
        for topic, when in self._confirmed.items():
            self._metrics.view_age.labels(topic.value).set(now - when)

    def _notice_suspension(self) -> None:
        offset = _boot_offset()
        if offset - self._boot_offset > SUSPENDED_S:
            emit(HOST_RESUMED, suspended_s=round(offset - self._boot_offset, 2))
            self._pool.drop_all()
            self._sync.restart()
        self._boot_offset = offset

    def _heartbeat(self) -> Heartbeat:
        self._sequence += 1
        own = self._own
        return Heartbeat(
            host=own.host,
            started_ms=own.started_ms,
            region=own.region,
            data_centre=own.data_centre,
            caller_address=own.caller_address,
            peer_host=own.peer_address[0],
            peer_port=own.peer_address[1],
            sequence=self._sequence,
            ready=self._ready,
            stopped=self._stopped,
            revisions={
                topic.value: revision
                for topic, revision in self._view.revisions.items()
            },
            demand=self._quotas.demand(),
            admitted=self._quotas.admitted(),
        )

    @property
    def _ready(self) -> bool:
        known = self._view.configuration is not None
        return known and len(self._view.servers) > 0 and not self._leaving

    def _limits(self) -> CallerLimits:
        cfg = self._view.configuration
        return cfg.limits if cfg else CallerLimits()

    def _confirm(self, topic: Topic) -> None:
        self._confirmed[topic] = self._loop.time()

    def _log_change(self, change: ViewChange) -> None:
        emit(
            VIEW_CHANGED,
            topic=change.topic.value,
            revision=change.revision,
            source=change.source,
            detail=change.detail,
        )

    async def _readiness(self, req: Request) -> Response:
        if not asks_readiness(req):
            return final(404, "unknown-path")
        return final(200, "ready") if self._ready else final(503, "not-ready")

    async def _lookup(self, req: Request) -> Response:
        question = parse_lookup(req)
        if question is None:
            return final(404, "unknown-path")
        if self._view.configuration is None:
            return final(503, "no-configuration")
        self._metrics.lookups.inc()
        addresses = addresses_for(
            self._named_hosts(),
            question.region,
            self._home_regions(question.host_name),
            self._rng,
        )
        if not addresses:
            return final(503, "no-host-ready")
        return lookup_answer(addresses, min(LOOKUP_TTL_S, self._bounds.lookup_ttl_s))

    def _named_hosts(self) -> list[Candidate]:
        members = [
            record.member
            for record in self._members.heard(self._loop.time())
            if record.ready
        ]
        if self._ready:
            members.append(self._own)
        return [
            Candidate(item.caller_address, item.region, item.data_centre)
            for item in members
        ]

    def _home_regions(self, host_name: str) -> frozenset[str]:
        cfg = self._view.configuration
        routes = cfg.routes_by_host.get(host_name.lower(), ()) if cfg else ()
        homes = [route.home_regions for route in routes if route.home_regions]
        return frozenset().union(*homes)

    async def _metrics_page(self, req: Request) -> Response:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return Response(200, headers, generate_latest(self._metrics.registry))


def _own_member(settings: EntrySettings) -> Member:
    return Member(
        host=settings.host.name,
        started_ms=int(time() * 1000),
        region=settings.host.region,
        data_centre=settings.host.data_centre,
        caller_address=settings.listen.callers,
        peer_address=split_address(settings.listen.peers),
    )


def _same_place(held: object, spec: object) -> bool:
    """Tell whether two objects describe the same host, whichever run of it."""
    if not isinstance(held, dict) or not isinstance(spec, dict):
        return False
    return {**held, "started_ms": 0} == {**spec, "started_ms": 0}


def _boot_offset() -> float:
    """Return how much further the clock that counts suspensions is."""
    return clock_gettime(CLOCK_BOOTTIME) - monotonic()
