"""Steps about a small service that has to recover from full queues.

Servers are those of the lab. One set of decisions stands for all hosts, which know the
loads of the servers as of a moment ago.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from behave import given, then, when

from damasktally.decisions.affinity import rank_servers
from damasktally.decisions.diversion import Diversions
from damasktally.decisions.server_selection import choose_server, rank_by_load
from damasktally.fleet.model import Server
from damasktally.lab.servers import Job, SimulatedServer

SERVICE = "svc"
REGION_SIZES = {"north": 1, "middle": 2, "south": 3}
WORK_S = 0.64
REPORT_AGE_S = 0.4
TICK_S = 0.2
PRIORITY = 1
RETURN_S = 0.6
"""Seconds after which a refused caller returns, once."""


class SmallService:
    """Run requests on simulated servers and count those that end in time."""

    def __init__(self, slots, queue, max_warm_objects):
        self.rng = Random(1)
        self.now = 0.0
        self.queue = queue
        self.events = []
        self.numbers = count()
        self.diversions = Diversions()
        self.regions = {
            region: [
                Server(f"i-{region}-{n}", SERVICE, ("", 0), region, slots, False, 0, 1)
                for n in range(size)
            ]
            for region, size in REGION_SIZES.items()
        }
        self.servers = {
            server.id: SimulatedServer(
                server, self.schedule, self.rng, max_warm_objects=max_warm_objects
            )
            for group in self.regions.values()
            for server in group
        }
        self.loads = dict.fromkeys(self.servers, 0)
        self.results = []

    def schedule(self, at, call):
        heappush(self.events, (at, next(self.numbers), call))

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heappop(self.events)
            call()
        self.now = end

    def tick(self):
        """Pass the present loads on to the hosts after some time."""
        held = {n: s.running + len(s.waiting) for n, s in self.servers.items()}
        self.schedule(self.now + REPORT_AGE_S, lambda: self.apply(held))
        self.schedule(self.now + TICK_S, self.tick)

    def apply(self, held):
        self.loads = held
        ratios = {n: held[n] / self.servers[n].server.slots for n in held}
        self.diversions.update(SERVICE, ratios, len(ratios), self.now)

    def submit(self, server, key, on_end):
        if len(server.waiting) >= self.queue:
            on_end(self.now, False)
            return
        server.submit(Job(key, WORK_S, self.now + 3.0, on_end), self.now)

    def arrive(self, key, started_at, may_return):
        region = self.rng.choice(list(REGION_SIZES))
        server = self.choose(region, key)

        def end(now, ran):
            if not ran and may_return:
                back_at = now + RETURN_S * self.rng.uniform(0.7, 1.3)
                self.schedule(back_at, lambda: self.arrive(key, started_at, False))
            else:
                self.results.append((started_at, ran and now - started_at))

        if server is None:
            end(self.now, False)
        else:
            self.submit(self.servers[server.id], key, end)

    def choose(self, region, key):
        by_id = {name: item.server for name, item in self.servers.items()}
        if key is None:
            ranked = rank_by_load(
                list(by_id.values()),
                lambda server: self.loads[server.id],
                lambda server: server.data_centre == region,
                self.rng,
            )
        else:
            order = rank_servers(key, region, self.regions, len(self.regions))
            order = self.diversions.reorder(SERVICE, order, key)
            ranked = [by_id[name] for name in order]
        return choose_server(
            ranked,
            lambda server: self.loads[server.id],
            PRIORITY,
            is_service_full=self.diversions.is_service_full(SERVICE),
        )


@given(
    "{servers:d} servers with {slots:d} slots and a queue of {queue:d} that stay warm "
    "for {objects:d} objects"
)
def given_service(context, servers, slots, queue, objects):
    context.service = SmallService(slots, queue, objects)
    assert len(context.service.servers) == servers


@given("all queues are full of requests for objects that no server is warm for")
def given_full_queues(context):
    service = context.service
    for server in service.servers.values():
        for number in range(server.server.slots + service.queue):
            service.submit(server, b"other-%d" % number, lambda now, ran: None)
    service.tick()
    service.apply({n: s.running + len(s.waiting) for n, s in service.servers.items()})


@when(
    "{rate:d} requests a second for {objects:d} objects, of which a tenth concern "
    "none, arrive for {seconds:d} s"
)
def when_requests_arrive(context, rate, objects, seconds):
    service = context.service
    context.end = seconds
    arrivals = Random(2)
    at = 0.0
    while at < seconds:
        at += arrivals.expovariate(rate)
        number = arrivals.randrange(objects)
        key = None if arrivals.random() < 0.1 else b"%d" % number
        service.schedule(at, lambda at=at, key=key: service.arrive(key, at, True))
    service.run_until(seconds + 5.0)


@then(
    "at least {percent:d} % of the requests of the last {window:d} s end within "
    "{limit:g} s"
)
def then_recovered(context, percent, window, limit):
    last = [
        seconds
        for started_at, seconds in context.service.results
        if started_at >= context.end - window
    ]
    in_time = sum(seconds is not False and seconds <= limit for seconds in last)
    assert in_time >= percent / 100 * len(last), (in_time, len(last))
