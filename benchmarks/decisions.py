"""Measure the cost of single decisions and tables, at present and planned sizes."""

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from random import Random
from statistics import median
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from damasktally.clock import seconds_since_boot
from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.hints import HintTable, SpareHint
from damasktally.escrow.lending import collect_spare_hints, plan_loan_requests
from damasktally.escrow.limit_table import LimitTable, customer_limit_name
from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.escrow.slots import SlotTable
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.peers.peer_pb2 import Endpoint, Heartbeat, HeartbeatAnswer, Spare
from damasktally.resources.kinds import SteeringPolicy
from damasktally.resources.view import View
from damasktally.steering.dispatcher import Dispatcher, Waiter
from damasktally.steering.health import HealthTable
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the measurement.

    :param rounds: rounds of each action.
    :param max_count: most runs of an action in a round.
    :param client_block_count: blocks of addresses in the client table.
    :param is_planned_included: measure planned sizes, not only present ones.
    """

    rounds: int = 7
    max_count: int = 5_000
    client_block_count: int = 390_000
    is_planned_included: bool = True

    def select(self, *sizes: int) -> tuple[int, ...]:
        """Return the sizes to measure, of which the first is the present one."""
        return sizes if self.is_planned_included else sizes[:1]


FULL_SIZE = Size()
SMALLEST_SIZE = Size(1, 1, 200, False)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one decision over several rounds, in microseconds."""

    name: str
    min_us: float
    median_us: float
    max_us: float

    def __str__(self) -> str:
        return (
            f"{self.name:44} min {self.min_us:9.2f}  median {self.median_us:9.2f}  "
            f"max {self.max_us:9.2f} us"
        )


def measure_cost(
    name: str, action: Callable[[], object], count: int, size: Size
) -> Cost:
    """Measure an action in several rounds.

    :param count: how often the action runs in a round, unless the size allows fewer.
    :returns: the cost of one run.
    """
    action()
    rounds = []
    count = min(count, size.max_count)
    for _ in range(size.rounds):
        started_at = perf_counter()
        for _ in range(count):
            action()
        rounds.append(1e6 * (perf_counter() - started_at) / count)
    return Cost(name, min(rounds), median(rounds), max(rounds))


def make_view(customers: int, servers: int) -> View:
    """Return a view with a number of customers and of servers in one pool."""
    specs = [("Pool", "p", {})]
    for n in range(customers):
        specs.append(("Customer", f"c{n}", {"rate": 100.0, "burst": 100.0}))
    for n in range(servers):
        location = {"region": f"r{n % 3}", "data_centre": f"r{n % 3}-{n // 3 % 2}"}
        spec = {"pool": "p", "address": "127.0.0.1:1", "slots": 4, **location}
        specs.append(("BackendServer", f"s{n}", spec))
    events = [
        ChangeEvent(object=StoredObject(kind=k, name=n, revision=i + 1, spec=s))
        for i, (k, n, s) in enumerate(specs)
    ]
    return View().apply(events)


def make_roster(hosts: int) -> RosterView:
    """Return a roster with a number of hosts in three regions."""
    members = tuple(
        RosterHost(f"h{n:02d}", "1", f"r{n % 3}", f"r{n % 3}-{n // 3 % 2}")
        for n in range(hosts)
    )
    return RosterView(1, members)


def make_limit_table(view: View, hosts: int = 12) -> LimitTable:
    """Return the limit table of one host in a fleet.

    :param hosts: number of hosts in the fleet.
    """
    window = GenerationWindow("h00/1", 5.0)
    window.apply_roster(make_roster(hosts), [], [], 0.0)
    limit_table = LimitTable("h00/1", window, seconds_since_boot)
    limit_table.refresh(view)
    limit_table.extend_shares(seconds_since_boot() + 1e6)
    return limit_table


def make_dispatcher(view: View) -> Dispatcher:
    """Return a dispatcher that owns its share of the slots among 12 hosts."""
    window = GenerationWindow("h00/1", 35.0)
    window.apply_roster(make_roster(12), [], [], 0.0)
    table = SlotTable(30.0, share_expires_at=1e12)
    health = HealthTable(seconds_since_boot, Random(1))
    dispatcher = Dispatcher(
        "r0", "r0-0", seconds_since_boot, Random(1), table, health, lambda: view
    )
    dispatcher.refresh(view, window, "h00/1")
    return dispatcher


