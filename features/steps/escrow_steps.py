"""Steps that test token buckets, generations and slots on a simulated clock."""

from copy import deepcopy
from dataclasses import dataclass, field
from fractions import Fraction
from random import Random

from behave import given, then, when

from damasktally.escrow.generations import Departure, GenerationWindow
from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.escrow.slots import SlotLease, SlotTable
from damasktally.escrow.token_bucket import Lease, TokenBucket

STEP_COUNT = 12_000
"""Random steps of a run."""
ANSWERS_PER_STEP = 3
"""Answers that are delivered in one step, at most."""
LEASE_S = 2.0
FENCE_S = 3.0
CLOCK_DRIFT_RATIO = 0.001


@dataclass
class PendingAnswer:
    """Represent an answer with a loan that is not delivered yet."""

    borrower: int
    sequence: int
    sent_at: float
    lease: Lease
    duration_s: float
    tokens: float
    lender: str


@dataclass
class BucketSimulation:
    """Simulate hosts that share one limit, each with its token bucket.

    The hosts take tokens and lend shares at random while faults are injected. In no
    window of time may all hosts together take more than rate and burst allow.

    :param fault: name of the fault to inject, or ``every fault at once``.
    :param taken: time and amount of each take.
    """

    hosts: int
    rate: float
    burst: float
    fault: str = ""
    now: float = 0.0
    taken: list[tuple[float, float]] = field(default_factory=list)
    max_rate: float = 0.0
    max_burst: float = 0.0

    def __post_init__(self) -> None:
        self.names = [f"h{i}" for i in range(self.hosts)]
        self.buckets = [
            TokenBucket(self.rate / self.hosts, self.burst / self.hosts, 0.0, FENCE_S)
            for _ in self.names
        ]
        self.sequences = [0] * self.hosts
        self.pending_answers: list[PendingAnswer] = []
        self.paused_until = [0.0] * self.hosts
        self.max_rate, self.max_burst = self.rate, self.burst

    def injects(self, fault: str) -> bool:
        """Return whether a fault is to be injected."""
        return self.fault in (fault, "every fault at once")

    def step(self, rng: Random) -> None:
        """Advance the clock and run one random action of one host."""
        # The demand is several times the rate, so that every token is taken.
        self.now += rng.expovariate(8.0 * self.max_rate)
        index = rng.randrange(self.hosts)
        if self.injects("paused hosts") and rng.random() < 0.01:
            self.paused_until[index] = self.now + rng.uniform(0.5, 6.0)
        if self.now < self.paused_until[index]:
            return
        if not (self.injects("fenced hosts") and rng.random() < 0.7):
            self.buckets[index].extend_share(self.now + FENCE_S, self.now)
        self._inject_faults(rng, index)
        if rng.random() < 0.6:
            self._take_tokens(rng, index)
        elif rng.random() < 0.5:
            self._request_loan(rng, index)
        else:
            for _ in range(ANSWERS_PER_STEP):
                self._deliver_answer(rng)

    def _inject_faults(self, rng: Random, index: int) -> None:
        if self.injects("restarted hosts") and rng.random() < 0.01:
            self.buckets[index].reset(self.now)
            self.names[index] = f"h{index}.{self.now}"
            # A new incarnation waits until the old one's loans and share have expired.
            self.paused_until[index] = self.now + FENCE_S + LEASE_S
            self._set_share(index)
        if self.injects("changed limits") and rng.random() < 0.01:
            self.rate = rng.uniform(0.3, 1.0) * self.max_rate
            for each in range(self.hosts):
                self._set_share(each)

    def _set_share(self, index: int) -> None:
        share = 1 / self.hosts
        self.buckets[index].set_share(self.rate * share, self.burst * share, self.now)

    def _take_tokens(self, rng: Random, index: int) -> None:
        amount = rng.choice((1.0, 1.0, 2.0, 0.5))
        if self.buckets[index].take(amount, self.now):
            self.taken.append((self.now, amount))

    def _request_loan(self, rng: Random, index: int) -> None:
        lender = rng.choice([i for i in range(self.hosts) if i != index])
        if self.now < self.paused_until[lender]:
            return
        self.sequences[index] += 1
        sent_at = self.now
        wanted = Lease(
            rng.uniform(0, self.rate / self.hosts),
            rng.uniform(0, self.burst / self.hosts),
            self.now + LEASE_S,
            self.sequences[index],
        )
        held = self.buckets[index].borrowed_leases(self.now).get(self.names[lender])
        applied = held.sequence if held is not None else 0
        self.buckets[lender].drop_superseded(self.names[index], applied, self.now)
        before = deepcopy(self.buckets[lender])
        lease, tokens = self.buckets[lender].lend(
            self.names[index],
            wanted,
            rng.uniform(0, 5),
            0.0,
            self.now,
            rng.random() < 0.5,
        )
        if self.fault == "a lender that does not debit":
            self.buckets[lender] = before
        answer = PendingAnswer(
            index,
            self.sequences[index],
            sent_at,
            lease,
            lease.expires_at - self.now,
            tokens,
            self.names[lender],
        )
        if self.injects("lost answers") and rng.random() < 0.3:
            return
        self.pending_answers.append(answer)
        if self.injects("duplicated answers") and rng.random() < 0.3:
            self.pending_answers.append(answer)

    def _deliver_answer(self, rng: Random) -> None:
        if not self.pending_answers:
            return
        at = (
            rng.randrange(len(self.pending_answers))
            if self.injects("reordered answers")
            else 0
        )
        answer = self.pending_answers.pop(at)
        until = answer.sent_at + answer.duration_s * (1 - CLOCK_DRIFT_RATIO)
        lease = Lease(answer.lease.rate, answer.lease.depth, until)
        self.buckets[answer.borrower].borrow(
            answer.lender, answer.sequence, lease, answer.tokens, self.now
        )

    def max_excess(self) -> float:
        """Return the largest excess over rate and burst of any window, in tokens."""
        level = worst = last = 0.0
        for at, amount in self.taken:
            level = max(0.0, level - (at - last) * self.max_rate) + amount
            worst = max(worst, level - self.max_burst)
            last = at
        return worst


