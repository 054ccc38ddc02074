"""Measure refusals within the rate in a fleet on a simulated clock.

The decisions are those of the product. Only the clock and the messages are simulated,
so that a run is repeatable and its figures do not depend on the machine.
"""

from collections.abc import Callable, Sequence
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
DEMAND_UPDATE_INTERVAL_S = 0.25
MIN_LOAN_REQUEST_INTERVAL_S = 0.1
MAX_WAIT_S = 0.25
FENCE_S = 3.0
MARGIN_S = 0.5
WARM_UP_S = 20.0


@dataclass(frozen=True, slots=True)
class LoanCase:
    """Parameters of one simulation.

    :param demand: request rate of each customer's callers as a multiple of its rate.
    :param host_choice: how callers choose hosts: ``lookup``, ``uneven`` or ``random``.
    :param policy: ``loans`` or the baseline ``static``, which makes no loans.
    :param one_way_s: one-way latency between regions, in seconds.
    :param kill_at_s: when one host crashes, in seconds of the measured time.
    :param region_loss_at_s: when all hosts of a region crash, in seconds of the
        measured time.
    :param seconds: measured time, in seconds.
    :param rates: rate of each customer, in requests per second.
    :param flood_demand: demand of the third customer; 0 leaves it at ``demand``.
    """

    name: str
    demand: float = 0.95
    host_choice: str = "lookup"
    policy: str = "loans"
    one_way_s: float = 0.012
    kill_at_s: float = inf
    region_loss_at_s: float = inf
    seconds: float = 20.0
    host_count: int = 12
    rates: tuple[float, ...] = (300.0, 240.0, 180.0, 80.0, 60.0, 50.0, 40.0, 30.0)
    flood_demand: float = 0.0


@dataclass(slots=True)
class LoanResult:
    """Counts of the requests that one central bucket would admit, and of all served.

    :param waited: served requests that waited for tokens.
    :param loan_requests: messages that asked a peer for tokens.
    :param max_excess: largest number of requests served above rate and burst.
    :param by_customer: for each customer, requests within the rate and how many of
        them were refused.
    """

    within_rate: int = 0
    refused_within_rate: int = 0
    served: int = 0
    waited: int = 0
    loan_requests: int = 0
    max_excess: float = 0.0
    by_customer: dict[str, list[int]] = field(default_factory=dict)

    @property
    def refused_fraction(self) -> float:
        """Fraction of the requests within the rate that was refused."""
        return self.refused_within_rate / self.within_rate if self.within_rate else 0.0


@dataclass(eq=False)
class _SimulatedHost:
    name: str
    region: str
    limit_table: LimitTable
    hints: HintTable
    is_alive: bool = True
    sequence: int = 0
    urgent_loans: UrgentLoanRequests = field(init=False)

    def __post_init__(self) -> None:
        self.urgent_loans = UrgentLoanRequests(self.limit_table, self.hints)