def measure_admit(size: Size) -> None:
    """Print the cost of taking a token, by number of customers."""
    for customers in size.select(8, 5_000):
        limit_table = make_limit_table(make_view(customers, 0))
        limit = customer_limit_name("c3")
        admit = lambda e=limit_table, name=limit: e.take(name, 0)
        print(measure_cost(f"admit, {customers} customers", admit, 5_000, size))


def measure_choose(size: Size) -> None:
    """Print the cost of acquiring and releasing a slot, by number of servers."""
    for servers in size.select(42, 660):
        dispatcher = make_dispatcher(make_view(0, servers))

        def choose(owner: Dispatcher = dispatcher) -> None:
            waiter = Waiter("c", 1.0, 5.0, SteeringPolicy(), frozenset())
            owner.acquire("p", waiter, 0.1, 10)
            owner.release("p", waiter)

        print(measure_cost(f"choose a server, {servers} servers", choose, 500, size))


def measure_lookup(size: Size) -> None:
    """Print the cost of a look-up's decision, and the memory of the client table."""
    rng = Random(1)
    for hosts in size.select(12, 112):
        entries = [
            EntryHost(f"h{n}", "a", f"r{n % 3}", f"r{n % 3}-{n % 2}", 1.0)
            for n in range(hosts)
        ]
        policy = SteeringPolicy()
        rank = lambda e=entries, p=policy: rank_hosts(e, "r1", "r1-1", "c", {}, p)
        print(measure_cost(f"rank entry hosts, {hosts} hosts", rank, 300, size))
    blocks = [
        (f"{ip_address(n << 11)}/{rng.choice((21, 22, 24))}", f"d{n % 660}")
        for n in range(size.client_block_count)
    ]
    start()
    table = ClientTable(blocks)
    table_bytes, _ = get_traced_memory()
    stop()
    print(f"client table, {size.client_block_count} blocks: {table_bytes / 1e6:.1f} MB")
    addresses = [str(ip_address(rng.getrandbits(29))) for _ in range(1_000)]
    indexes = iter(range(10**9))
    find_block = lambda: table.find(addresses[next(indexes) % 1_000])
    print(
        measure_cost(
            f"find a client's block, {size.client_block_count} blocks",
            find_block,
            5_000,
            size,
        )
    )


def measure_control(size: Size) -> None:
    """Print the cost of control work, by number of hosts, customers and servers."""
    for customers in size.select(8, 100, 1_000):
        limit_table = make_limit_table(make_view(customers, 0))
        for entry in limit_table.entries.values():
            entry.demand.record(50.0)
        limit_table.update_demand()
        hints = HintTable()
        for n in range(1, 12):
            spares = [SpareHint(name, 1.0, 1.0) for name in limit_table.entries]
            hints.record(f"h{n:02d}/1", spares, seconds_since_boot())
        plan = lambda e=limit_table, h=hints: plan_loan_requests(e, h, {})
        print(measure_cost(f"plan loans, {customers} active customers", plan, 5, size))
        spare = lambda e=limit_table: collect_spare_hints(e)
        print(measure_cost(f"describe spares, {customers} customers", spare, 5, size))
    for customers in size.select(8, 1_000):
        response = HeartbeatAnswer(sender=Endpoint(host="h01", incarnation="0" * 12))
        for n in range(customers):
            response.spares.append(
                Spare(limit=f"customer:c{n}", demand=1.5, tokens=2.5)
            )
        response_bytes = len(response.SerializeToString())
        print(f"heartbeat answer, {customers} active customers: {response_bytes} bytes")
    print(f"heartbeat without asks: {len(Heartbeat().SerializeToString()) + 60} bytes")
    for hosts in size.select(12, 112):
        window = GenerationWindow("h00/1", 5.0)
        window.apply_roster(make_roster(hosts), [], [], 0.0)
        find_smallest = lambda w=window: w.smallest_share(
            lambda r: r.rate_share("h00/1"), 1.0
        )
        print(measure_cost(f"smallest share, {hosts} hosts", find_smallest, 200, size))
    for servers in size.select(42, 660):
        view = make_view(8, servers)
        obj = next(iter(view.objects["BackendServer"].values())).stored
        change = ChangeEvent(object=obj.model_copy(update={"revision": 10**6}))
        apply = lambda v=view, c=change: v.apply([c])
        print(measure_cost(f"apply a change, {servers} servers", apply, 20, size))


def main(size: Size = FULL_SIZE) -> None:
    """Print all tables."""
    measure_admit(size)
    measure_choose(size)
    measure_lookup(size)
    measure_control(size)


if __name__ == "__main__":
    main()
