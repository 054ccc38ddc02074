"""Model of hosts that judge lost responses while links break and servers end.

The deciding modules are the real ones; network, servers and time are simulated.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.decisions.lost_responses import (
    LostResponse,
    LostResponses,
    ServerStates,
    process_of,
)

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
    :param leaves: servers that leave without a report, with the times at which their
        registrations are removed and at which they end, in seconds.
    :param quiet: when callers send nothing, from and to, in seconds.
    :param is_draining: whether the servers that leave stay registered, as draining.
    """

    hosts: int
    servers: int
    rate: float
    seconds: float
    cuts: list[tuple[int, float, float]]
    bad_rate: float
    message_loss: float
    seed: int
    leaves: tuple[tuple[int, float, float], ...] = ()
    quiet: tuple[float, float] = (0.0, 0.0)
    is_draining: bool = False


@dataclass
class _Host:
    name: str
    suspects: CrashSuspects
    breaks: LinkBreaks
    losses: LostResponses


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
        self.now = 0.0
        self.hosts = [self._make_host(f"h-{n}") for n in range(plan.hosts)]
        self.started = [0.0] * plan.servers
        self.requests: list[_Request] = []
        self.blocked: set[str] = set()
        self.bad_ends: list[float] = []
        self.removed_at = {server: at for server, at, _ in plan.leaves}
        for host in self.hosts:
            for server in range(plan.servers):
                host.breaks.record_opened(f"s-{server}")

    def _make_host(self, name: str) -> _Host:
        suspects, breaks = CrashSuspects(name), LinkBreaks()
        states = ServerStates(self._is_registered, self._has_left)
        losses = LostResponses(suspects, breaks, states)
        return _Host(name, suspects, breaks, losses)

    def run(self) -> None:
        """Simulate the whole plan."""
        now, next_gossip = 0.0, 0.0
        while now < self.plan.seconds:
            now = self.now = now + STEP_S
            self._cut(now)
            self._end_leaving(now)
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

    def _end_leaving(self, now: float) -> None:
        """End the servers that were removed, with the requests that run on them."""
        for server, _, ends_at in self.plan.leaves:
            if ends_at <= now < ends_at + STEP_S:
                self._break_all(server, now)
                self.started[server] = inf

    def _break_all(self, server: int, now: float) -> None:
        for host in range(self.plan.hosts):
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
        server = request.server
        loss = LostResponse(
            request.fingerprint, f"s-{server}", self._started_ms(server), 0, now
        )
        self.hosts[request.host].losses.add(loss)
        if request.attempt < ATTEMPTS:
            self._send(request.host, request.fingerprint, request.attempt + 1, now)

    def _process(self, server: int) -> str:
        return process_of(f"s-{server}", self._started_ms(server))

    def _started_ms(self, server: int) -> int:
        started = self.started[server]
        return int(started * 1000) if started < inf else -1

    def _end_requests(self, now: float) -> None:
        for request in [item for item in self.requests if item.ends_at <= now]:
            if request not in self.requests:
                continue
            if request.fingerprint == BAD:
                self._end_server(request.server, now)
                continue
            self.requests.remove(request)
            host = self.hosts[request.host]
            host.suspects.record_alive(self._process(request.server), now)
            host.losses.record_answer(request.fingerprint, now)

    def _end_server(self, server: int, now: float) -> None:
        self.bad_ends.append(now)
        self._break_all(server, now)
        self.started[server] = now + RESTART_S

    def _send_requests(self, now: float) -> None:
        begin, end = self.plan.quiet
        if begin <= now < end:
            return
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
        running = [
            n
            for n, at in enumerate(self.started)
            if at <= now < self.removed_at.get(n, inf)
        ]
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
        for host in self.hosts:
            host.losses.judge(now)
            host.losses.reconsider_excused(now)

    def _is_registered(self, name: str, started_ms: int) -> bool:
        """Return whether the store lists a process; the next one is listed late."""
        server = int(name.removeprefix("s-"))
        if server in self.removed_at and not self.plan.is_draining:
            return self.now < self.removed_at[server]
        is_same = self._started_ms(server) == started_ms
        return is_same or self.now < self.started[server]

    def _has_left(self, name: str, started_ms: int) -> bool:
        """Return whether a server drains, or was removed, before it ends."""
        removed_at = self.removed_at.get(int(name.removeprefix("s-")), inf)
        return self.now >= removed_at

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
