"""Decide what to ask of which peer, and what to lend to one that asks.

Every host with callers of a customer tells its demand to each peer. The peer divides
its share among all who have demand, itself included, so that the parts add up to one
and idle hosts hold nothing back. Loans are renewed with the heartbeats; when a
borrower dies they come back by themselves.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import isfinite

from damasktally.escrow.hints import HintTable, SpareHint
from damasktally.escrow.limit_table import LimitEntry, LimitTable
from damasktally.escrow.token_bucket import Lease

RATE_LEASE_S = 2.2
"""Seconds for which a share is lent: two heartbeats, and some."""
URGENT_LEASE_S = 0.5
"""Seconds for which tokens are lent to callers who wait."""
DEMAND_RESERVE_S = 0.3
"""Seconds of its own demand that a lender keeps in tokens."""
MAX_CLOCK_DRIFT_RATIO = 0.001
"""Fraction by which two hosts' clocks may run apart."""
FRACTION_TOLERANCE = 0.1
FRACTION_TOLERANCE_RATIO = 0.4
MIN_FRACTION_UNITS = 5.0
"""Units that a part of the fleet's burst must hold to be of use."""
MAX_URGENT_LENDERS = 4
MIN_DEMAND_RATE = 1e-3
MIN_TOKENS = 1e-3
NO_LEASE = Lease(0.0, 0.0, 0.0)
OWN_KEY = "own"
"""Stands for this host where parts are listed by identity; no identity has no slash."""


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask for a part of a limit, or urgently for units.

    An urgent loan brings tokens to callers who wait, and leaves the loan of a rate
    as it is.

    :param demand: units a second that the asker's callers ask for.
    :param depth: units of depth that an urgent loan needs.
    :param tokens: units that callers wait for.
    :param applied: number of the newest question to this peer whose answer is in
        use; loans that answered earlier ones are over.
    """

    limit: str
    demand: float = 0.0
    depth: float = 0.0
    tokens: float = 0.0
    applied: int = 0
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Grant part of a limit for a duration counted from the question."""

    limit: str
    rate: float
    depth: float
    tokens: float
    duration_s: float
    urgent: bool = False


def is_valid_amount(number: float) -> bool:
    """Tell whether a number of a message can be an amount: finite, not negative."""
    return isfinite(number) and number >= 0


def plan_loan_requests(
    limit_table: LimitTable, hints: HintTable, urgent: Mapping[str, float]
) -> dict[str, list[LoanRequest]]:
    """Return what to ask of each peer.

    :param urgent: units that callers are waiting for, by limit; nothing else is
        asked for then.
    :returns: asks by the peer's identity.
    """
    requests: dict[str, list[LoanRequest]] = {}
    with limit_table.changed:
        now = limit_table.clock()
        names = list(urgent) if urgent else list(limit_table.entries)
        for name in names:
            entry = limit_table.entries.get(name)
            if entry is None or _is_idle(entry, urgent.get(name, 0.0)):
                continue
            planner = _LoanPlanner(limit_table, hints, name, entry, now)
            for peer, request in planner.plan(urgent.get(name, 0.0)):
                requests.setdefault(peer, []).append(request)
    return requests


def estimate_peer_tokens(
    limit_table: LimitTable, hints: HintTable, limit: str
) -> float:
    """Return the units that peers are believed to have of a limit that is known."""
    entry = limit_table.entries[limit]
    planner = _LoanPlanner(limit_table, hints, limit, entry, limit_table.clock())
    return sum(state.tokens for state in planner.peer_states)


def grant_loans(
    limit_table: LimitTable,
    hints: HintTable,
    peer: str,
    requests: Iterable[LoanRequest],
    sequence: int,
) -> list[LoanGrant]:
    """Debit and grant what this host can spare.

    :param peer: identity of the borrower's incarnation.
    :param sequence: number of the question, rising with each of that peer.
    """
    grants = []
    with limit_table.changed:
        now = limit_table.clock()
        for request in requests:
            entry = limit_table.entries.get(request.limit)
            if entry is not None:
                loan_key = _loan_key(peer, request.urgent)
                entry.bucket.drop_superseded(loan_key, request.applied, now)
                entry.bucket.advance(now)
                if request.urgent:
                    grants.append(_lend_tokens(entry, loan_key, request, sequence, now))
                    continue
                planner = _LoanPlanner(limit_table, hints, request.limit, entry, now)
                fractions = planner.divide_share(peer, request.demand)
                grants.append(_lend_fraction(entry, peer, fractions, sequence, now))
    return [grant for grant in grants if grant.duration_s > 0]


