"""Steps that run the real membership decisions of a fleet on a simulated clock."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from behave import given, then, when

from damasktally.escrow.shares import RosterHost, RosterView
from damasktally.host.fleet import FleetState, endpoint_identity
from damasktally.host.roster_keeper import RemovalVotes
from damasktally.membership.confirmation import MembershipConfirmation, MembershipVoter
from damasktally.membership.freshness import Freshness
from damasktally.membership.roster import add_member, prune_history, remove_members
from damasktally.peers.peer_pb2 import Endpoint
from damasktally.resources.kinds import Member, Roster

FENCE_S = 4.0
HOLD_S = 5.0
SLOT_HOLD_S = 10.0
FAULT_FREE_END_S = 60.0
"""Seconds without faults at the end of a run, in which the fleet has to recover."""
SHORT_HOLD_TIMES = "hold times that are too short"
TICK_S = 0.5
EVENTS_PER_MEASUREMENT = 5
"""Events between two sums of shares, which change with ticks, far less often."""


@dataclass(eq=False)
class Node:
    """Hold one process of a host.

    :param share_expires_at: until when the process may use its shares, in seconds.
    :param paused_until: until when the process is paused, in seconds.
    """

    fleet: FleetState
    endpoint: Endpoint
    share_expires_at: float = -inf
    paused_until: float = 0.0
    alive: bool = True
    votes: RemovalVotes = field(default_factory=RemovalVotes)

    @property
    def identity(self):
        """Return the node's incarnation."""
        return self.fleet.identity

    def share(self, now):
        """Return the part of every rate that the node may use now."""
        if now >= self.share_expires_at:
            return 0.0
        identity = self.identity
        return self.fleet.rate_window.smallest_share(
            lambda r: r.rate_share(identity), now
        )


