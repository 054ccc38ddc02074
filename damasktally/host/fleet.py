"""Membership state of one host: the roster, its peers and the generations in use."""

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
"""Seconds without a message after which a peer is left out of look-up responses and
of the peers asked for slots."""
INCARNATION_BYTES = 6
"""Random bytes in the identifier of an incarnation."""


def new_incarnation() -> str:
    """Return a random identifier that is unique to this run of the host."""
    return token_hex(INCARNATION_BYTES)


@dataclass(slots=True)
class PeerRecord:
    """State of a peer according to its latest message.

    :param last_seen_at: arrival time of the message, in seconds on this host's clock.
    :param revision: revision of the peer's view.
    :param generation: newest roster generation that the peer has received.
    :param store_silent_at: when the peer last got no response from the store, in
        seconds on this host's clock.
    """

    endpoint: Endpoint
    last_seen_at: float
    revision: int = 0
    generation: int = -1
    store_silent_at: float = -inf


@dataclass
class FleetState:
    """Roster, peers and generation windows of one host.

    Callers hold ``lock`` during every call.

    :param own_member: this host's entry in the roster; its incarnation changes when
        the host rejoins.
    :param clock: monotonic time in seconds.
    :param hold_s: seconds for which a removed member may still use its share of the
        rates.
    :param slot_hold_s: seconds for which a removed member may still use its slots;
        longer, as a request holds a slot until it ends.
    :param rates_generation: newest generation whose shares of the rates this host
        uses, or -1.
    :param slots_generation: newest generation whose shares of the slots this host
        uses, or -1.
    :param leaving: whether this host is shutting down.
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
        """Return the identity (host and incarnation) of this host."""
        return self.own_member.identity

    @property
    def is_member(self) -> bool:
        """Return whether the newest roster lists this incarnation."""
        return any(member.identity == self.identity for member in self.roster.members)

    @property
    def was_removed(self) -> bool:
        """Return whether this incarnation was a member and no longer is."""
        return self._was_member and not self.is_member

    def apply_roster(self, roster: Roster) -> bool:
        """Replace the roster, unless the given one is older than the current one.

        :returns: whether the roster is of a new generation.
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
        """Start a new incarnation, which has no shares until the roster lists it.

        :param incarnation: identifier of the new incarnation.
        """
        self.own_member = self.own_member.model_copy(
            update={"incarnation": incarnation}
        )
        self._start_incarnation()
        self.apply_roster(self.roster)

    def acknowledge(self, rates: bool, slots: bool) -> None:
        """Record that this host uses its shares of the newest generation.

        :param rates: whether all loans of rates fit within the newest shares.
        :param slots: whether all slots in use or lent fit within the newest shares.
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
        """Record the state that a peer reported in a heartbeat or in its answer.

        :param endpoint: addresses and state of the peer.
        :param revision: revision of the peer's view.
        :param generation: newest roster generation that the peer has received.
        :param rates_generation: newest generation whose shares of the rates it uses.
        :param slots_generation: newest generation whose shares of the slots it uses.
        :returns: the updated record of the peer.
        """
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
        """Return when this host's membership was last confirmed.

        :returns: seconds on this host's clock, or minus infinity if it is not a member
            or was never confirmed.
        """
        if not self.is_member:
            return -inf
        now = self.clock()
        return self.confirmation.confirmed_at(self.rate_window.rosters_in_use(now), now)

    def live_endpoints(self) -> list[Endpoint]:
        """Return the peers seen recently, only the latest incarnation of each host."""
        oldest = self.clock() - HEARTBEAT_TIMEOUT_S
        newest: dict[str, PeerRecord] = {}
        for peer in self.peers.values():
            latest = newest.get(peer.endpoint.host)
            if latest is None or peer.last_seen_at > latest.last_seen_at:
                newest[peer.endpoint.host] = peer
        return [p.endpoint for p in newest.values() if p.last_seen_at >= oldest]

    def majority_store_silent_at(
        self, store_region: str, own_store_silent_at: float
    ) -> float:
        """Return when a majority in the store's region got no response from the store.

        :param store_region: region of the store.
        :param own_store_silent_at: when this host last got no response from the store,
            in seconds; used only if this host is in that region.
        :returns: seconds on this host's clock, or minus infinity.
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

        :param seeds: addresses that are added until this host is a member.
        :returns: identities by address; the identity of a seed is empty, as it is not
            known.
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
        """Remove peers that are not members and sent no message for some time.

        :param silent_for_s: seconds without a message.
        """
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
    """Return the identity of a peer: its host name and incarnation."""
    return f"{endpoint.host}/{endpoint.incarnation}"