def apply_grants(
    limit_table: LimitTable,
    peer: str,
    sequence: int,
    grants: Iterable[LoanGrant],
    sent_at: float,
) -> None:
    """Add what a peer granted, and wake the callers who wait for it.

    :param sequence: number of the question, rising with each.
    :param sent_at: when the question was sent, on this host's clock.
    """
    with limit_table.changed:
        now = limit_table.clock()
        for grant in grants:
            entry = limit_table.entries.get(grant.limit)
            if entry is None:
                continue
            until = sent_at + grant.duration_s * (1 - MAX_CLOCK_DRIFT_RATIO)
            lease = Lease(grant.rate, grant.depth, until)
            loan_key = _loan_key(peer, grant.urgent)
            entry.bucket.borrow(loan_key, sequence, lease, grant.tokens, now)
        limit_table.changed.notify_all()


def collect_spare_hints(limit_table: LimitTable) -> list[SpareHint]:
    """Return how this host stands with each limit that is not idle here."""
    hints = []
    with limit_table.changed:
        now = limit_table.clock()
        for name, entry in limit_table.entries.items():
            entry.bucket.advance(now)
            tokens = _spare_tokens(entry, now)
            is_full = tokens >= entry.bucket.depth - MIN_TOKENS
            if entry.demand.rate > MIN_DEMAND_RATE or not is_full:
                hints.append(SpareHint(name, entry.demand.smoothed_rate, tokens))
    return hints


@dataclass(frozen=True, slots=True)
class _Stand:
    """Hold what is believed of one peer and one limit."""

    peer: str
    demand: float
    tokens: float


class _LoanPlanner:
    """Work out one limit's loans from what is believed of the peers."""

    def __init__(
        self,
        limit_table: LimitTable,
        hints: HintTable,
        name: str,
        entry: LimitEntry,
        now: float,
    ) -> None:
        self._hints = hints
        self._name = name
        self._entry = entry
        self._now = now
        self.peer_states = [
            self._peer_state(limit_table, peer)
            for peer in hints.recent_peers(now)
            if limit_table.member_share(entry, peer) > 0
        ]

    def divide_share(self, borrower: str, demand: float) -> dict[str, float]:
        """Return each host's part of the demand; the parts add up to one.

        Small changes of demand do not change the parts: each time a loan becomes
        smaller, tokens above its new depth are lost.
        """
        demands = {state.peer: state.demand for state in self.peer_states}
        demands[borrower] = demand
        demands[OWN_KEY] = self._entry.demand.smoothed_rate
        total = sum(demands.values())
        if total <= MIN_DEMAND_RATE:
            return {}
        wanted = self._useful_fractions(demands, total)
        if _has_changed(wanted, self._entry.fractions):
            self._entry.fractions = wanted
        return self._entry.fractions

    def _useful_fractions(
        self, demands: Mapping[str, float], total: float
    ) -> dict[str, float]:
        """Return the parts, none of them too small to hold what a caller takes.

        Tokens that can never add up to a whole one would only overflow; a host
        without a part asks for tokens when a caller comes.
        """
        smallest = (
            MIN_FRACTION_UNITS * self._entry.min_amount * total / self._entry.burst
        )
        useful = {name: held for name, held in demands.items() if held >= smallest}
        if not useful:
            holder = self._sole_holder(demands)
            useful = {holder: demands[holder]}
        left = sum(useful.values())
        return {name: held / left for name, held in useful.items()}

    def _sole_holder(self, demands: Mapping[str, float]) -> str:
        """Return who holds a limit that is too small to be divided.

        It stays with its holder until another has twice the demand.
        """
        largest = max(demands, key=lambda name: (demands[name], name))
        for held in self._entry.fractions:
            if 2 * demands.get(held, 0.0) > demands[largest]:
                return held
        return largest

    def plan(self, urgent: float) -> list[tuple[str, LoanRequest]]:
        """Return an ask for each peer that can help."""
        self._entry.bucket.advance(self._now)
        return self._plan_urgent(urgent) if urgent else self._plan_regular()

    def _plan_regular(self) -> list[tuple[str, LoanRequest]]:
        demand = self._entry.demand.smoothed_rate
        return [
            (state.peer, self._set_applied(state, LoanRequest(self._name, demand)))
            for state in self.peer_states
        ]

    def _plan_urgent(self, urgent: float) -> list[tuple[str, LoanRequest]]:
        held = max(0.0, self._entry.bucket.tokens)
        before = self._entry.bucket.borrowed_leases(self._now)
        # One unit more, for who comes while the question is under way.
        needed = max(0.0, urgent + self._entry.min_amount - held)
        planned = []
        for state in sorted(self.peer_states, key=_lender_rank, reverse=True):
            tokens = min(needed, state.tokens)
            if tokens <= MIN_TOKENS:
                # Nothing is known to be there; those with callers may have some by now.
                tokens = needed
            if len(planned) == MAX_URGENT_LENDERS or tokens <= MIN_TOKENS:
                break
            needed -= tokens
            lease = before.get(_loan_key(state.peer, True), NO_LEASE)
            # A loan replaces the one before, whose unspent tokens need its depth.
            depth = tokens + min(lease.depth, held)
            request = LoanRequest(self._name, 0.0, depth, tokens, urgent=True)
            self._hints.lower_tokens(state.peer, self._name, tokens, state.tokens)
            planned.append((state.peer, self._set_applied(state, request)))
        return planned

    def _set_applied(self, state: "_Stand", request: LoanRequest) -> LoanRequest:
        loan_key = _loan_key(state.peer, request.urgent)
        lease = self._entry.bucket.borrowed_leases(self._now).get(loan_key, NO_LEASE)
        return replace(request, applied=lease.sequence)

    def _peer_state(self, limit_table: LimitTable, peer: str) -> _Stand:
        share = limit_table.member_share(self._entry, peer)
        hint = self._hints.find(peer, self._name)
        if hint is None:
            return _Stand(peer, 0.0, share * self._entry.burst)
        return _Stand(peer, hint.demand, hint.tokens)


