"""Steps about objects that leave overloaded servers: a fluid model of their loads.

The load of a server is the rate of its objects times the time of a request. Nothing is
simulated request by request.
"""

from collections import Counter
from random import Random

from behave import given, then, when

from damasktally.decisions.affinity import rank_servers
from damasktally.decisions.diversion import Diversions
from damasktally.decisions.server_selection import rank_by_load
from damasktally.fleet.model import Server

SERVICE = "svc"
STEP_S = 0.25
REGIONS = ("a", "b", "c")


class FluidLoad:
    """Hold servers, the rankings of objects and the loads that follow from them."""

    def __init__(self, counts, slots, objects, rate, run_s, home=None):
        self.slots, self.rate, self.run_s = slots, rate, run_s
        self.regions = {
            region: [
                Server(f"i-{region}{n}", SERVICE, ("", 0), region, slots, False, 0, 1)
                for n in range(count)
            ]
            for region, count in zip(REGIONS, counts, strict=False)
        }
        self.keys = [b"%d" % n for n in range(objects)]
        self.rankings = {
            key: rank_servers(key, home or "a", self.regions, len(counts))
            for key in self.keys
        }
        self.hosts = [Diversions(), Diversions()]
        self.now = 0.0
        self.history = [self.first_choices()]

    @property
    def server_count(self):
        return sum(len(group) for group in self.regions.values())

    def first_choices(self, host=0):
        reorder = self.hosts[host].reorder
        return {key: reorder(SERVICE, self.rankings[key], key)[0] for key in self.keys}

    def loads(self):
        loads = {}
        for server in self.history[-1].values():
            loads[server] = loads.get(server, 0.0) + self.rate * self.run_s / self.slots
        return loads

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            loads = self.loads()
            for host in self.hosts:
                host.update(SERVICE, loads, self.server_count, self.now)
            self.history.append(self.first_choices())


@given(
    "{servers:d} servers with {slots:d} slots and {objects:d} objects of {rate:g} "
    "requests a second, {run_s:g} s each"
)
def given_servers(context, servers, slots, objects, rate, run_s):
    context.model = FluidLoad([servers], slots, objects, rate, run_s)


@given(
    "{servers:d} servers in regions of {first:d}, {second:d} and {third:d} with "
    "{slots:d} slots and {objects:d} objects of {rate:g} requests a second, {run_s:g} "
    "s each"
)
def given_regions(context, servers, first, second, third, slots, objects, rate, run_s):
    assert first + second + third == servers
    context.arguments = ([first, second, third], slots, objects, rate, run_s)


@given("the objects of a third of the callers prefer the smallest region")
def given_third(context):
    context.model = FluidLoad(*context.arguments, home="a")
    for position, key in enumerate(context.model.keys):
        home = REGIONS[position % len(REGIONS)]
        regions = context.model.regions
        context.model.rankings[key] = rank_servers(key, home, regions, 1)
    context.model.history = [context.model.first_choices()]


@given("{servers:d} servers of which each has three times as many requests as slots")
def given_overloaded(context, servers):
    context.model = FluidLoad([servers], 6, 300, 1.0, 1.0)
    ids = [server.id for server in context.model.regions["a"]]
    context.model.loads = lambda: dict.fromkeys(ids, 3.0)


@given(
    "{servers:d} servers of which {count:d} have five times as many requests as slots"
)
def given_few_overloaded(context, servers, count):
    context.model = FluidLoad([servers], 6, 1, 1.0, 1.0)
    context.overloaded = context.model.rankings[b"0"][:count]
    context.model.loads = lambda: dict.fromkeys(context.overloaded, 5.0)


@when("{seconds:g} s pass")
def when_time_passes(context, seconds):
    context.model.advance(seconds)


@when("the requests fall to a tenth")
def when_demand_falls(context):
    context.model.rate /= 10


@then("the busiest server has over {ratio:g} times as many requests as slots")
def then_busiest_above(context, ratio):
    assert max(context.model.loads().values()) > ratio


@then("no server has over {ratio:g} times as many requests as slots")
def then_busiest_below(context, ratio):
    loads = context.model.loads()
    assert max(loads.values()) <= ratio, sorted(loads.values())[-5:]


@then("at most {percent:d} % of the requests changed their server within any 2 s")
def then_changes_are_slow(context, percent):
    history = context.model.history
    steps = round(2 / STEP_S)
    for before, after in zip(history, history[steps:], strict=False):
        changed = sum(before[key] != after[key] for key in before)
        assert changed <= percent / 100 * len(before), changed


@then("a second host that received the same loads ranks every object alike")
def then_hosts_agree(context):
    assert context.model.first_choices(0) == context.model.first_choices(1)


@then("no object is diverted")
def then_nothing_diverted(context):
    model = context.model
    assert model.first_choices() == {key: model.rankings[key][0] for key in model.keys}
    assert model.hosts[0].diverted_count() == 0


@then("an object that prefers these {count:d} is still ranked, each of them once")
def then_still_ranked(context, count):
    ranked = context.model.hosts[0].reorder(SERVICE, context.model.rankings[b"0"], b"0")
    assert sorted(ranked) == sorted(context.model.rankings[b"0"])
    assert set(context.overloaded) <= set(ranked)


@when(
    "{count:d} hosts that know no loads choose a server for a request without an object"
)
def when_hosts_choose(context, count):
    servers = context.model.regions["a"]
    context.chosen = Counter(
        rank_by_load(servers, lambda _: 0.0, lambda _: True, Random(seed))[0].id
        for seed in range(count)
    )


@then("no server gets over {ratio:d} times the mean")
def then_even(context, ratio):
    mean = context.chosen.total() / context.model.server_count
    assert max(context.chosen.values()) <= ratio * mean, context.chosen


@then("a request without an object prefers a near server, but not a busier one")
def then_near_first(context):
    servers = context.model.regions["a"]
    busy, near = servers[0].id, {servers[0].id, servers[1].id}
    ranked = rank_by_load(
        servers,
        lambda server: 3.0 * (server.id == busy),
        lambda server: server.id in near,
        Random(1),
    )
    assert ranked[0].id == servers[1].id
    assert ranked[-1].id == busy
