"""Plan loan requests to peers, and decide what to lend to peers that request it.

Every host with callers of a customer sends its demand to each peer. The peer divides
its share among all hosts with demand, itself included, in fractions that add up to
one, so that idle hosts keep nothing unused. Loans are renewed with the heartbeats; if
a borrower fails, they expire and the lender has the share again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import isfinite

from damasktally.escrow.hints import HintTable, SpareHint
from damasktally.escrow.limit_table import LimitEntry, LimitTable
from damasktally.escrow.token_bucket import Lease

RATE_LEASE_S = 2.2
"""Seconds for which a share is lent: two heartbeat intervals and a margin."""
URGENT_LEASE_S = 0.5
"""Seconds for which tokens are lent for callers that wait."""
DEMAND_RESERVE_S = 0.3
"""Seconds of its own demand for which a lender keeps tokens."""
MAX_CLOCK_DRIFT_RATIO = 0.001
"""Largest relative difference between the rates of two hosts' clocks."""
FRACTION_TOLERANCE = 0.1
"""Change of a fraction up to which the fractions in use are kept."""
FRACTION_TOLERANCE_RATIO = 0.4
"""The same in proportion to the fraction in use; the smaller limit applies."""
MIN_TAKES_PER_FRACTION = 5.0
"""How many smallest takes a fraction of the fleet's burst must hold to be lent."""
MAX_URGENT_LENDERS = 4
"""Peers that are asked at a time for tokens that callers wait for."""
MIN_DEMAND_RATE = 1e-3
"""Demand that counts as none, in units a second."""
MIN_TOKENS = 1e-3
"""Tokens that count as none."""
NO_LEASE = Lease(0.0, 0.0, 0.0)
OWN_KEY = "own"
"""Key of this host among fractions by identity; identities contain a slash."""


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Represent a request for a part of a limit, or an urgent one for tokens.

    An urgent loan moves tokens for callers that wait; it does not replace a loan of
    rate.

    :param limit: name of the limit.
    :param demand: units a second that the borrower's callers request.
    :param depth: bucket depth that an urgent loan needs, in units.
    :param tokens: units that callers wait for.
    :param applied: number of the newest request to this peer whose answer is in use;
        loans that answered earlier requests have ended.
    :param urgent: whether callers wait for the tokens.
    """

    limit: str
    demand: float = 0.0
    depth: float = 0.0
    tokens: float = 0.0
    applied: int = 0
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Represent a loan of a part of a limit.

    :param limit: name of the limit.
    :param rate: units a second.
    :param depth: bucket depth, in units.
    :param tokens: units that are moved with the loan.
    :param duration_s: seconds, counted from when the request was sent.
    :param urgent: whether the loan answers an urgent request.
    """

    limit: str
    rate: float
    depth: float
    tokens: float
    duration_s: float
    urgent: bool = False


def is_valid_amount(number: float) -> bool:
    """Return whether a received number can be an amount: finite and not negative."""
    return isfinite(number) and number >= 0


def plan_loan_requests(
    limit_table: LimitTable, hints: HintTable, awaited: Mapping[str, float]
) -> dict[str, list[LoanRequest]]:
    """Return the loan requests to send to each peer.

    :param awaited: units that callers wait for, by limit; if there are any, nothing
        else is requested.
    :returns: requests by the peer's identity.
    """
    requests: dict[str, list[LoanRequest]] = {}
    with limit_table.changed:
        now = limit_table.clock()
        names = list(awaited) if awaited else list(limit_table.entries)
        for name in names:
            entry = limit_table.entries.get(name)
            if entry is None or _is_idle(entry, awaited.get(name, 0.0)):
                continue
            planner = _LoanPlanner(limit_table, hints, name, entry, now)
            for peer, request in planner.plan(awaited.get(name, 0.0)):
                requests.setdefault(peer, []).append(request)
    return requests


def estimate_peer_tokens(
    limit_table: LimitTable, hints: HintTable, limit: str
) -> float:
    """Return the units of a known limit that peers are assumed to be able to lend."""
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
    """Debit and return the loans that this host can grant.

    :param peer: identity of the borrower's incarnation.
    :param sequence: number of the message with the requests; each message of a peer has
        a higher one.
    :returns: the loans; a request that nothing can be lent for has none.
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
    """Add the loans that a peer granted, and wake the callers that wait for them.

    :param peer: identity of the lender's incarnation.
    :param sequence: number of the message with the requests; each message has a higher
        one.
    :param sent_at: when the requests were sent, in seconds of this host's clock.
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
    """Return this host's demand and spare tokens for each limit that is not idle."""
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
    """Hold the assumed state of one limit at one peer.

    :param demand: units a second that the peer's callers request.
    :param tokens: units that the peer could lend.
    """

    peer: str
    demand: float
    tokens: float


