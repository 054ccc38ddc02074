"""Play a load against a policy on a simulated clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from damasktally.decisions.affinity import AffinityRanking
from damasktally.decisions.load import ServerLoads
from damasktally.decisions.response_times import ResponseTimes
from damasktally.fleet.model import Server
from damasktally.lab.loads import KINDS, LATE_PART, Kind, Load
from damasktally.lab.policies import Policy
from damasktally.lab.servers import Job, ModelServer

REGIONS = ("north", "middle", "south")
HOSTS_A_REGION = 4
SERVERS = 34
SLOTS = 4
OBJECTS = 400
POPULARITY = 0.9
"""Exponent by which objects are asked for less and less often."""
NEAR_S = 0.0015
FAR_S = 0.012
"""One way to a server of the same region, and of another."""
WINDOW_S = 2.0
MAX_TIMES = 2
"""How often a caller sends a request that is refused."""


@dataclass
class Result:
    """Count what became of requests.

    :param windows: worth served and worth asked for, by window of two seconds.
    """

    policy: str
    load: str
    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    windows: dict[int, list[float]] = field(default_factory=dict)

    @property
    def worth(self) -> float:
        """Return the part of the worth that was served."""
        served = sum(window[0] for window in self.windows.values())
        return served / max(1e-9, sum(window[1] for window in self.windows.values()))


@dataclass
class _Host:
    """Hold what one host believes; hosts do not talk in the model."""

    region: str
    ranking: AffinityRanking
    loads: ServerLoads = field(default_factory=ServerLoads)
    times: ResponseTimes = field(default_factory=ResponseTimes)


@dataclass(slots=True)
class _Call:
    kind: Kind
    key: bytes
    host: _Host
    began: float
    times: int = 0


class _Play:
    def __init__(self, load: Load, policy: Policy, seconds: float, seed: int) -> None:
        self._load = load
        self._policy = policy
        self._seconds = seconds
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._now = 0.0
        self._models = [self._model(number) for number in range(SERVERS)]
        self._by_id = {model.server.id: model for model in self._models}
        self._servers = [model.server for model in self._models]
        self._usable = self._servers
        regions = {region: region for region in REGIONS}
        self._hosts = [
            _Host(region, AffinityRanking(region, regions))
            for region in REGIONS
            for _ in range(HOSTS_A_REGION)
        ]
        weights = (1 / (rank + 1) ** POPULARITY for rank in range(OBJECTS))
        self._object_weights = list(accumulate(weights))
        self._kind_weights = list(accumulate(kind.part for kind in KINDS))
        self.result = Result(policy.name, load.name)

    def run(self) -> Result:
        self._later(0.0, self._arrive)
        if self._load.ended > self._load.began:
            self._later(self._load.began, self._disturb)
            self._later(self._load.ended, self._calm)
        while self._events:
            self._now, _, call = heappop(self._events)
            call()
        return self.result

    def _model(self, number: int) -> ModelServer:
        region = REGIONS[number % len(REGIONS)]
        server = Server(f"i-{number}", "s", ("", 0), region, SLOTS, False, 0.0, 1)
        return ModelServer(server, self._later, self._rng)

    def _later(self, when: float, call: Callable[[], None]) -> None:
        heappush(self._events, (when, next(self._numbers), call))

    def _disturb(self) -> None:
        load, models = self._load, self._models
        for model in models[: round(load.slow_part * len(models))]:
            model.speed = load.slow_times
        for model in models:
            model.shed_part = load.shed_part
        gone = round(load.gone_part * len(models))
        self._usable = [model.server for model in models[gone:]]

    def _calm(self) -> None:
        gone = {model.server.id for model in self._models}
        gone -= {server.id for server in self._usable}
        for model in self._models:
            model.speed, model.shed_part = 1.0, 0.0
            if model.server.id in gone:
                model.forget()
        self._usable = self._servers

    def _arrive(self) -> None:
        if self._now >= self._seconds:
            return
        gap_s = self._rng.expovariate(self._load.rate(self._now))
        self._later(self._now + gap_s, self._arrive)
        kind = self._rng.choices(KINDS, cum_weights=self._kind_weights)[0]
        objects = range(OBJECTS)
        number = self._rng.choices(objects, cum_weights=self._object_weights)[0]
        call = _Call(kind, b"%d" % number, self._rng.choice(self._hosts), self._now)
        self.result.asked += 1
        self._window(call)[1] += kind.worth
        self._send(call)

    def _send(self, call: _Call) -> None:
        host, now = call.host, self._now
        call.times += 1
        order = host.ranking.rank("s", self._usable, call.key)
        ranked = [self._by_id[name].server for name in order]
        server = self._policy.pick(
            self._usable,
            ranked,
            lambda item: host.loads.estimate(item.id, now),
            call.kind.priority,
        )
        if server is None:
            self._refuse(call)
            return
        way_s = NEAR_S if server.data_centre == host.region else FAR_S
        host.loads.begin(server.id)
        model = self._by_id[server.id]
        ends = call.began + call.kind.deadline_s

        def done(when: float, ran: bool) -> None:
            report = (model.running, len(model.waiting))
            back = lambda: self._answered(call, server, ran, now, report)
            self._later(when + way_s, back)

        job = Job(call.key, call.kind.work_s, ends, done)
        self._later(now + way_s, lambda: model.arrive(job, self._now))

    def _answered(
        self,
        call: _Call,
        server: Server,
        ran: bool,
        sent: float,
        report: tuple[int, int],
    ) -> None:
        host, now = call.host, self._now
        host.loads.record_report(server.id, *report, now)
        host.loads.end(server.id)
        if not ran:
            self._refuse(call)
            return
        host.times.record("s", now - sent)
        took_s = now - call.began
        if took_s <= call.kind.aim_s:
            self.result.in_aim += 1
            self._window(call)[0] += call.kind.worth
        elif took_s <= call.kind.deadline_s:
            self.result.late += 1
            self._window(call)[0] += LATE_PART * call.kind.worth
        else:
            self.result.refused += 1

    def _refuse(self, call: _Call) -> None:
        wait_s = self._policy.retry_after_s
        if wait_s is None:
            wait_s = call.host.times.expected_wait_s("s")
        wait_s *= self._rng.uniform(0.7, 1.3)
        left_s = call.began + call.kind.deadline_s - self._now
        if call.times < MAX_TIMES and left_s > 0:
            self._later(self._now + min(wait_s, left_s / 3), lambda: self._send(call))
        else:
            self.result.refused += 1

    def _window(self, call: _Call) -> list[float]:
        return self.result.windows.setdefault(int(call.began // WINDOW_S), [0.0, 0.0])


def simulate(load: Load, policy: Policy, seconds: float, seed: int) -> Result:
    """Play a load; the same seed gives the same result.

    :param seconds: how long requests arrive.
    """
    return _Play(load, policy, seconds, seed).run()