@dataclass
class MembershipSimulation:
    """Run nodes, messages and a store on one simulated clock.

    :param fault: which faults are injected.
    :param seconds: how long the run takes.
    :param max_share_sum: largest sum of the shares in use that was measured.
    :param partition: hosts on the side of a partition that the store is not on.
    :param version: version of the stored roster, for conditional writes.
    """

    hosts: int
    rng: Random
    fault: str
    seconds: float
    now: float = 1000.0
    max_share_sum: float = 0.0
    store_up: bool = True
    partition: set = field(default_factory=set)
    nodes: list = field(default_factory=list)
    roster: Roster = field(default_factory=Roster)
    version: int = 0

    def __post_init__(self):
        self.events = []
        self.order = count()
        self.end = self.now + self.seconds
        for number in range(self.hosts):
            self.start_host(f"h{number}")

    def injects(self, fault):
        """Return whether a fault is to be injected now."""
        if self.now > self.end - FAULT_FREE_END_S:
            return False
        return self.fault in (fault, "every fault at once")

    def start_host(self, host):
        """Start a new incarnation of a host."""
        incarnation = f"i{next(self.order)}"
        place = {"region": "r", "data_centre": "d"}
        address = "127.0.0.1:1"
        member = Member(
            host=host, incarnation=incarnation, peer=address, caller=address, **place
        )
        fleet = FleetState(member, lambda: self.now, HOLD_S, SLOT_HOLD_S)
        if self.fault == SHORT_HOLD_TIMES:
            fleet.voter.hold_s = FENCE_S / 4
            fleet.rate_window.hold_s = fleet.slot_window.hold_s = 0.0
        endpoint = Endpoint(host=host, incarnation=incarnation, region="r")
        node = Node(fleet, endpoint)
        self.nodes.append(node)
        self.schedule(self.rng.uniform(0, 1), lambda: self.tick(node))

    def schedule(self, delay, action):
        """Run an action after a delay, in seconds."""
        heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self):
        """Run all events until the end, and measure the sum of the shares in use."""
        self.schedule(1.0, self.inject_faults)
        steps = count()
        while self.events and self.events[0][0] <= self.end:
            self.now, _, action = heappop(self.events)
            action()
            if next(steps) % EVENTS_PER_MEASUREMENT == 0:
                total = sum(n.share(self.now) for n in self.nodes if n.alive)
                self.max_share_sum = max(self.max_share_sum, total)

    def inject_faults(self):
        """Inject the faults of the run, and schedule the next ones."""
        self.schedule(self.rng.uniform(1, 8), self.inject_faults)
        running = [n for n in self.nodes if n.alive]
        target = self.rng.choice(running)
        if self.injects("pauses") or self.fault == SHORT_HOLD_TIMES:
            target.paused_until = self.now + self.rng.uniform(1, 20)
        if self.injects("kills and restarts") and self.rng.random() < 0.5:
            target.alive = False
            host = target.fleet.own_member.host
            self.schedule(self.rng.uniform(0, 10), lambda: self.start_host(host))
        self.store_up = not (self.injects("store outages") and self.rng.random() < 0.5)
        self.partition = set()
        if self.injects("partitions") and self.rng.random() < 0.6:
            side = self.rng.sample(range(self.hosts), self.hosts // 2)
            self.partition = {f"h{number}" for number in side}

    def is_lost(self, sender, receiver):
        """Return whether a message is lost."""
        split = (sender in self.partition) != (receiver in self.partition)
        return split or (self.injects("lost messages") and self.rng.random() < 0.3)

    def delay(self):
        """Return how long a message takes, in seconds."""
        slow = self.injects("slow messages") and self.rng.random() < 0.3
        return self.rng.uniform(0.5, 3.0) if slow else self.rng.uniform(0.001, 0.05)

    def tick(self, node):
        """Do a node's periodic work."""
        if not node.alive:
            return
        self.schedule(TICK_S * self.rng.uniform(0.8, 1.2), lambda: self.tick(node))
        if self.now < node.paused_until:
            return
        fleet = node.fleet
        fleet.acknowledge(rates=True, slots=True)
        at = fleet.confirmed_at()
        node.share_expires_at = max(node.share_expires_at, at + FENCE_S)
        fleet.rate_window.remove_unused(self.now)
        for other in self.nodes:
            if other is not node and other.alive:
                self.send_heartbeat(node, other)
        self.read_store(node)

    def send_heartbeat(self, node, other):
        """Send a heartbeat to another node, and its answer back."""
        hosts = (node.fleet.own_member.host, other.fleet.own_member.host)
        sent_at = self.now
        fleet = node.fleet
        sent_state = (0, fleet.roster.generation, fleet.rates_generation)
        identity, removals = node.identity, list(node.votes.voters_by_suspect)
        generation = fleet.roster.generation

        def receive():
            if self.is_lost(*hosts) or not other.alive or self.now < other.paused_until:
                return
            receiver = other.fleet
            receiver.record_peer_message(
                node.endpoint, *sent_state, fleet.slots_generation
            )
            current = receiver.rate_window.current
            confirmed = receiver.voter.confirm(identity, current, self.now)
            agreed = [
                suspect
                for suspect in removals
                if receiver.voter.agree_to_removal(suspect, generation, self.now)
            ]
            answer = (0, receiver.roster.generation, receiver.rates_generation)
            self.schedule(
                self.delay(), lambda: receive_answer(confirmed, agreed, answer)
            )

        def receive_answer(confirmed, agreed, answer):
            if self.is_lost(*hosts) or not node.alive or self.now < node.paused_until:
                return
            if node.identity != identity:
                return
            fleet.record_peer_message(other.endpoint, *answer, answer[2])
            if confirmed:
                fleet.confirmation.record_peer_confirmation(
                    endpoint_identity(other.endpoint), sent_at
                )
            node.votes.record_agreement(other.identity, agreed)

        self.schedule(self.delay(), receive)

    def read_store(self, node):
        """Read the roster, apply it, and do the updates that follow from it."""
        sent_at = self.now

        def read():
            if self.store_up and node.fleet.own_member.host not in self.partition:
                roster, version = self.roster, self.version
                self.schedule(self.delay(), lambda: apply(roster, version))

        def apply(roster, version):
            if not node.alive or self.now < node.paused_until:
                return
            fleet = node.fleet
            fleet.apply_roster(roster)
            is_newest = roster.generation == fleet.roster.generation
            fleet.confirmation.record_roster_read(
                sent_at, is_newest and fleet.is_member
            )
            self.update_roster(node, roster, version)

        self.schedule(self.delay(), read)

    def update_roster(self, node, roster, version):
        """Join, remove members or prune the history, by conditional write."""
        fleet = node.fleet
        if not fleet.is_member:
            if fleet.was_removed:
                fleet.rejoin(f"i{next(self.order)}")
                node.endpoint.incarnation = fleet.own_member.incarnation
                node.share_expires_at = -inf
            self.write_roster(version, add_member(roster, fleet.own_member))
            return
        view = fleet.rate_window.current
        suspects = fleet.voter.find_suspects(view, fleet.identity, self.now)
        node.votes.start_round(fleet.roster.generation, suspects)
        own = [
            suspect
            for suspect in suspects
            if fleet.voter.agree_to_removal(suspect, fleet.roster.generation, self.now)
        ]
        node.votes.record_agreement(fleet.identity, own)
        members = [
            frozenset(r.by_identity) for r in fleet.rate_window.rosters_in_use(self.now)
        ]
        agreed = node.votes.select_agreed(members)
        if agreed and roster.generation == fleet.roster.generation:
            self.write_roster(version, remove_members(roster, agreed, consented=False))
        elif fleet.rate_window.is_settled(self.now) and fleet.slot_window.is_settled(
            self.now
        ):
            if roster.unsettled or roster.departed:
                self.write_roster(version, prune_history(roster, roster.generation, []))

    def write_roster(self, version, roster):
        """Write the roster after a delay, unless another node wrote it meanwhile."""

        def write():
            if self.store_up and self.version == version and roster != self.roster:
                self.roster = roster
                self.version += 1

        self.schedule(self.delay(), write)


@given("{hosts:d} hosts that all start at once")
def set_host_count(context, hosts):
    context.hosts = hosts


@when("they run for {seconds:d} s with {fault}, seed {seed:d}")
def run_simulation(context, seconds, fault, seed):
    context.simulation = MembershipSimulation(
        context.hosts, Random(seed), fault, seconds
    )
    context.simulation.run()


@then("the shares in use never added up to more than one")
def check_share_sum(context):
    assert 0.9 < context.simulation.max_share_sum <= 1 + 1e-9, (
        context.simulation.max_share_sum
    )


@then("the shares in use added up to more than one at some time")
def check_share_sum_exceeded(context):
    assert context.simulation.max_share_sum > 1 + 1e-9, context.simulation.max_share_sum


@then("at the end every running host is a confirmed member")
def check_recovered(context):
    simulation = context.simulation
    shares = [n.share(simulation.now) for n in simulation.nodes if n.alive]
    assert all(abs(s - 1 / simulation.hosts) < 1e-9 for s in shares), shares


@given("a host whose view must be confirmed within {bound:g} s")
def make_freshness(context, bound):
    context.now = 100.0
    context.freshness = Freshness(bound, lambda: context.now)


def majority_silent_at(context, ages):
    """Return when a majority of three hosts in the store's region found it silent.

    :param ages: how long ago each of the three did, in seconds.
    """
    place = {"peer": "127.0.0.1:1", "caller": "127.0.0.1:1", "data_centre": "d"}
    members = [
        Member(host=f"w{n}", incarnation="1", region="store", **place) for n in range(3)
    ]
    own = Member(host="x", incarnation="1", region="far", **place)
    fleet = FleetState(own, lambda: context.now, HOLD_S, HOLD_S)
    fleet.apply_roster(Roster(generation=1, members=[*members, own]))
    for member, age in zip(members, ages, strict=True):
        endpoint = Endpoint(host=member.host, incarnation="1", region="store")
        peer = fleet.record_peer_message(endpoint, 0, 1, 1, 1)
        peer.store_silent_at = context.now - age
    return fleet.majority_store_silent_at("store", -inf)


@when("nothing was ever confirmed")
def never_confirmed(context):
    pass


@when("the store answered a request sent {age:g} s ago")
def store_answered(context, age):
    context.freshness.record_confirmation(context.now - age)


@when("a majority of the store's region found it silent {age:g} s ago")
def majority_found_silence(context, age):
    context.freshness.record_store_silence(majority_silent_at(context, [age, age, inf]))


@when("a minority of the store's region found it silent {age:g} s ago")
def minority_found_silence(context, age):
    context.freshness.record_store_silence(majority_silent_at(context, [age, inf, inf]))


@when("the store answers again after it was silent")
def store_answers_again(context):
    context.freshness.record_store_silence(context.now - 1)
    context.freshness.record_confirmation(context.now - 0.1)


@then("its state is {state}")
def check_isolation(context, state):
    assert context.freshness.isolation().value == state, context.freshness


def make_roster_view(generation, names):
    """Return a roster of hosts with one incarnation each."""
    members = tuple(RosterHost(n, "1", "r", "d") for n in names)
    return RosterView(generation, members)


@given("rosters a, b, c and then a, d, e, both in use")
def two_rosters(context):
    context.rosters = [make_roster_view(1, "abc"), make_roster_view(2, "ade")]
    context.confirmation = MembershipConfirmation("a/1")


@when("d and e confirmed a, but b and c did not")
def new_members_confirm(context):
    for peer in ("d/1", "e/1"):
        context.confirmation.record_peer_confirmation(peer, 50.0)


@when("b confirmed a too")
def old_member_confirms(context):
    context.confirmation.record_peer_confirmation("b/1", 49.0)


@then("a is not confirmed")
def check_unconfirmed(context):
    assert context.confirmation.confirmed_at(context.rosters, 51.0) == -inf


@then("a is confirmed")
def check_confirmed(context):
    assert context.confirmation.confirmed_at(context.rosters, 51.0) == 49.0


@given("a host that started {age:d} s ago with a hold time of {hold:d} s")
def new_voter(context, age, hold):
    context.voter = MembershipVoter(100.0 - age, hold)


@then("it does not agree to remove a host that it never confirmed")
def check_no_agreement(context):
    assert not context.voter.agree_to_removal("x/1", 1, 100.0)


@then("it does so after {hold:d} s")
def check_agreement(context, hold):
    assert context.voter.agree_to_removal("x/1", 1, 100.0 + hold)