def _is_idle(entry: LimitEntry, urgent: float) -> bool:
    return entry.demand.rate <= MIN_DEMAND_RATE and urgent <= 0


def _spare_tokens(entry: LimitEntry, now: float) -> float:
    kept = entry.demand.rate * DEMAND_RESERVE_S
    tokens = max(0.0, entry.bucket.tokens - kept)
    return min(tokens, entry.bucket.lendable_depth(now))


def _lender_rank(state: _Stand) -> tuple[float, float]:
    return state.tokens, state.demand


def _loan_key(peer: str, urgent: bool) -> str:
    """Return the name that a peer's loans of a kind are kept under."""
    return f"{peer} urgent" if urgent else peer


def _has_changed(wanted: Mapping[str, float], held: Mapping[str, float]) -> bool:
    for name in wanted.keys() | held.keys():
        before = held.get(name, 0.0)
        change = abs(wanted.get(name, 0.0) - before)
        if change > min(FRACTION_TOLERANCE, FRACTION_TOLERANCE_RATIO * before):
            return True
    return False


def _surplus_tokens(entry: LimitEntry) -> float:
    return max(0.0, entry.bucket.tokens - entry.demand.rate * DEMAND_RESERVE_S)


def _lend_fraction(
    entry: LimitEntry,
    peer: str,
    fractions: Mapping[str, float],
    sequence: int,
    now: float,
) -> LoanGrant:
    bucket = entry.bucket
    fraction = fractions.get(peer, 0.0)
    wanted = Lease(
        fraction * bucket.rate, fraction * bucket.depth, now + RATE_LEASE_S, sequence
    )
    tokens = fraction * _surplus_tokens(entry)
    keep = fractions.get(OWN_KEY, 0.0) * bucket.rate
    lease, moved = bucket.lend(peer, wanted, tokens, keep, now)
    duration = max(0.0, lease.expires_at - now)
    return LoanGrant(entry.name, lease.rate, lease.depth, moved, duration)


def _lend_tokens(
    entry: LimitEntry, loan_key: str, request: LoanRequest, sequence: int, now: float
) -> LoanGrant:
    tokens = min(request.tokens, _surplus_tokens(entry))
    if tokens <= MIN_TOKENS:
        return LoanGrant(entry.name, 0.0, 0.0, 0.0, 0.0, urgent=True)
    # Depth without tokens would only be missing here.
    depth = request.depth - request.tokens + tokens
    wanted = Lease(0.0, depth, now + URGENT_LEASE_S, sequence)
    lease, moved = entry.bucket.lend(
        loan_key, wanted, tokens, 0.0, now, include_borrowed=True
    )
    duration = max(0.0, lease.expires_at - now)
    return LoanGrant(entry.name, 0.0, lease.depth, moved, duration, urgent=True)