class LoanSimulation:
    """Simulation of one case."""

    def __init__(self, case: LoanCase, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.now = 1_000.0
        self.result = LoanResult()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._hosts = self._make_hosts()
        self._measured_from = self.now + WARM_UP_S
        self._measured_until = self._measured_from + case.seconds
        self._view = self._make_view()
        self._reference_buckets = {
            f"c{n}": TokenBucket(
                rate=rate, depth=self._burst(rate), updated_at=self.now
            )
            for n, rate in enumerate(case.rates)
        }
        self._bucket_levels: dict[str, float] = dict.fromkeys(
            self._reference_buckets, 0.0
        )
        self._levels_updated_at: dict[str, float] = dict.fromkeys(
            self._reference_buckets, self.now
        )

    def run(self) -> LoanResult:
        """Run the simulation to its end."""
        for host in self._hosts:
            host.limit_table.refresh(self._view)
            self._schedule_after(
                self.rng.random() * HEARTBEAT_S, self._send_heartbeats, host
            )
            self._schedule_after(
                self.rng.random() * DEMAND_UPDATE_INTERVAL_S, self._update_demand, host
            )
        for number, rate in enumerate(self.case.rates):
            self._start_request(f"c{number}", rate)
        self._schedule_at(
            self._measured_from + self.case.kill_at_s, self._kill_hosts, self._hosts[:1]
        )
        lost_hosts = [n for n in self._hosts if n.region == "r0"]
        self._schedule_at(
            self._measured_from + self.case.region_loss_at_s,
            self._kill_hosts,
            lost_hosts,
        )
        while self._events and self._events[0][0] <= self._measured_until:
            self.now, _, action = heappop(self._events)
            action()
        return self.result

    def _burst(self, rate: float) -> float:
        return rate

    def _make_hosts(self) -> list[_SimulatedHost]:
        members = tuple(
            RosterHost(f"h{n:02d}", "1", f"r{n % 3}", f"r{n % 3}-{n // 3 % 2}")
            for n in range(self.case.host_count)
        )
        roster = RosterView(1, members)
        hosts = []
        for member in members:
            window = GenerationWindow(member.identity, 5.0)
            window.apply_roster(roster, [], [], self.now)
            limit_table = LimitTable(member.identity, window, lambda: self.now)
            hosts.append(
                _SimulatedHost(member.identity, member.region, limit_table, HintTable())
            )
        return hosts

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

    def _schedule_after(self, delay_s: float, action: Callable, *args: object) -> None:
        self._schedule_at(self.now + delay_s, action, *args)

    def _schedule_at(self, at: float, action: Callable, *args: object) -> None:
        if at < inf:
            heappush(
                self._events, (at, next(self._event_numbers), lambda: action(*args))
            )

    def _kill_hosts(self, hosts: list[_SimulatedHost]) -> None:
        for host in hosts:
            host.is_alive = False
        # The roster removes them once a majority has received nothing from them for
        # the hold time, and their shares are free after another hold time.
        self._schedule_after(2 * (FENCE_S + MARGIN_S), self._remove_hosts, hosts)

    def _remove_hosts(self, hosts: list[_SimulatedHost]) -> None:
        removed_names = {host.name for host in hosts}
        for host in self._hosts:
            current = host.limit_table.window.current
            remaining = tuple(
                m for m in current.members if m.identity not in removed_names
            )
            roster = RosterView(current.generation + 1, remaining)
            window = GenerationWindow(host.name, 5.0)
            window.apply_roster(roster, [], [], self.now)
            host.limit_table.window = window
            host.limit_table.refresh(self._view)

    def _update_demand(self, host: _SimulatedHost) -> None:
        if host.is_alive:
            host.limit_table.update_demand()
            host.limit_table.extend_shares(self.now + FENCE_S)
            self._schedule_after(DEMAND_UPDATE_INTERVAL_S, self._update_demand, host)

    def _send_heartbeats(self, host: _SimulatedHost) -> None:
        if not host.is_alive:
            return
        self._schedule_after(
            HEARTBEAT_S * self.rng.uniform(0.9, 1.1), self._send_heartbeats, host
        )
        requests = {}
        if self.case.policy == "loans":
            requests = plan_loan_requests(host.limit_table, host.hints, {})
        for peer in self._hosts:
            if peer is not host:
                self._exchange_messages(host, peer, requests.get(peer.name, []))

    def _exchange_messages(
        self, host: _SimulatedHost, peer: _SimulatedHost, requests: list
    ) -> int:
        host.sequence += 1
        sequence, sent_at = host.sequence, self.now
        delay_s = self._one_way_delay_s(host, peer)
        self.result.loan_requests += bool(requests)

        def handle_message() -> None:
            if not peer.is_alive:
                return
            grants = grant_loans(
                peer.limit_table, peer.hints, host.name, requests, sequence
            )
            hints = collect_spare_hints(peer.limit_table)
            self._schedule_after(delay_s, handle_response, grants, hints)

        def handle_response(grants: list, hints: list) -> None:
            if host.is_alive:
                apply_grants(host.limit_table, peer.name, sequence, grants, sent_at)
                host.hints.record(peer.name, hints, self.now)
                host.urgent_loans.record_end(sequence)

        def handle_timeout() -> None:
            host.urgent_loans.record_end(sequence)

        self._schedule_after(delay_s, handle_message)
        self._schedule_after(PEER_CALL_TIMEOUT_S, handle_timeout)
        return sequence

    def _one_way_delay_s(self, host: _SimulatedHost, peer: _SimulatedHost) -> float:
        return 0.001 if host.region == peer.region else self.case.one_way_s

    def _start_request(self, customer: str, rate: float) -> None:
        demand = self.case.demand
        if self.case.flood_demand and customer == "c2":
            demand = self.case.flood_demand
        self._schedule_after(
            self.rng.expovariate(rate * demand), self._start_request, customer, rate
        )
        is_within_rate = self._reference_buckets[customer].take(1.0, self.now)
        self._attempt_request(
            customer, self._choose_host(customer), is_within_rate, self.now, -inf
        )

    def _choose_host(self, customer: str) -> _SimulatedHost:
        live_hosts = [host for host in self._hosts if host.is_alive]
        if self.case.host_choice == "random":
            return self.rng.choice(live_hosts)
        if self.case.host_choice == "uneven":
            pool = live_hosts[:2] if self.rng.random() < 0.8 else live_hosts[2:]
            return self.rng.choice(pool)
        region = f"r{self.rng.randrange(3)}"
        entry_hosts = [EntryHost(n.name, n.name, n.region, "", 1.0) for n in live_hosts]
        nearest = rank_hosts(entry_hosts, region, "", customer, {}, SteeringPolicy())[0]
        return next(host for host in live_hosts if host.name == nearest.host)

    def _attempt_request(
        self,
        customer: str,
        host: _SimulatedHost,
        is_within_rate: bool,
        started_at: float,
        requested_at: float,
    ) -> None:
        limit = customer_limit_name(customer)
        is_first_attempt = started_at == self.now
        taken = (
            host.limit_table.take(limit, 1.0)
            if is_first_attempt
            else host.limit_table.retry_take(limit, 1.0)
        )
        if taken or not host.is_alive:
            self._record_result(customer, is_within_rate, taken, started_at)
            return
        if self.case.policy != "loans" or self.now >= started_at + MAX_WAIT_S:
            self._record_result(customer, is_within_rate, False, started_at)
            return
        if self.now - requested_at >= MIN_LOAN_REQUEST_INTERVAL_S:
            requested_at = self.now
            has_requested = self._request_urgent_loans(host, limit)
            retry_after_s = host.limit_table.retry_after(limit, 1.0)
            if not has_requested and self.now + retry_after_s > started_at + MAX_WAIT_S:
                self._record_result(customer, is_within_rate, False, started_at)
                return
        self._schedule_after(
            0.005,
            self._attempt_request,
            customer,
            host,
            is_within_rate,
            started_at,
            requested_at,
        )

    def _request_urgent_loans(self, host: _SimulatedHost, limit: str) -> bool:
        if not host.urgent_loans.may_succeed(limit):
            return False
        if host.urgent_loans.try_start(limit):
            plan = plan_loan_requests(host.limit_table, host.hints, {limit: 1.0})
            hosts_by_name = {peer.name: peer for peer in self._hosts}
            sequences = [
                self._exchange_messages(host, hosts_by_name[n], plan[n]) for n in plan
            ]
            host.urgent_loans.record_sent(limit, sequences)
        return True

    def _record_result(
        self, customer: str, is_within_rate: bool, served: bool, started_at: float
    ) -> None:
        if served:
            self._record_excess(customer)
        if started_at < self._measured_from:
            return
        counts = self.result.by_customer.setdefault(customer, [0, 0])
        if is_within_rate:
            self.result.within_rate += 1
            self.result.refused_within_rate += not served
            counts[0] += 1
            counts[1] += not served
        self.result.served += served
        self.result.waited += served and self.now > started_at

    def _record_excess(self, customer: str) -> None:
        rate = self._reference_buckets[customer].rate
        elapsed = self.now - self._levels_updated_at[customer]
        level = max(0.0, self._bucket_levels[customer] - elapsed * rate) + 1.0
        self._bucket_levels[customer] = level
        self._levels_updated_at[customer] = self.now
        excess = level - self._burst(rate)
        self.result.max_excess = max(self.result.max_excess, excess)


CASES = [
    LoanCase("look-ups, loans"),
    LoanCase("look-ups, static", policy="static"),
    LoanCase("80 % on two hosts, loans", host_choice="uneven"),
    LoanCase("80 % on two hosts, static", host_choice="uneven", policy="static"),
    LoanCase("any host, loans", host_choice="random"),
    LoanCase("any host, static", host_choice="random", policy="static"),
    LoanCase("look-ups, loans, 35 ms", one_way_s=0.035),
    LoanCase("one host killed", kill_at_s=1.0, seconds=31.0),
    LoanCase("a region lost", region_loss_at_s=1.0, seconds=31.0),
    LoanCase("one customer at 5 times", flood_demand=5.0),
    LoanCase(
        "small customers, 60 %", demand=0.6, rates=(3.0, 4.0, 5.0, 6.0, 8.0, 18.0)
    ),
]
SMALLEST_CASE = LoanCase("2 hosts, 1 s", seconds=1.0, host_count=2, rates=(30.0,))


def main(cases: Sequence[LoanCase] = CASES, words: Sequence[str] = ()) -> None:
    """Print one row for each case whose name contains a word.

    Without words, all cases run.
    """
    print(f"{'case':28}{'in rate':>9}{'refused':>9}{'part %':>8}{'waited':>8}", end="")
    print(f"{'asks/s':>8}{'excess':>8}")
    for case in cases:
        if words and not any(word in case.name for word in words):
            continue
        totals = LoanSimulation(case, seed=1).run()
        print(
            f"{case.name:28}{totals.within_rate:9d}{totals.refused_within_rate:9d}"
            f"{100 * totals.refused_fraction:8.3f}{totals.waited:8d}"
            f"{totals.loan_requests / case.seconds:8.1f}{totals.max_excess:8.2f}"
        )


if __name__ == "__main__":
    main(words=argv[1:])
