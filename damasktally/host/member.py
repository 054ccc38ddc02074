"""Send heartbeats, take in their answers, and keep this host's shares current."""

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
from damasktally.host.member_messages import Answered, LoanWanted, RosterSeen, Tick
from damasktally.host.view_updater import PeerChanges, PublishedView
from damasktally.membership.freshness import Freshness
from damasktally.objects import ChangeEvent
from damasktally.peers import PeerNetwork
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
FORGET_S = 60.0
SLOT_IDLE_S = 2.0
"""Seconds without use after which borrowed slots are returned."""
SLOT_LENDERS = 3


@dataclass
class MemberParts:
    """Name the parts of a host that the member actor works on.

    :param endpoint: returns how this host describes itself.
    :param keeper: tells the view keeper something.
    :param witnessed_at: returns when this host last found the store silent.
    :param removals: returns members that this host would like to remove.
    :param agreed: takes in a peer's agreement to removals.
    """

    settings: Settings
    fleet: FleetState
    limit_table: LimitTable
    dispatcher: Dispatcher
    network: PeerNetwork
    published: PublishedView
    freshness: Freshness
    clock: Clock
    rng: Random
    endpoint: Callable[[], Endpoint]
    keeper: Callable[[object], None]
    store_silent_at: Callable[[], float]
    removals: Callable[[], list[str]]
    agreed: Callable[[str, Iterable[str]], None]
    urgent: UrgentLoanRequests


