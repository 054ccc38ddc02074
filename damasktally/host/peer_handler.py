"""Handler of peer calls: membership votes, loans and relayed changes."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from damasktally.escrow.lending import (
    LoanGrant,
    LoanRequest,
    collect_spare_hints,
    grant_loans,
    is_valid_amount,
)
from damasktally.escrow.limit_table import LimitTable
from damasktally.escrow.shares import RosterView
from damasktally.host.fleet import FleetState, endpoint_identity
from damasktally.host.view_keeper import PublishedView
from damasktally.membership.freshness import Freshness
from damasktally.peers.peer_pb2 import (
    ChangesAnswer,
    ChangesRequest,
    Endpoint,
    Grant,
    Heartbeat,
    HeartbeatAnswer,
    SlotGrant,
    Spare,
)
from damasktally.steering.dispatcher import Dispatcher


@dataclass
class HostPeerHandler:
    """Handler of calls from peers.

    :param make_endpoint: returns this host's own addresses and state.
    :param store_silent_at: returns when this host last got no response from the store,
        in seconds.
    """

    fleet: FleetState
    limit_table: LimitTable
    dispatcher: Dispatcher
    published: PublishedView
    freshness: Freshness
    make_endpoint: Callable[[], Endpoint]
    store_silent_at: Callable[[], float]

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Handle a heartbeat and return the answer to it.

        The answer confirms the sender's membership, votes on the removals that it
        proposes, and grants the loans that it requests.
        """
        identity = endpoint_identity(heartbeat.sender)
        answer = HeartbeatAnswer(sender=self.make_endpoint())
        self._answer_membership(identity, heartbeat, answer)
        self._answer_loans(identity, heartbeat, answer)
        answer.revision = self.published.view.revision
        answer.confirmed_age_s = self.freshness.confirmed_age_s()
        answer.silent_age_s = self.freshness.silent_age_s()
        answer.witness_age_s = self._store_silent_age_s()
        return answer

    def handle_changes_request(self, request: ChangesRequest) -> ChangesAnswer:
        """Return the changes that this host has after the requested revision."""
        relayed = self.published.changes_after(request.after)
        return ChangesAnswer(
            revision=relayed.revision,
            complete=relayed.complete,
            events=[event.model_dump_json().encode() for event in relayed.events],
            confirmed_age_s=self.freshness.confirmed_age_s(),
        )

    def _answer_membership(
        self, identity: str, heartbeat: Heartbeat, answer: HeartbeatAnswer
    ) -> None:
        fleet = self.fleet
        with fleet.lock:
            now = fleet.clock()
            fleet.record_peer_message(
                heartbeat.sender,
                heartbeat.revision,
                heartbeat.generation,
                heartbeat.rates_generation,
                heartbeat.slots_generation,
            )
            answer.confirmed = fleet.voter.confirm(
                identity, self._current_roster(), now
            )
            answer.agreed_removals.extend(
                removal.identity
                for removal in heartbeat.removals
                if fleet.voter.agree_to_removal(
                    removal.identity, removal.generation, now
                )
            )
            answer.generation = fleet.roster.generation
            answer.rates_generation = fleet.rates_generation
            answer.slots_generation = fleet.slots_generation

    def _answer_loans(
        self, identity: str, heartbeat: Heartbeat, answer: HeartbeatAnswer
    ) -> None:
        if self.fleet.leaving:
            heartbeat.ClearField("asks")
            heartbeat.ClearField("slot_asks")
        loan_requests = [
            LoanRequest(a.limit, a.demand, a.depth, a.tokens, a.applied, a.urgent)
            for a in heartbeat.asks
            if is_valid_amount(a.demand)
            and is_valid_amount(a.depth)
            and is_valid_amount(a.tokens)
        ]
        for grant in self._grant_loans(identity, loan_requests, heartbeat.sequence):
            answer.grants.append(
                Grant(
                    limit=grant.limit,
                    rate=grant.rate,
                    depth=grant.depth,
                    tokens=grant.tokens,
                    duration_s=grant.duration_s,
                    urgent=grant.urgent,
                )
            )
        for hint in collect_spare_hints(self.limit_table):
            answer.spares.append(
                Spare(limit=hint.limit, demand=hint.demand, tokens=hint.tokens)
            )
        with self.dispatcher.lock:
            self.dispatcher.slots.end_loans(identity, heartbeat.returned_leases)
            for ask in heartbeat.slot_asks:
                self._lend_slots(identity, ask.pool, ask.slots, answer)

    def _grant_loans(
        self, identity: str, loan_requests: list[LoanRequest], sequence: int
    ) -> list[LoanGrant]:
        return grant_loans(
            self.limit_table, self.fleet.hints, identity, loan_requests, sequence
        )

    def _lend_slots(
        self, identity: str, pool: str, wanted: int, answer: HeartbeatAnswer
    ) -> None:
        now = self.dispatcher.clock()
        for server, lease in self.dispatcher.lend(identity, pool, wanted):
            answer.slot_grants.append(
                SlotGrant(
                    server=server,
                    slots=lease.slots,
                    lease=lease.lease_id,
                    duration_s=lease.expires_at - now,
                )
            )

    def _current_roster(self) -> RosterView | None:
        return self.fleet.rate_window.current

    def _store_silent_age_s(self) -> float:
        silent_at = self.store_silent_at()
        return -1.0 if silent_at == -inf else self.fleet.clock() - silent_at
