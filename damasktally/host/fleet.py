"""Hold what this host knows of the fleet: members, peers, promises and windows."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from secrets import token_hex
from threading import RLock

from damasktally.clock import Clock
from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.hints import HintTable
from damasktally.membership.confirmation import MembershipConfirmation, MembershipVoter
from damasktally.membership.roster import departures, roster_view, unsettled_views
from damasktally.peers.peer_pb2 import Endpoint
from damasktally.resources.kinds import Member, Roster

HEARTBEAT_TIMEOUT_S = 3.0
"""Seconds after which a peer that was not heard is left out of look-ups."""
INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a name for this run of the host that no other run had."""
    return token_hex(INCARNATION_BYTES)


@dataclass(slots=True)
class PeerRecord:
    """Remember what a peer said last.

    :param heard_at: when its last message arrived, in seconds.
    :param witnessed_at: when it last found the store silent, on this host's clock.
    """

    endpoint: Endpoint
    last_seen_at: float
    revision: int = 0
    generation: int = -1
    store_silent_at: float = -inf


@dataclass
class FleetState:
    """Own the membership state. Hold ``lock`` while calling.

    :param own: this host's member entry; its incarnation changes when it rejoins.
    :param hold_s: seconds for which a departed member may still spend rates.
    :param slot_hold_s: the same for slots, which requests hold for longer.
    """

    own_member: Member
    clock: Clock
    hold_s: float
    slot_hold_s: float
    lock: RLock = field(default_factory=RLock)
    peers: dict[str, PeerRecord] = field(default_factory=dict)
    hints: HintTable = field(default_factory=HintTable)
    roster: Roster = field(default_factory=Roster)
    rates_generation: int = -1
    slots_generation: int = -1
    rate_window: GenerationWindow = field(init=False)
    slot_window: GenerationWindow = field(init=False)
    confirmation: MembershipConfirmation = field(init=False)
    voter: MembershipVoter = field(init=False)
    leaving: bool = False
    _was_member: bool = False

    def __post_init__(self) -> None:
        self.voter = MembershipVoter(self.clock(), self.hold_s)
        self._start_incarnation()

    @property
    def identity(self) -> str:
        """Return this host's incarnation."""
        return self.own_member.identity

    @property
    def is_member(self) -> bool:
        """Tell whether the newest roster names this incarnation."""
        return any(member.identity == self.identity for member in self.roster.members)

    @property
    def was_removed(self) -> bool:
        """Tell whether this incarnation was a member and is none any more."""
        return self._was_member and not self.is_member

    def apply_roster(self, roster: Roster) -> bool:
        """Take over a roster that is not older than the one known.

        :returns: whether it is a new generation.
        """
        if roster.generation < self.roster.generation or roster.generation == 0:
            return False
        is_new = roster.generation > self.roster.generation
        self.roster = roster
        self._was_member = self._was_member or self.is_member
        view = roster_view(roster.generation, roster.members)
        now = self.clock()
        for window in (self.rate_window, self.slot_window):
            window.apply_roster(view, unsettled_views(roster), departures(roster), now)
        return is_new

    def rejoin(self, incarnation: str) -> None:
        """Become a new incarnation, which owns nothing yet."""
        self.own_member = self.own_member.model_copy(
            update={"incarnation": incarnation}
        )
        self._start_incarnation()
        self.apply_roster(self.roster)

    def acknowledge(self, rates: bool, slots: bool) -> None:
        """Note that this host uses the newest generation's shares.

        :param rates: whether every loan of a rate fits them.
        :param slots: whether every filled or lent slot does.
        """
        newest = self.roster.generation
        if rates:
            self.rates_generation = newest
        if slots:
            self.slots_generation = newest

    def record_peer_message(
        self,
        endpoint: Endpoint,
        revision: int,
        generation: int,
        rates_generation: int,
        slots_generation: int,
    ) -> PeerRecord:
        """Record a message of a peer."""
        identity = endpoint_identity(endpoint)
        peer = self.peers.get(identity)
        if peer is None:
            peer = self.peers[identity] = PeerRecord(endpoint, self.clock())
        peer.endpoint = endpoint
        peer.last_seen_at = self.clock()
        peer.revision = revision
        peer.generation = generation
        self.rate_window.record_acknowledgement(identity, rates_generation)
        self.slot_window.record_acknowledgement(identity, slots_generation)
        return peer

    def confirmed_at(self) -> float:
        """Return since when this host's place in the roster is confirmed."""
        if not self.is_member:
            return -inf
        now = self.clock()
        return self.confirmation.confirmed_at(self.rate_window.rosters_in_use(now), now)

    def live_endpoints(self) -> list[Endpoint]:
        """Return the peers heard lately, the newest incarnation of each host."""
        oldest = self.clock() - HEARTBEAT_TIMEOUT_S
        newest: dict[str, PeerRecord] = {}
        for peer in self.peers.values():
            held = newest.get(peer.endpoint.host)
            if held is None or peer.last_seen_at > held.last_seen_at:
                newest[peer.endpoint.host] = peer
        return [p.endpoint for p in newest.values() if p.last_seen_at >= oldest]

    def majority_store_silent_at(
        self, store_region: str, own_store_silent_at: float
    ) -> float:
        """Return when a majority in the store's region found the store silent.

        :param own_witness_at: when this host did, if it is in that region.
        """
        times = []
        for member in self.roster.members:
            if member.region != store_region:
                continue
            if member.identity == self.identity:
                times.append(own_store_silent_at)
            else:
                peer = self.peers.get(member.identity)
                times.append(peer.store_silent_at if peer else -inf)
        if not times:
            return -inf
        times.sort(reverse=True)
        return times[len(times) // 2]

    def heartbeat_targets(self, seeds: Iterable[str]) -> dict[str, str]:
        """Return the peers to send heartbeats to.

        :returns: identities, empty when they are not known, by address.
        """
        addresses = {
            member.peer: member.identity
            for member in self.roster.members
            if member.host != self.own_member.host
        }
        if not self.is_member:
            for seed in seeds:
                if seed != self.own_member.peer:
                    addresses.setdefault(seed, "")
        return addresses

    def remove_silent_peers(self, silent_for_s: float) -> None:
        """Drop peers that were not heard for long and are no members."""
        members = {member.identity for member in self.roster.members}
        oldest = self.clock() - silent_for_s
        for identity in list(self.peers):
            if identity not in members and self.peers[identity].last_seen_at < oldest:
                del self.peers[identity]
                self.hints.remove(identity)

    def _start_incarnation(self) -> None:
        self.rate_window = GenerationWindow(self.identity, self.hold_s)
        self.slot_window = GenerationWindow(self.identity, self.slot_hold_s)
        self.confirmation = MembershipConfirmation(self.identity)
        self.rates_generation = -1
        self.slots_generation = -1
        self._was_member = False


def endpoint_identity(endpoint: Endpoint) -> str:
    """Return what tells a peer's incarnation from all others."""
    return f"{endpoint.host}/{endpoint.incarnation}"