@given("{hosts:d} hosts share a rate of {rate:g} with a burst of {burst:g}")
def make_bucket_fleet(context, hosts, rate, burst):
    context.buckets = BucketSimulation(hosts, rate, burst)


@when("they take and lend at random with {fault}, seed {seed:d}")
def run_buckets(context, fault, seed):
    context.buckets.fault = fault
    rng = Random(seed)
    for _ in range(STEP_COUNT):
        context.buckets.step(rng)


@then("no window holds more than rate and burst")
def check_no_excess(context):
    assert len(context.buckets.taken) > 50, "too few tokens were taken"
    assert context.buckets.max_excess() <= 1e-6, context.buckets.max_excess()


@then("some window holds more than rate and burst")
def check_excess(context):
    assert context.buckets.max_excess() > 0.5, context.buckets.max_excess()


def build_roster(generation, names):
    """Return a roster of hosts with these names."""
    members = tuple(RosterHost(n, "1", "r", "d") for n in names)
    return RosterView(generation, members)


def split_names(text):
    """Return the names in a list such as ``a, b``."""
    return [name.strip() for name in text.split(",")]


@given("hosts {old} in generation 1 and hosts {new} in generation 2")
def make_generations(context, old, new):
    context.old = build_roster(1, split_names(old))
    context.new = build_roster(2, split_names(new))
    context.windows = {
        name: GenerationWindow(f"{name}/1", 5.0) for name in split_names(new)
    }


@when("a and c know generation 2, and b has acknowledged only generation 1")
def learn_second(context):
    for name in ("a", "c"):
        window = context.windows[name]
        window.apply_roster(context.new, [context.old], [], 100.0)
        window.record_acknowledgement("b/1", 1)
        for other in ("a", "c"):
            window.record_acknowledgement(f"{other}/1", 2)
    context.now = 100.0


@when("b has acknowledged generation 2")
def acknowledge_second(context):
    for window in context.windows.values():
        window.record_acknowledgement("b/1", 2)


@when("c was removed without its consent and a learned of it at {at:d} s")
def remove_member(context, at):
    window = context.windows["a"]
    window.apply_roster(context.old, [], [], 50.0)
    window.apply_roster(context.new, [context.old], [Departure("c/1", 1)], at)
    window.record_acknowledgement("b/1", 2)


def held_share(context, name, now):
    """Return the share that a host may use at a time."""
    window = context.windows[name]
    return window.smallest_share(lambda r: r.rate_share(f"{name}/1"), now)


@then("a holds {first} and c holds {second}")
def check_shares(context, first, second):
    assert abs(held_share(context, "a", context.now) - float(Fraction(first))) < 1e-9
    assert abs(held_share(context, "c", context.now) - float(Fraction(second))) < 1e-9


@then("at {at:d} s a holds {share}")
def check_share_at(context, at, share):
    assert abs(held_share(context, "a", at) - float(Fraction(share))) < 1e-9


