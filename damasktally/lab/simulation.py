"""Simulate a load under a policy, on a simulated clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from damasktally.decisions.affinity import AffinityRanking
from damasktally.decisions.load import ServerLoads
from damasktally.decisions.response_times import ResponseTimes
from damasktally.fleet.model import Server
from damasktally.lab.loads import LATE_WORTH_RATIO, REQUEST_KINDS, Load, RequestKind
from damasktally.lab.policies import Policy
from damasktally.lab.servers import Job, SimulatedServer

REGIONS = ("north", "middle", "south")
HOSTS_PER_REGION = 4
SERVER_COUNT = 34
SLOTS_PER_SERVER = 4
OBJECT_COUNT = 400
ZIPF_EXPONENT = 0.9
"""Exponent of the Zipf distribution of requests over objects."""
SAME_REGION_DELAY_S = 0.0015
OTHER_REGION_DELAY_S = 0.012
"""One-way network delay to a server of the same region, and of another region."""
WINDOW_S = 2.0
MAX_SENDS = 2
"""How often a caller sends one request at most, when it is refused."""


@dataclass
class Result:
    """Count the outcomes of the requests of one simulation.

    :param requests: requests that callers made.
    :param on_time: requests that were completed within their target latency.
    :param late: requests that were completed later, but before their deadline.
    :param refused: all other requests.
    :param windows: served worth and requested worth, by number of the window of
        :data:`WINDOW_S` in which the request started.
    """

    policy: str
    load: str
    requests: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    windows: dict[int, list[float]] = field(default_factory=dict)

    @property
    def worth(self) -> float:
        """Return the ratio of the requested worth that was served."""
        served = sum(window[0] for window in self.windows.values())
        return served / max(1e-9, sum(window[1] for window in self.windows.values()))


@dataclass
class _Host:
    """Hold the state of one host; simulated hosts exchange no messages."""

    region: str
    ranking: AffinityRanking
    loads: ServerLoads = field(default_factory=ServerLoads)
    response_times: ResponseTimes = field(default_factory=ResponseTimes)


@dataclass(slots=True)
class _Request:
    kind: RequestKind
    key: bytes
    host: _Host
    started_at: float
    sends: int = 0


class _Simulation:
    def __init__(self, load: Load, policy: Policy, seconds: float, seed: int) -> None:
        self._load = load
        self._policy = policy
        self._seconds = seconds
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._now = 0.0
        self._simulated_servers = [
            self._make_server(number) for number in range(SERVER_COUNT)
        ]
        self._by_id = {
            simulated.server.id: simulated for simulated in self._simulated_servers
        }
        self._servers = [simulated.server for simulated in self._simulated_servers]
        self._usable = self._servers
        region_of = {region: region for region in REGIONS}
        self._hosts = [
            _Host(region, AffinityRanking(region, region_of))
            for region in REGIONS
            for _ in range(HOSTS_PER_REGION)
        ]
        weights = (1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(OBJECT_COUNT))
        self._object_weights = list(accumulate(weights))
        self._kind_weights = list(accumulate(kind.ratio for kind in REQUEST_KINDS))
        self.result = Result(policy.name, load.name)

    def run(self) -> Result:
        self._schedule(0.0, self._create_request)
        if self._load.disturbed_until_s > self._load.disturbed_from_s:
            self._schedule(self._load.disturbed_from_s, self._start_disturbance)
            self._schedule(self._load.disturbed_until_s, self._end_disturbance)
        while self._events:
            self._now, _, callback = heappop(self._events)
            callback()
        return self.result

    def _make_server(self, number: int) -> SimulatedServer:
        region = REGIONS[number % len(REGIONS)]
        server = Server(
            f"i-{number}", "s", ("", 0), region, SLOTS_PER_SERVER, False, 0.0, 1
        )
        return SimulatedServer(server, self._schedule, self._rng)

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        heappush(self._events, (when, next(self._event_numbers), callback))

    def _start_disturbance(self) -> None:
        load, servers = self._load, self._simulated_servers
        for simulated in servers[: round(load.slow_ratio * len(servers))]:
            simulated.slowdown = load.slowdown
        for simulated in servers:
            simulated.shed_ratio = load.shed_ratio
        evacuated = round(load.evacuated_ratio * len(servers))
        self._usable = [simulated.server for simulated in servers[evacuated:]]

    def _end_disturbance(self) -> None:
        evacuated = {simulated.server.id for simulated in self._simulated_servers}
        evacuated -= {server.id for server in self._usable}
        for simulated in self._simulated_servers:
            simulated.slowdown, simulated.shed_ratio = 1.0, 0.0
            if simulated.server.id in evacuated:
                simulated.clear_cache()
        self._usable = self._servers

    def _create_request(self) -> None:
        """Create a request, and schedule the next one as a Poisson process."""
        if self._now >= self._seconds:
            return
        interval_s = self._rng.expovariate(self._load.rate(self._now))
        self._schedule(self._now + interval_s, self._create_request)
        kind = self._rng.choices(REQUEST_KINDS, cum_weights=self._kind_weights)[0]
        objects = range(OBJECT_COUNT)
        number = self._rng.choices(objects, cum_weights=self._object_weights)[0]
        request = _Request(
            kind, b"%d" % number, self._rng.choice(self._hosts), self._now
        )
        self.result.requests += 1
        self._window(request)[1] += kind.worth
        self._send(request)

    def _send(self, request: _Request) -> None:
        host, now = request.host, self._now
        request.sends += 1
        ranking = host.ranking.rank("s", self._usable, request.key)
        ranked = [self._by_id[name].server for name in ranking]
        server = self._policy.pick(
            self._usable,
            ranked,
            lambda item: host.loads.estimate(item.id, now),
            request.kind.priority,
        )
        if server is None:
            self._retry_or_refuse(request)
            return
        delay_s = (
            SAME_REGION_DELAY_S
            if server.data_centre == host.region
            else OTHER_REGION_DELAY_S
        )
        host.loads.begin(server.id)
        simulated = self._by_id[server.id]
        deadline_at = request.started_at + request.kind.deadline_s

        def on_end(when: float, ran: bool) -> None:
            report = (simulated.running, len(simulated.waiting))
            deliver = lambda: self._handle_response(request, server, ran, now, report)
            self._schedule(when + delay_s, deliver)

        job = Job(request.key, request.kind.work_s, deadline_at, on_end)
        self._schedule(now + delay_s, lambda: simulated.submit(job, self._now))

    def _handle_response(
        self,
        request: _Request,
        server: Server,
        ran: bool,
        sent_at: float,
        report: tuple[int, int],
    ) -> None:
        host, now = request.host, self._now
        host.loads.record_report(server.id, *report, None, now)
        host.loads.end(server.id)
        if not ran:
            self._retry_or_refuse(request)
            return
        host.response_times.record("s", now - sent_at)
        elapsed_s = now - request.started_at
        if elapsed_s <= request.kind.target_latency_s:
            self.result.on_time += 1
            self._window(request)[0] += request.kind.worth
        elif elapsed_s <= request.kind.deadline_s:
            self.result.late += 1
            self._window(request)[0] += LATE_WORTH_RATIO * request.kind.worth
        else:
            self.result.refused += 1

    def _retry_or_refuse(self, request: _Request) -> None:
        """Schedule another send with jitter, or count the request as refused."""
        wait_s = self._policy.retry_after_s
        if wait_s is None:
            wait_s = request.host.response_times.expected_wait_s("s")
        wait_s *= self._rng.uniform(0.7, 1.3)
        left_s = request.started_at + request.kind.deadline_s - self._now
        if request.sends < MAX_SENDS and left_s > 0:
            self._schedule(
                self._now + min(wait_s, left_s / 3), lambda: self._send(request)
            )
        else:
            self.result.refused += 1

    def _window(self, request: _Request) -> list[float]:
        return self.result.windows.setdefault(
            int(request.started_at // WINDOW_S), [0.0, 0.0]
        )


def simulate(load: Load, policy: Policy, seconds: float, seed: int) -> Result:
    """Simulate a load under a policy; the same seed gives the same result.

    :param seconds: how long callers create requests.
    :param seed: seed of all random numbers.
    """
    return _Simulation(load, policy, seconds, seed).run()