class MemberActor(HostActor):
    """Keep this host a member, and its shares and loans current."""

    def __init__(self, parts: MemberParts) -> None:
        super().__init__()
        self._p = parts
        self._sequence = count(1)
        self._next_heartbeat = 0.0
        self._applied: tuple[int, ...] = ()
        self._fenced = True
        self._returns: dict[str, list[str]] = {}
        self._fetching = False

    def handle(self, message: object) -> None:
        """Handle one of this module's messages."""
        if isinstance(message, Tick):
            self._tick()
        elif isinstance(message, Answered):
            self._answered(message)
        elif isinstance(message, LoanWanted):
            self._ask_urgently(message)
        elif isinstance(message, RosterSeen):
            self._learn()

    def _tick(self) -> None:
        now = self._p.clock()
        self._p.limit_table.update_demand()
        self._p.dispatcher.tick()
        self._confirm()
        self._refresh_if_changed()
        self._ask_for_slots()
        if now >= self._next_heartbeat:
            jitter = self._p.rng.uniform(0.9, 1.1)
            self._next_heartbeat = (
                now + self._p.settings.membership.heartbeat_s * jitter
            )
            self._send_heartbeats()

    def _learn(self) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            is_new = fleet.apply_roster(self._p.published.view.roster)
        if is_new:
            emit(ROSTER_CHANGED, generation=fleet.roster.generation)
        self._refresh()

    def _confirm(self) -> None:
        fleet = self._p.fleet
        freshness = self._p.freshness
        with fleet.lock:
            # A view that is complete up to a time proves the roster of that time.
            roster = self._p.published.view.roster
            is_newest = roster.generation == fleet.roster.generation
            proven = is_newest and fleet.is_member
            fleet.confirmation.record_roster_read(freshness.confirmed_at, proven)
            at = fleet.confirmed_at()
            store_region = self._p.settings.platform.region
            silent_at = fleet.majority_store_silent_at(
                store_region, self._p.store_silent_at()
            )
            fleet.forget_gone(FORGET_S)
        freshness.record_store_silence(silent_at)
        if at > -inf:
            until = at + self._p.settings.membership.fence_s
            self._p.limit_table.extend_shares(until)
            self._p.dispatcher.confirm(until)
        fenced = at + self._p.settings.membership.fence_s <= self._p.clock()
        if fenced != self._fenced:
            emit(FENCED if fenced else UNFENCED)
            self._fenced = fenced

    def _refresh_if_changed(self) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            now = fleet.clock()
            windows = (fleet.rate_window, fleet.slot_window)
            seen = tuple(r.generation for w in windows for r in w.rosters_in_use(now))
            own = (fleet.rates_generation, fleet.slots_generation)
        behind = any(mine < fleet.roster.generation for mine in own)
        if (*own, *seen) != self._applied or behind:
            self._refresh()
            self._applied = (*own, *seen)

    def _refresh(self) -> None:
        """Use the smallest share over the window, then acknowledge the newest."""
        fleet = self._p.fleet
        with fleet.lock:
            view = self._p.published.view
            self._p.dispatcher.refresh(view, fleet.slot_window, fleet.identity)
            self._p.limit_table.refresh(view)
            fleet.acknowledge(
                rates=not self._p.limit_table.is_overcommitted(),
                slots=not self._p.dispatcher.overfull(),
            )
            now = fleet.clock()
            fleet.rate_window.remove_unused(now)
            fleet.slot_window.remove_unused(now)

    def _send_heartbeats(self) -> None:
        with self._p.fleet.lock:
            targets = self._p.fleet.targets(self._p.settings.peer.seeds)
        asks = plan_loan_requests(self._p.limit_table, self._p.fleet.hints, {})
        returned = self._collect_returns()
        for address, identity in targets.items():
            heartbeat = self._heartbeat(asks.get(identity, []))
            heartbeat.returned_leases.extend(returned.get(identity, []))
            self._send(address, identity, heartbeat)

    def _ask_urgently(self, wanted: LoanWanted) -> None:
        if not self._p.urgent.try_start(wanted.limit):
            return
        hints = self._p.fleet.hints
        plan = plan_loan_requests(
            self._p.limit_table, hints, {wanted.limit: wanted.amount}
        )
        with self._p.fleet.lock:
            addresses = {m.identity: m.peer for m in self._p.fleet.roster.members}
        sequences = []
        for peer in plan:
            if peer in addresses:
                heartbeat = self._heartbeat(plan[peer])
                self._send(addresses[peer], peer, heartbeat)
                sequences.append(heartbeat.sequence)
        self._p.urgent.record_sent(wanted.limit, sequences)

    def _ask_for_slots(self) -> None:
        for pool, wanted in self._p.dispatcher.take_shortages().items():
            for address, identity in self._slot_lenders()[:SLOT_LENDERS]:
                heartbeat = self._heartbeat([])
                heartbeat.slot_asks.append(SlotAsk(pool=pool, slots=wanted))
                self._send(address, identity, heartbeat)

    def _slot_lenders(self) -> list[tuple[str, str]]:
        """Return peers with free slots: this data centre and region first."""
        own = self._p.fleet.own_member
        with self._p.fleet.lock:
            endpoints = self._p.fleet.heard_endpoints()
        free = [e for e in endpoints if e.headroom > 0 and not e.leaving]
        free.sort(
            key=lambda e: (
                e.data_centre != own.data_centre,
                e.region != own.region,
                -e.headroom,
            )
        )
        return [(e.peer, endpoint_identity(e)) for e in free]

    def _collect_returns(self) -> dict[str, list[str]]:
        dispatcher = self._p.dispatcher
        with dispatcher.lock:
            return dispatcher.slots.remove_idle_leases(SLOT_IDLE_S, dispatcher.clock())

    def _heartbeat(self, asks: list[LoanRequest]) -> Heartbeat:
        fleet = self._p.fleet
        heartbeat = Heartbeat(
            sender=self._p.endpoint(),
            sequence=next(self._sequence),
            generation=fleet.roster.generation,
            rates_generation=fleet.rates_generation,
            slots_generation=fleet.slots_generation,
            revision=self._p.published.view.revision,
        )
        for ask in asks:
            heartbeat.asks.append(
                Ask(
                    limit=ask.limit,
                    demand=ask.demand,
                    depth=ask.depth,
                    tokens=ask.tokens,
                    applied=ask.applied,
                    urgent=ask.urgent,
                )
            )
        for identity in self._p.removals():
            heartbeat.removals.append(
                Vouch(identity=identity, generation=fleet.roster.generation)
            )
        return heartbeat

    def _send(self, address: str, identity: str, heartbeat: Heartbeat) -> None:
        sent_at = self._p.clock()
        fut = self._p.network.send_heartbeat(address, heartbeat, PEER_CALL_TIMEOUT_S)

        def hand_over(done: Future[HeartbeatAnswer | None]) -> None:
            # The actor is gone when the host is stopping.
            if self.actor_ref.is_alive():
                answer = done.result()
                number = heartbeat.sequence
                self.actor_ref.tell(
                    Answered(address, identity, number, sent_at, answer)
                )

        fut.add_done_callback(hand_over)

    def _answered(self, message: Answered) -> None:
        try:
            self._use_answer(message)
        finally:
            self._p.urgent.record_end(message.sequence)

    def _use_answer(self, message: Answered) -> None:
        answer = message.answer
        if answer is None:
            with self._p.limit_table.changed:
                self._p.fleet.hints.remove(message.identity)
            return
        identity = endpoint_identity(answer.sender)
        self._note_membership(identity, message, answer)
        self._note_loans(identity, message, answer)
        self._note_view(message, answer)

    def _note_membership(
        self, identity: str, message: Answered, answer: HeartbeatAnswer
    ) -> None:
        fleet = self._p.fleet
        with fleet.lock:
            peer = fleet.record_peer_message(
                answer.sender,
                answer.revision,
                answer.generation,
                answer.rates_generation,
                answer.slots_generation,
            )
            if answer.witness_age_s >= 0:
                at = message.sent_at - answer.witness_age_s
                if answer.revision <= self._p.published.view.revision:
                    peer.store_silent_at = max(peer.store_silent_at, at)
            if answer.confirmed:
                fleet.confirmation.record_peer_confirmation(identity, message.sent_at)
        self._p.agreed(identity, answer.agreed_removals)

    def _note_loans(
        self, identity: str, message: Answered, answer: HeartbeatAnswer
    ) -> None:
        grants = [
            LoanGrant(g.limit, g.rate, g.depth, g.tokens, g.duration_s, g.urgent)
            for g in answer.grants
            if all(
                is_valid_amount(x) for x in (g.rate, g.depth, g.tokens, g.duration_s)
            )
        ]
        apply_grants(
            self._p.limit_table, identity, message.sequence, grants, message.sent_at
        )
        hints = [
            SpareHint(s.limit, s.demand, s.tokens)
            for s in answer.spares
            if is_valid_amount(s.demand) and is_valid_amount(s.tokens)
        ]
        with self._p.limit_table.changed:
            self._p.fleet.hints.record(identity, hints, self._p.clock())
        now = self._p.clock()
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
            self._p.dispatcher.borrow(leases)

    def _note_view(self, message: Answered, answer: HeartbeatAnswer) -> None:
        own = self._p.published.view.revision
        if answer.revision > own:
            self._fetch(message.address, own)
            return
        if answer.revision < own:
            return
        if answer.confirmed_age_s >= 0:
            at = message.sent_at - answer.confirmed_age_s
            self._p.freshness.record_confirmation(at)
        if answer.silent_age_s >= 0:
            self._p.freshness.record_store_silence(
                message.sent_at - answer.silent_age_s
            )

    def _fetch(self, address: str, after: int) -> None:
        sent_at = self._p.clock()
        fut = self._p.network.request_changes(
            address, ChangesRequest(after=after), PEER_CALL_TIMEOUT_S
        )

        def relay(done: object) -> None:
            answer = done.result()
            if answer is None:
                return
            events = tuple(
                ChangeEvent.model_validate_json(event) for event in answer.events
            )
            age = answer.confirmed_age_s
            confirmed_at = sent_at - age if age >= 0 else -inf
            self._p.keeper(
                PeerChanges(events, answer.complete, answer.revision, confirmed_at)
            )

        fut.add_done_callback(relay)
