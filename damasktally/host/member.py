"""Member actor: heartbeats, loans between peers and this host's shares."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from itertools import count
from math import inf
from random import Random

from damasktally.clock import Clock
from damasktally.conf import Settings
from damasktally.escrow.hints import SpareHint
from damasktally.escrow.lending import (
    MAX_CLOCK_DRIFT_RATIO,
    LoanGrant,
    LoanRequest,
    apply_grants,
    is_valid_amount,
    plan_loan_requests,
)
from damasktally.escrow.limit_table import LimitTable
from damasktally.escrow.slots import SlotLease
from damasktally.escrow.urgent_loans import UrgentLoanRequests
from damasktally.events import emit
from damasktally.events.catalogue import FENCED, ROSTER_CHANGED, UNFENCED
from damasktally.host.actor import HostActor
from damasktally.host.fleet import FleetState, endpoint_identity
from damasktally.host.member_messages import (
    HeartbeatCompleted,
    LoanNeeded,
    MemberTick,
    ViewChanged,
)
from damasktally.host.view_keeper import PeerChanges, PublishedView
from damasktally.membership.freshness import Freshness
from damasktally.objects import ChangeEvent
from damasktally.peers import GrpcPeerNetwork
from damasktally.peers.peer_pb2 import (
    Ask,
    ChangesRequest,
    Endpoint,
    Heartbeat,
    HeartbeatAnswer,
    SlotAsk,
    Vouch,
)
from damasktally.steering.dispatcher import Dispatcher

TICK_S = 0.25
PEER_CALL_TIMEOUT_S = 1.0
"""Timeout of a call to a peer, in seconds."""
SILENT_PEER_RETENTION_S = 60.0
"""Seconds without a message after which a peer that is no member is removed."""
IDLE_LEASE_TIMEOUT_S = 2.0
"""Seconds without use after which borrowed slots are returned to their owner."""
MAX_SLOT_LENDERS_ASKED = 3
"""Peers that are asked for slots of one pool at the same time."""


@dataclass
class MemberDependencies:
    """Components of the host that the member actor uses.

    :param clock: monotonic time in seconds.
    :param make_endpoint: returns this host's own addresses and state.
    :param notify_view_keeper: sends a message to the view keeper.
    :param store_silent_at: returns when this host last got no response from the store,
        in seconds.
    :param removal_suspects: returns the identities of the members that this host
        proposes to remove.
    :param record_agreement: records which removals a peer agreed to.
    """

    settings: Settings
    fleet: FleetState
    limit_table: LimitTable
    dispatcher: Dispatcher
    network: GrpcPeerNetwork
    published: PublishedView
    freshness: Freshness
    clock: Clock
    rng: Random
    make_endpoint: Callable[[], Endpoint]
    notify_view_keeper: Callable[[object], None]
    store_silent_at: Callable[[], float]
    removal_suspects: Callable[[], list[str]]
    record_agreement: Callable[[str, Iterable[str]], None]
    urgent_loans: UrgentLoanRequests


class MemberActor(HostActor):
    """Actor that exchanges heartbeats with peers and updates this host's shares."""

    def __init__(self, dependencies: MemberDependencies) -> None:
        super().__init__()
        self._deps = dependencies
        self._sequence_numbers = count(1)
        self._next_heartbeat_at = 0.0
        self._applied_generations: tuple[int, ...] = ()
        self._is_fenced = True
        self._returns: dict[str, list[str]] = {}
        self._fetching = False

    def handle(self, message: object) -> None:
        """Handle a message of :mod:`damasktally.host.member_messages`."""
        if isinstance(message, MemberTick):
            self._run_periodic_work()
        elif isinstance(message, HeartbeatCompleted):
            self._handle_answer(message)
        elif isinstance(message, LoanNeeded):
            self._request_urgent_loan(message)
        elif isinstance(message, ViewChanged):
            self._apply_roster()

    def _run_periodic_work(self) -> None:
        now = self._deps.clock()
        self._deps.limit_table.update_demand()
        self._deps.dispatcher.tick()
        self._update_confirmation()
        self._refresh_shares_if_changed()
        self._request_slots()
        if now >= self._next_heartbeat_at:
            jitter = self._deps.rng.uniform(0.9, 1.1)
            self._next_heartbeat_at = (
                now + self._deps.settings.membership.heartbeat_s * jitter
            )
            self._send_heartbeats()

    def _apply_roster(self) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            is_new = fleet.apply_roster(self._deps.published.view.roster)
        if is_new:
            emit(ROSTER_CHANGED, generation=fleet.roster.generation)
        self._refresh_shares()

    def _update_confirmation(self) -> None:
        fleet = self._deps.fleet
        freshness = self._deps.freshness
        with fleet.lock:
            # A view that contains all changes up to a time also contains the roster
            # of that time.
            roster = self._deps.published.view.roster
            is_newest = roster.generation == fleet.roster.generation
            is_proven = is_newest and fleet.is_member
            fleet.confirmation.record_roster_read(freshness.confirmed_at, is_proven)
            confirmed_at = fleet.confirmed_at()
            store_region = self._deps.settings.platform.region
            silent_at = fleet.majority_store_silent_at(
                store_region, self._deps.store_silent_at()
            )
            fleet.remove_silent_peers(SILENT_PEER_RETENTION_S)
        freshness.record_store_silence(silent_at)
        if confirmed_at > -inf:
            expires_at = confirmed_at + self._deps.settings.membership.fence_s
            self._deps.limit_table.extend_shares(expires_at)
            self._deps.dispatcher.extend_shares(expires_at)
        is_fenced = (
            confirmed_at + self._deps.settings.membership.fence_s <= self._deps.clock()
        )
        if is_fenced != self._is_fenced:
            emit(FENCED if is_fenced else UNFENCED)
            self._is_fenced = is_fenced

    def _refresh_shares_if_changed(self) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            now = fleet.clock()
            windows = (fleet.rate_window, fleet.slot_window)
            in_use = tuple(
                r.generation for window in windows for r in window.rosters_in_use(now)
            )
            own = (fleet.rates_generation, fleet.slots_generation)
        is_behind = any(generation < fleet.roster.generation for generation in own)
        if (*own, *in_use) != self._applied_generations or is_behind:
            self._refresh_shares()
            self._applied_generations = (*own, *in_use)

    def _refresh_shares(self) -> None:
        """Recompute this host's shares, then acknowledge the newest generation.

        Each share is the smallest one among the generations in use.
        """
        fleet = self._deps.fleet
        with fleet.lock:
            view = self._deps.published.view
            self._deps.dispatcher.refresh(view, fleet.slot_window, fleet.identity)
            self._deps.limit_table.refresh(view)
            fleet.acknowledge(
                rates=not self._deps.limit_table.is_overcommitted(),
                slots=not self._deps.dispatcher.is_overcommitted(),
            )
            now = fleet.clock()
            fleet.rate_window.remove_unused(now)
            fleet.slot_window.remove_unused(now)

    def _send_heartbeats(self) -> None:
        with self._deps.fleet.lock:
            targets = self._deps.fleet.heartbeat_targets(self._deps.settings.peer.seeds)
        requests_by_peer = plan_loan_requests(
            self._deps.limit_table, self._deps.fleet.hints, {}
        )
        returned_leases = self._collect_idle_leases()
        for address, identity in targets.items():
            heartbeat = self._make_heartbeat(requests_by_peer.get(identity, []))
            heartbeat.returned_leases.extend(returned_leases.get(identity, []))
            self._send_heartbeat(address, identity, heartbeat)

    def _request_urgent_loan(self, needed: LoanNeeded) -> None:
        if not self._deps.urgent_loans.try_start(needed.limit):
            return
        hints = self._deps.fleet.hints
        requests_by_peer = plan_loan_requests(
            self._deps.limit_table, hints, {needed.limit: needed.amount}
        )
        with self._deps.fleet.lock:
            addresses = {m.identity: m.peer for m in self._deps.fleet.roster.members}
        sequences = []
        for peer in requests_by_peer:
            if peer in addresses:
                heartbeat = self._make_heartbeat(requests_by_peer[peer])
                self._send_heartbeat(addresses[peer], peer, heartbeat)
                sequences.append(heartbeat.sequence)
        self._deps.urgent_loans.record_sent(needed.limit, sequences)

    def _request_slots(self) -> None:
        for pool, wanted in self._deps.dispatcher.take_shortages().items():
            for address, identity in self._find_slot_lenders()[:MAX_SLOT_LENDERS_ASKED]:
                heartbeat = self._make_heartbeat([])
                heartbeat.slot_asks.append(SlotAsk(pool=pool, slots=wanted))
                self._send_heartbeat(address, identity, heartbeat)

    def _find_slot_lenders(self) -> list[tuple[str, str]]:
        """Return address and identity of the peers with free slots, nearest first.

        Those of this data centre come first, then those of this region; among equals
        the peer with the most headroom.
        """
        own = self._deps.fleet.own_member
        with self._deps.fleet.lock:
            endpoints = self._deps.fleet.live_endpoints()
        free = [e for e in endpoints if e.headroom > 0 and not e.leaving]
        free.sort(
            key=lambda e: (
                e.data_centre != own.data_centre,
                e.region != own.region,
                -e.headroom,
            )
        )
        return [(e.peer, endpoint_identity(e)) for e in free]

    def _collect_idle_leases(self) -> dict[str, list[str]]:
        dispatcher = self._deps.dispatcher
        with dispatcher.lock:
            return dispatcher.slots.remove_idle_leases(
                IDLE_LEASE_TIMEOUT_S, dispatcher.clock()
            )

    def _make_heartbeat(self, loan_requests: list[LoanRequest]) -> Heartbeat:
        fleet = self._deps.fleet
        heartbeat = Heartbeat(
            sender=self._deps.make_endpoint(),
            sequence=next(self._sequence_numbers),
            generation=fleet.roster.generation,
            rates_generation=fleet.rates_generation,
            slots_generation=fleet.slots_generation,
            revision=self._deps.published.view.revision,
        )
        for request in loan_requests:
            heartbeat.asks.append(
                Ask(
                    limit=request.limit,
                    demand=request.demand,
                    depth=request.depth,
                    tokens=request.tokens,
                    applied=request.applied,
                    urgent=request.urgent,
                )
            )
        for identity in self._deps.removal_suspects():
            heartbeat.removals.append(
                Vouch(identity=identity, generation=fleet.roster.generation)
            )
        return heartbeat

    def _send_heartbeat(
        self, address: str, identity: str, heartbeat: Heartbeat
    ) -> None:
        sent_at = self._deps.clock()
        future = self._deps.network.send_heartbeat(
            address, heartbeat, PEER_CALL_TIMEOUT_S
        )

        def enqueue_answer(done: Future[HeartbeatAnswer | None]) -> None:
            # The actor has stopped when the host is shutting down.
            if self.actor_ref.is_alive():
                answer = done.result()
                sequence = heartbeat.sequence
                self.actor_ref.tell(
                    HeartbeatCompleted(address, identity, sequence, sent_at, answer)
                )

        future.add_done_callback(enqueue_answer)

    def _handle_answer(self, message: HeartbeatCompleted) -> None:
        try:
            self._apply_answer(message)
        finally:
            self._deps.urgent_loans.record_end(message.sequence)

    def _apply_answer(self, message: HeartbeatCompleted) -> None:
        answer = message.answer
        if answer is None:
            with self._deps.limit_table.changed:
                self._deps.fleet.hints.remove(message.identity)
            return
        identity = endpoint_identity(answer.sender)
        self._apply_membership(identity, message, answer)
        self._apply_loans(identity, message, answer)
        self._compare_views(message, answer)

    def _apply_membership(
        self, identity: str, message: HeartbeatCompleted, answer: HeartbeatAnswer
    ) -> None:
        fleet = self._deps.fleet
        with fleet.lock:
            peer = fleet.record_peer_message(
                answer.sender,
                answer.revision,
                answer.generation,
                answer.rates_generation,
                answer.slots_generation,
            )
            if answer.witness_age_s >= 0:
                silent_at = message.sent_at - answer.witness_age_s
                if answer.revision <= self._deps.published.view.revision:
                    peer.store_silent_at = max(peer.store_silent_at, silent_at)
            if answer.confirmed:
                fleet.confirmation.record_peer_confirmation(identity, message.sent_at)
        self._deps.record_agreement(identity, answer.agreed_removals)

    def _apply_loans(
        self, identity: str, message: HeartbeatCompleted, answer: HeartbeatAnswer
    ) -> None:
        grants = [
            LoanGrant(g.limit, g.rate, g.depth, g.tokens, g.duration_s, g.urgent)
            for g in answer.grants
            if all(
                is_valid_amount(x) for x in (g.rate, g.depth, g.tokens, g.duration_s)
            )
        ]
        apply_grants(
            self._deps.limit_table, identity, message.sequence, grants, message.sent_at
        )
        hints = [
            SpareHint(s.limit, s.demand, s.tokens)
            for s in answer.spares
            if is_valid_amount(s.demand) and is_valid_amount(s.tokens)
        ]
        with self._deps.limit_table.changed:
            self._deps.fleet.hints.record(identity, hints, self._deps.clock())
        now = self._deps.clock()
        leases = [
            (
                grant.server,
                SlotLease(
                    grant.lease,
                    identity,
                    grant.slots,
                    message.sent_at + grant.duration_s * (1 - MAX_CLOCK_DRIFT_RATIO),
                    idle_since=now,
                ),
            )
            for grant in answer.slot_grants
        ]
        if leases:
            self._deps.dispatcher.borrow(leases)

    def _compare_views(
        self, message: HeartbeatCompleted, answer: HeartbeatAnswer
    ) -> None:
        own_revision = self._deps.published.view.revision
        if answer.revision > own_revision:
            self._fetch_changes(message.address, own_revision)
            return
        if answer.revision < own_revision:
            return
        if answer.confirmed_age_s >= 0:
            confirmed_at = message.sent_at - answer.confirmed_age_s
            self._deps.freshness.record_confirmation(confirmed_at)
        if answer.silent_age_s >= 0:
            self._deps.freshness.record_store_silence(
                message.sent_at - answer.silent_age_s
            )

    def _fetch_changes(self, address: str, after: int) -> None:
        sent_at = self._deps.clock()
        future = self._deps.network.request_changes(
            address, ChangesRequest(after=after), PEER_CALL_TIMEOUT_S
        )

        def forward_changes(done: object) -> None:
            answer = done.result()
            if answer is None:
                return
            events = tuple(
                ChangeEvent.model_validate_json(event) for event in answer.events
            )
            age = answer.confirmed_age_s
            confirmed_at = sent_at - age if age >= 0 else -inf
            self._deps.notify_view_keeper(
                PeerChanges(events, answer.complete, answer.revision, confirmed_at)
            )

        future.add_done_callback(forward_changes)
