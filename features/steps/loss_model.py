"""Model of hosts that judge lost responses while links break and servers end.

The deciding modules are the real ones; network, servers and time are simulated.
"""

from dataclasses import dataclass, field
from random import Random

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.entry.crash_reports import DECISION_DELAY_S, EXCUSED_MEMORY_S

STEP_S = 0.02
GOSSIP_INTERVAL_S = 0.25
RESTART_S = 1.5
BAD = "bad"
ATTEMPTS = 2


@dataclass
class Plan:
    """What happens in one schedule.

    :param cuts: hosts that lose all servers, with begin and end in seconds.
    :param bad_rate: requests a second that end the servers that run them.
    :param message_loss: share of the messages between hosts that are lost.
    """

    hosts: int
    servers: int
    rate: float
    seconds: float
    cuts: list[tuple[int, float, float]]
    bad_rate: float
    message_loss: float
    seed: int


@dataclass
class _Host:
    name: str
    suspects: CrashSuspects
    breaks: LinkBreaks = field(default_factory=LinkBreaks)


@dataclass
class _Request:
    host: int
    server: int
    fingerprint: str
    ends_at: float
    attempt: int


class LossModel:
    """Simulate a plan; ``blocked`` and ``bad_ends`` hold what came of it.

    ``blocked`` are the fingerprints that any host blocked, ``bad_ends`` the times at
    which servers ended.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = Random(plan.seed)
        self.hosts = [
            _Host(f"h-{n}", CrashSuspects(f"h-{n}")) for n in range(plan.hosts)
        ]
        self.started = [0.0] * plan.servers
        self.requests: list[_Request] = []
        self.losses: list[tuple[float, int, int, str, str]] = []
        self.excused: list[tuple[float, int, int, str, str]] = []
        self.blocked: set[str] = set()
        self.bad_ends: list[float] = []
        self.joined: dict[int, float] = {}
        for host in self.hosts:
            for server in range(plan.servers):
                host.breaks.record_opened(f"s-{server}")

    def run(self) -> None:
        """Simulate the whole plan."""
        now, next_gossip = 0.0, 0.0
        while now < self.plan.seconds:
            now += STEP_S
            self._cut(now)
            self._end_requests(now)
            self._send_requests(now)
            self._judge_losses(now)
            if now >= next_gossip:
                next_gossip = now + GOSSIP_INTERVAL_S
                self._gossip(now)

    def is_cut(self, host: int, now: float) -> bool:
        """Return whether a host is cut off from all servers."""
        return any(h == host and a <= now < b for h, a, b in self.plan.cuts)

    def _cut(self, now: float) -> None:
        for host, begin, _ in self.plan.cuts:
            if begin <= now < begin + STEP_S:
                for server in range(self.plan.servers):
                    self._break(host, server, now)

    def _break(self, host: int, server: int, now: float) -> None:
        """Break the connections of a host to a server; its requests there are lost."""
        self.hosts[host].breaks.record_closed(f"s-{server}", True, now)
        self.hosts[host].breaks.record_opened(f"s-{server}")
        for request in list(self.requests):
            if (request.host, request.server) == (host, server):
                self.requests.remove(request)
                self._lose(request, now)

    def _lose(self, request: _Request, now: float) -> None:
        process = self._process(request.server)
        self.losses.append(
            (now, request.host, request.server, process, request.fingerprint)
        )
        if request.attempt < ATTEMPTS:
            self._send(request.host, request.fingerprint, request.attempt + 1, now)

    def _process(self, server: int) -> str:
        return f"s-{server}/{self.started[server]}"

    def _end_requests(self, now: float) -> None:
        for request in [item for item in self.requests if item.ends_at <= now]:
            if request not in self.requests:
                continue
            if request.fingerprint == BAD:
                self._end_server(request.server, now)
                continue
            self.requests.remove(request)
            suspects = self.hosts[request.host].suspects
            suspects.record_alive(self._process(request.server), now)
            suspects.record_answer(request.fingerprint, now)

    def _end_server(self, server: int, now: float) -> None:
        self.bad_ends.append(now)
        for host in range(self.plan.hosts):
            self._break(host, server, now)
        self.started[server] = now + RESTART_S

    def _send_requests(self, now: float) -> None:
        for rate, names in (
            (self.plan.rate, ("a", "b", "c")),
            (self.plan.bad_rate, (BAD,)),
        ):
            if self.rng.random() < rate * STEP_S:
                host = self.rng.randrange(self.plan.hosts)
                self._send(host, self.rng.choice(names), 1, now)

    def _send(self, host: int, fingerprint: str, attempt: int, now: float) -> None:
        """Send a request to a server that runs, by way of a host that reaches it."""
        reaching = [h for h in range(self.plan.hosts) if not self.is_cut(h, now)]
        running = [n for n, at in enumerate(self.started) if at <= now]
        if host not in reaching:
            host = self.rng.choice(reaching) if reaching else -1
        if host < 0 or not running:
            return
        if self.hosts[host].suspects.blocked_s(fingerprint, now) > 0:
            return
        server = self.rng.choice(running)
        took_s = 0.01 if fingerprint == BAD else self.rng.uniform(0.05, 0.2)
        self.requests.append(_Request(host, server, fingerprint, now + took_s, attempt))

    def _judge_losses(self, now: float) -> None:
        for loss in [loss for loss in self.losses if now - loss[0] >= DECISION_DELAY_S]:
            self.losses.remove(loss)
            lost_at, number, server, _, _ = loss
            if self.hosts[number].breaks.is_own_link(f"s-{server}", lost_at):
                self.excused.append(loss)
            else:
                self._record_loss(loss, now)
        for loss in list(self.excused):
            lost_at, _, server, process, _ = loss
            if not self._is_registered(server, process, now):
                self.excused.remove(loss)
                self._record_loss(loss, now)
            elif now - lost_at > EXCUSED_MEMORY_S:
                self.excused.remove(loss)

    def _record_loss(self, loss: tuple, now: float) -> None:
        lost_at, number, _, process, fingerprint = loss
        suspects = self.hosts[number].suspects
        suspects.record_loss(fingerprint, process, 0, now, now - lost_at)

    def _is_registered(self, server: int, process: str, now: float) -> bool:
        """Return whether the store lists a process; the next one is listed late."""
        return self._process(server) == process or now < self.started[server]

    def _gossip(self, now: float) -> None:
        for sender in self.hosts:
            changes = sender.suspects.take_block_changes(now)
            self.blocked.update(changes.begun)
            reports = list(sender.suspects.reports(now))
            for receiver in self.hosts:
                if receiver is sender or self.rng.random() < self.plan.message_loss:
                    continue
                for report in reports:
                    receiver.suspects.merge(report, now)
