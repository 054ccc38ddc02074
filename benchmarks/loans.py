"""Measure refusals inside the rate: ledgers of a fleet on a simulated clock.

The decisions are the real ones; only clock and messages are simulated, so that a
run is repeatable and its figures do not depend on the machine.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from sys import argv

from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.hints import HintTable
from damasktally.escrow.lending import (
    apply_grants,
    collect_spare_hints,
    grant_loans,
    plan_loan_requests,
)
from damasktally.escrow.limit_table import LimitTable, customer_limit_name
from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.escrow.urgent_loans import UrgentLoanRequests
from damasktally.host.member import PEER_CALL_TIMEOUT_S
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.resources.kinds import SteeringPolicy
from damasktally.resources.view import View
from damasktally.steering.lookup import EntryHost, rank_hosts

HEARTBEAT_S = 1.0
TICK_S = 0.25
ASK_GAP_S = 0.1
WAIT_S = 0.25
FENCE_S = 3.0
MARGIN_S = 0.5
WARM_UP_S = 20.0


@dataclass(frozen=True, slots=True)
class LoanCase:
    """Describe one measurement.

    :param demand: part of each customer's rate that its callers ask for.
    :param spread: how callers choose hosts: ``lookup``, ``uneven`` or ``random``.
    :param policy: ``loans`` or the baseline ``static``.
    :param kill_at: when one host dies, in seconds of the measured time.
    """

    name: str
    demand: float = 0.95
    spread: str = "lookup"
    policy: str = "loans"
    one_way_s: float = 0.012
    kill_at: float = inf
    lost_region_at: float = inf
    seconds: float = 20.0
    hosts: int = 12
    rates: tuple[float, ...] = (300.0, 240.0, 180.0, 80.0, 60.0, 50.0, 40.0, 30.0)
    flood: float = 0.0


@dataclass(slots=True)
class LoanResult:
    """Count what became of the requests that one central bucket would admit."""

    inside: int = 0
    refused_inside: int = 0
    served: int = 0
    waited: int = 0
    loans: int = 0
    worst_excess: float = 0.0
    by_customer: dict[str, list[int]] = field(default_factory=dict)

    @property
    def refused_part(self) -> float:
        """Return the part of in-rate requests that was refused."""
        return self.refused_inside / self.inside if self.inside else 0.0


@dataclass(eq=False)
class _Node:
    name: str
    region: str
    limit_table: LimitTable
    hints: HintTable
    alive: bool = True
    sequence: int = 0
    urgent: UrgentLoanRequests = field(init=False)

    def __post_init__(self) -> None:
        self.urgent = UrgentLoanRequests(self.limit_table, self.hints)


class LoanRun:
    """Run one case."""

    def __init__(self, case: LoanCase, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.now = 1_000.0
        self.result = LoanResult()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._nodes = self._make_nodes()
        self._start = self.now + WARM_UP_S
        self._end = self._start + case.seconds
        self._view = self._make_view()
        self._reference = {
            f"c{n}": TokenBucket(
                rate=rate, depth=self._burst(rate), updated_at=self.now
            )
            for n, rate in enumerate(case.rates)
        }
        self._spent: dict[str, float] = dict.fromkeys(self._reference, 0.0)
        self._level_at: dict[str, float] = dict.fromkeys(self._reference, self.now)

    def run(self) -> LoanResult:
        """Run to the end."""
        for node in self._nodes:
            node.limit_table.refresh(self._view)
            self._after(self.rng.random() * HEARTBEAT_S, self._heartbeat, node)
            self._after(self.rng.random() * TICK_S, self._tick, node)
        for number, rate in enumerate(self.case.rates):
            self._arrive(f"c{number}", rate)
        self._at(self._start + self.case.kill_at, self._kill, self._nodes[:1])
        lost = [n for n in self._nodes if n.region == "r0"]
        self._at(self._start + self.case.lost_region_at, self._kill, lost)
        while self._events and self._events[0][0] <= self._end:
            self.now, _, action = heappop(self._events)
            action()
        return self.result

    def _burst(self, rate: float) -> float:
        return rate

    def _make_nodes(self) -> list[_Node]:
        members = tuple(
            RosterHost(f"h{n:02d}", "1", f"r{n % 3}", f"r{n % 3}-{n // 3 % 2}")
            for n in range(self.case.hosts)
        )
        roster = RosterView(1, members)
        nodes = []
        for member in members:
            window = GenerationWindow(member.identity, 5.0)
            window.apply_roster(roster, [], [], self.now)
            limit_table = LimitTable(member.identity, window, lambda: self.now)
            nodes.append(
                _Node(member.identity, member.region, limit_table, HintTable())
            )
        return nodes

    def _make_view(self) -> View:
        events = [
            ChangeEvent(
                object=StoredObject(
                    kind="Customer",
                    name=f"c{number}",
                    revision=number + 1,
                    spec={"rate": rate, "burst": self._burst(rate)},
                )
            )
            for number, rate in enumerate(self.case.rates)
        ]
        return View().apply(events)

    def _after(self, delay: float, action: Callable, *args: object) -> None:
        self._at(self.now + delay, action, *args)

    def _at(self, when: float, action: Callable, *args: object) -> None:
        if when < inf:
            heappush(self._events, (when, next(self._order), lambda: action(*args)))

    def _kill(self, nodes: list[_Node]) -> None:
        for node in nodes:
            node.alive = False
        # The roster drops them once a majority has not heard them for the hold time,
        # and their shares are free after that time once more.
        self._after(2 * (FENCE_S + MARGIN_S), self._remove, nodes)

    def _remove(self, nodes: list[_Node]) -> None:
        gone = {node.name for node in nodes}
        for node in self._nodes:
            current = node.limit_table.window.current
            rest = tuple(m for m in current.members if m.identity not in gone)
            roster = RosterView(current.generation + 1, rest)
            window = GenerationWindow(node.name, 5.0)
            window.apply_roster(roster, [], [], self.now)
            node.limit_table.window = window
            node.limit_table.refresh(self._view)

    def _tick(self, node: _Node) -> None:
        if node.alive:
            node.limit_table.update_demand()
            node.limit_table.extend_shares(self.now + FENCE_S)
            self._after(TICK_S, self._tick, node)

    def _heartbeat(self, node: _Node) -> None:
        if not node.alive:
            return
        self._after(HEARTBEAT_S * self.rng.uniform(0.9, 1.1), self._heartbeat, node)
        asks = {}
        if self.case.policy == "loans":
            asks = plan_loan_requests(node.limit_table, node.hints, {})
        for peer in self._nodes:
            if peer is not node:
                self._send(node, peer, asks.get(peer.name, []))

    def _send(self, node: _Node, peer: _Node, asks: list) -> int:
        node.sequence += 1
        sequence, sent_at = node.sequence, self.now
        delay = self._delay(node, peer)
        self.result.loans += bool(asks)

        def arrive() -> None:
            if not peer.alive:
                return
            grants = grant_loans(
                peer.limit_table, peer.hints, node.name, asks, sequence
            )
            hints = collect_spare_hints(peer.limit_table)
            self._after(delay, back, grants, hints)

        def back(grants: list, hints: list) -> None:
            if node.alive:
                apply_grants(node.limit_table, peer.name, sequence, grants, sent_at)
                node.hints.record(peer.name, hints, self.now)
                node.urgent.record_end(sequence)

        def give_up() -> None:
            node.urgent.record_end(sequence)

        self._after(delay, arrive)
        self._after(PEER_CALL_TIMEOUT_S, give_up)
        return sequence

    def _delay(self, node: _Node, peer: _Node) -> float:
        return 0.001 if node.region == peer.region else self.case.one_way_s

    def _arrive(self, customer: str, rate: float) -> None:
        demand = self.case.demand
        if self.case.flood and customer == "c2":
            demand = self.case.flood
        self._after(self.rng.expovariate(rate * demand), self._arrive, customer, rate)
        inside = self._reference[customer].take(1.0, self.now)
        self._request(customer, self._choose(customer), inside, self.now, -inf)

    def _choose(self, customer: str) -> _Node:
        living = [node for node in self._nodes if node.alive]
        if self.case.spread == "random":
            return self.rng.choice(living)
        if self.case.spread == "uneven":
            pool = living[:2] if self.rng.random() < 0.8 else living[2:]
            return self.rng.choice(pool)
        region = f"r{self.rng.randrange(3)}"
        hosts = [EntryHost(n.name, n.name, n.region, "", 1.0) for n in living]
        first = rank_hosts(hosts, region, "", customer, {}, SteeringPolicy())[0]
        return next(node for node in living if node.name == first.host)

    def _request(
        self,
        customer: str,
        node: _Node,
        inside: bool,
        began: float,
        asked_at: float,
    ) -> None:
        limit = customer_limit_name(customer)
        first = began == self.now
        taken = (
            node.limit_table.take(limit, 1.0)
            if first
            else node.limit_table.retry_take(limit, 1.0)
        )
        if taken or not node.alive:
            self._note(customer, inside, taken, began)
            return
        if self.case.policy != "loans" or self.now >= began + WAIT_S:
            self._note(customer, inside, False, began)
            return
        if self.now - asked_at >= ASK_GAP_S:
            asked_at = self.now
            asked = self._ask_urgently(node, limit)
            soon = node.limit_table.retry_after(limit, 1.0)
            if not asked and self.now + soon > began + WAIT_S:
                self._note(customer, inside, False, began)
                return
        self._after(0.005, self._request, customer, node, inside, began, asked_at)

    def _ask_urgently(self, node: _Node, limit: str) -> bool:
        if not node.urgent.may_succeed(limit):
            return False
        if node.urgent.try_start(limit):
            plan = plan_loan_requests(node.limit_table, node.hints, {limit: 1.0})
            by_name = {peer.name: peer for peer in self._nodes}
            sequences = [self._send(node, by_name[n], plan[n]) for n in plan]
            node.urgent.record_sent(limit, sequences)
        return True

    def _note(self, customer: str, inside: bool, served: bool, began: float) -> None:
        if served:
            self._note_excess(customer)
        if began < self._start:
            return
        counts = self.result.by_customer.setdefault(customer, [0, 0])
        if inside:
            self.result.inside += 1
            self.result.refused_inside += not served
            counts[0] += 1
            counts[1] += not served
        self.result.served += served
        self.result.waited += served and self.now > began

    def _note_excess(self, customer: str) -> None:
        rate = self._reference[customer].rate
        elapsed = self.now - self._level_at[customer]
        level = max(0.0, self._spent[customer] - elapsed * rate) + 1.0
        self._spent[customer] = level
        self._level_at[customer] = self.now
        excess = level - self._burst(rate)
        self.result.worst_excess = max(self.result.worst_excess, excess)


def main() -> None:
    """Print the table."""
    cases = [
        LoanCase("look-ups, loans"),
        LoanCase("look-ups, static", policy="static"),
        LoanCase("80 % on two hosts, loans", spread="uneven"),
        LoanCase("80 % on two hosts, static", spread="uneven", policy="static"),
        LoanCase("any host, loans", spread="random"),
        LoanCase("any host, static", spread="random", policy="static"),
        LoanCase("look-ups, loans, 35 ms", one_way_s=0.035),
        LoanCase("one host killed", kill_at=1.0, seconds=31.0),
        LoanCase("a region lost", lost_region_at=1.0, seconds=31.0),
        LoanCase("one customer at 5 times", flood=5.0),
        LoanCase(
            "small customers, 60 %", demand=0.6, rates=(3.0, 4.0, 5.0, 6.0, 8.0, 18.0)
        ),
    ]
    print(f"{'case':28}{'in rate':>9}{'refused':>9}{'part %':>8}{'waited':>8}", end="")
    print(f"{'asks/s':>8}{'excess':>8}")
    wanted = argv[1:]
    for case in cases:
        if wanted and not any(word in case.name for word in wanted):
            continue
        found = LoanRun(case, seed=1).run()
        print(
            f"{case.name:28}{found.inside:9d}{found.refused_inside:9d}"
            f"{100 * found.refused_part:8.3f}{found.waited:8d}"
            f"{found.loans / case.seconds:8.1f}{found.worst_excess:8.2f}"
        )


if __name__ == "__main__":
    main()