class _LoanPlanner:
    """Compute the loans of one limit from the assumed states of the peers."""

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
        """Return the fraction of this host's share for each host with demand.

        The fractions add up to one. Small changes of demand do not change them: each
        time a loan becomes smaller, tokens above its new depth are lost.

        :param borrower: identity of the host that requests a loan.
        :param demand: its demand, in units a second.
        :returns: fractions by identity, none if there is no demand.
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
        """Return the fractions without those too small for what a caller takes.

        Tokens in a bucket that can never hold enough for one caller would only be
        lost. A host without a fraction requests tokens urgently when it has a caller.
        """
        smallest = (
            MIN_TAKES_PER_FRACTION * self._entry.min_amount * total / self._entry.burst
        )
        useful = {
            name: demand for name, demand in demands.items() if demand >= smallest
        }
        if not useful:
            holder = self._sole_holder(demands)
            useful = {holder: demands[holder]}
        useful_total = sum(useful.values())
        return {name: demand / useful_total for name, demand in useful.items()}

    def _sole_holder(self, demands: Mapping[str, float]) -> str:
        """Return the host that gets the whole share of a limit too small to divide.

        The host that has it keeps it until another host has at least twice its demand.
        """
        largest = max(demands, key=lambda name: (demands[name], name))
        for holder in self._entry.fractions:
            if 2 * demands.get(holder, 0.0) > demands[largest]:
                return holder
        return largest

    def plan(self, awaited: float) -> list[tuple[str, LoanRequest]]:
        """Return the requests to send, by peer.

        :param awaited: units that callers wait for, or 0 for regular requests.
        """
        self._entry.bucket.advance(self._now)
        return self._plan_urgent(awaited) if awaited else self._plan_regular()

    def _plan_regular(self) -> list[tuple[str, LoanRequest]]:
        demand = self._entry.demand.smoothed_rate
        return [
            (state.peer, self._set_applied(state, LoanRequest(self._name, demand)))
            for state in self.peer_states
        ]

    def _plan_urgent(self, awaited: float) -> list[tuple[str, LoanRequest]]:
        available_tokens = max(0.0, self._entry.bucket.tokens)
        earlier_leases = self._entry.bucket.borrowed_leases(self._now)
        # One more caller may arrive before the answer does.
        needed = max(0.0, awaited + self._entry.min_amount - available_tokens)
        planned = []
        for state in sorted(self.peer_states, key=_lender_rank, reverse=True):
            tokens = min(needed, state.tokens)
            if tokens <= MIN_TOKENS:
                # The hints show no tokens, but peers with callers may have some by now.
                tokens = needed
            if len(planned) == MAX_URGENT_LENDERS or tokens <= MIN_TOKENS:
                break
            needed -= tokens
            lease = earlier_leases.get(_loan_key(state.peer, True), NO_LEASE)
            # The loan replaces the last one, whose unused tokens need depth too.
            depth = tokens + min(lease.depth, available_tokens)
            request = LoanRequest(self._name, 0.0, depth, tokens, urgent=True)
            self._hints.lower_tokens(state.peer, self._name, tokens, state.tokens)
            planned.append((state.peer, self._set_applied(state, request)))
        return planned

    def _set_applied(self, state: "_Stand", request: LoanRequest) -> LoanRequest:
        """Return the request with the number of the last applied answer."""
        loan_key = _loan_key(state.peer, request.urgent)
        lease = self._entry.bucket.borrowed_leases(self._now).get(loan_key, NO_LEASE)
        return replace(request, applied=lease.sequence)

    def _peer_state(self, limit_table: LimitTable, peer: str) -> _Stand:
        """Return the last reported state, or an idle peer with a full share."""
        share = limit_table.member_share(self._entry, peer)
        hint = self._hints.find(peer, self._name)
        if hint is None:
            return _Stand(peer, 0.0, share * self._entry.burst)
        return _Stand(peer, hint.demand, hint.tokens)


def _is_idle(entry: LimitEntry, awaited: float) -> bool:
    return entry.demand.rate <= MIN_DEMAND_RATE and awaited <= 0


def _spare_tokens(entry: LimitEntry, now: float) -> float:
    """Return the tokens beyond the reserve that this host could lend."""
    kept = entry.demand.rate * DEMAND_RESERVE_S
    tokens = max(0.0, entry.bucket.tokens - kept)
    return min(tokens, entry.bucket.lendable_depth(now))


def _lender_rank(state: _Stand) -> tuple[float, float]:
    """Return a sort key: most tokens first, then most demand."""
    return state.tokens, state.demand


def _loan_key(peer: str, urgent: bool) -> str:
    """Return the key of a peer's regular or urgent loans in a bucket."""
    return f"{peer} urgent" if urgent else peer


def _has_changed(wanted: Mapping[str, float], in_use: Mapping[str, float]) -> bool:
    """Return whether any fraction differs by more than the tolerance."""
    for name in wanted.keys() | in_use.keys():
        before = in_use.get(name, 0.0)
        change = abs(wanted.get(name, 0.0) - before)
        if change > min(FRACTION_TOLERANCE, FRACTION_TOLERANCE_RATIO * before):
            return True
    return False


def _surplus_tokens(entry: LimitEntry) -> float:
    """Return the tokens beyond the reserve for this host's own demand."""
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
    kept_rate = fractions.get(OWN_KEY, 0.0) * bucket.rate
    lease, moved = bucket.lend(peer, wanted, tokens, kept_rate, now)
    duration = max(0.0, lease.expires_at - now)
    return LoanGrant(entry.name, lease.rate, lease.depth, moved, duration)


def _lend_tokens(
    entry: LimitEntry, loan_key: str, request: LoanRequest, sequence: int, now: float
) -> LoanGrant:
    tokens = min(request.tokens, _surplus_tokens(entry))
    if tokens <= MIN_TOKENS:
        return LoanGrant(entry.name, 0.0, 0.0, 0.0, 0.0, urgent=True)
    # Depth beyond the tokens moved would be of no use there and is needed here.
    depth = request.depth - request.tokens + tokens
    wanted = Lease(0.0, depth, now + URGENT_LEASE_S, sequence)
    lease, moved = entry.bucket.lend(
        loan_key, wanted, tokens, 0.0, now, include_borrowed=True
    )
    duration = max(0.0, lease.expires_at - now)
    return LoanGrant(entry.name, 0.0, lease.depth, moved, duration, urgent=True)