@dataclass
class RosterSimulation:
    """Simulate changes of the roster that reach the hosts late and out of step.

    The hosts also receive the acknowledgements of others late. The shares that the
    hosts use at one time must not add up to more than one.
    """

    rng: Random
    now: float = 0.0
    hold_s: float = 5.0
    members: list[str] = field(default_factory=lambda: ["a1", "b1", "c1"])
    generation: int = 1
    max_share_sum: float = 0.0
    windows: dict[str, GenerationWindow] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    fenced_at: dict[str, float] = field(default_factory=dict)
    departures: list[Departure] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.history = {1: self._view()}
        for member in self.members:
            self._join(member)
            self.windows[member].apply_roster(self.history[1], [], [], 0.0)
            self.acknowledged[member] = 1
        self._exchange(everyone=True)

    def _view(self) -> RosterView:
        hosts = tuple(RosterHost(m, "1", "r", "d") for m in self.members)
        return RosterView(self.generation, hosts)

    def _join(self, member: str) -> None:
        self.windows[member] = GenerationWindow(f"{member}/1", self.hold_s)

    def change(self) -> None:
        """Add a member, or remove one that may still use its share for a while."""
        leaving = len(self.members) > 2 and self.rng.random() < 0.5
        if leaving:
            removed = self.rng.choice(self.members)
            self.members.remove(removed)
            self.departures.append(Departure(f"{removed}/1", self.generation))
            # Its membership may have been confirmed just before the write of its
            # removal.
            self.fenced_at[removed] = self.now + self.hold_s
        else:
            new = f"n{self.generation}"
            self.members.append(new)
            self._join(new)
        self.generation += 1
        self.history[self.generation] = self._view()

    def run(self, changes: int) -> None:
        """Make changes, and let each spread at random for a random time."""
        for _ in range(changes):
            self.change()
            for _ in range(self.rng.randrange(1, 40)):
                self.now += self.rng.uniform(0, 0.5)
                self._learn()
                self._exchange(everyone=False)
                self._measure()

    def _learn(self) -> None:
        name = self.rng.choice(self.members)
        newest = self.history[self.generation]
        older = [r for g, r in self.history.items() if g < self.generation]
        self.windows[name].apply_roster(newest, older, self.departures, self.now)
        self.acknowledged[name] = self.generation

    def _exchange(self, everyone: bool) -> None:
        for name in self.members:
            for other in self.members:
                if name != other and (everyone or self.rng.random() < 0.3):
                    known = self.acknowledged.get(other)
                    if known is not None:
                        self.windows[name].record_acknowledgement(f"{other}/1", known)

    def _measure(self) -> None:
        total = 0.0
        for name, window in self.windows.items():
            if self.now >= self.fenced_at.get(name, float("inf")):
                continue
            total += window.smallest_share(
                lambda r, name=name: r.rate_share(f"{name}/1"), self.now
            )
        self.max_share_sum = max(self.max_share_sum, total)


@when("{changes:d} changes of roster spread at random, seed {seed:d}")
def spread_changes(context, changes, seed):
    context.run = RosterSimulation(Random(seed))
    context.run.run(changes)


@then("at no time do the shares in use add up to more than one")
def check_sum(context):
    assert 0.5 < context.run.max_share_sum <= 1 + 1e-9, context.run.max_share_sum


@given("a roster of {count:d} hosts in 3 regions with 2 data centres each")
def make_roster(context, count):
    context.members = [
        RosterHost(f"h{i}", "1", f"r{i % 3}", f"r{i % 3}-{i // 3 % 2}")
        for i in range(count)
    ]


def owners_of(members, server, region, data_centre, slots=3):
    """Return the members that own slots of a server; check the number of slots."""
    view = RosterView(1, tuple(members))
    counts = {
        m: view.slots_owned_by(m.identity, server, region, data_centre, slots)
        for m in members
    }
    assert sum(counts.values()) == slots, counts
    return [m for m, count in counts.items() if count]


@then("the slots of {count:d} servers are each owned once, by hosts next to them")
def check_owners(context, count):
    for i in range(count):
        region = f"r{i % 3}"
        data_centre = f"{region}-{i // 3 % 2}"
        for owner in owners_of(context.members, f"s{i}", region, data_centre):
            assert owner.data_centre == data_centre


@then("without the hosts of a data centre its slots belong to hosts of the region")
def check_region_owners(context):
    rest = [m for m in context.members if m.data_centre != "r0-0"]
    assert {m.region for m in owners_of(rest, "s", "r0", "r0-0")} == {"r0"}


@then("without the hosts of a region its slots belong to other hosts")
def check_far_owners(context):
    rest = [m for m in context.members if m.region != "r0"]
    assert owners_of(rest, "s", "r0", "r0-0")


@given("a host that owns {own:d} slots of a server and lends {lent:d} for {life:d} s")
def make_lender(context, own, lent, life):
    context.slots = SlotTable(longest_request_s=life, share_expires_at=1000.0)
    context.slots.set_share("s", "p", own)
    granted = context.slots.lend("peer", "p", lent, 0, 0.0)
    assert sum(lease.slots for lease in granted) == lent
    context.now = 0.0


@given("a host that borrowed {count:d} slots for {life:d} s")
def make_borrower(context, count, life):
    context.slots = SlotTable(longest_request_s=life)
    context.slots.borrow("s", "p", SlotLease("l", "peer", count, life))
    context.now = 0.0


@when("{seconds:d} s have passed")
def pass_time(context, seconds):
    context.now += seconds


@then("it can fill {count:d} slot")
@then("it can fill {count:d} slots")
def check_free(context, count):
    assert context.slots.count_free_slots("s", context.now, 1.0) == count


@then("it can fill {count:d} slots for {work:d} s of work")
def check_free_for(context, count, work):
    assert context.slots.count_free_slots("s", context.now, work) == count
