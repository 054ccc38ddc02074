"""Decide what to ask of which peer, and what to lend to one that asks.

Every host with callers of a customer asks each peer for the part of the peer's
share that corresponds to its own part of the fleet's demand. The parts add up to
one, so that shares follow the callers, and idle hosts hold nothing back. Loans are
renewed with the heartbeats; when a borrower dies they come back by themselves.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from damasktally.escrow.bucket import Lease
from damasktally.escrow.ledger import Ledger, LimitEntry

LEASE_S = 2.2
"""Seconds for which a share is lent: two heartbeats, and some."""
HORIZON_S = 0.3
"""Seconds of its own demand that a lender keeps in tokens."""
HINT_LIFE_S = 3.0
CLOCK_DRIFT = 0.001
"""Fraction by which two hosts' clocks may run apart."""
PART_TOLERANCE = 0.1
PART_TOLERANCE_RATIO = 0.4
MIN_RATE = 1e-3
MIN_TOKENS = 1e-3
NO_LEASE = Lease(0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class LimitAsk:
    """Ask for part of a limit: units a second, depth, and units at once.

    An urgent loan brings tokens to callers who wait, and leaves the loan of a rate
    as it is.

    :param applied: number of the newest question to this peer whose answer is in
        use; loans that answered earlier ones are over.
    """

    limit: str
    rate: float
    depth: float
    tokens: float
    applied: int = 0
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class LimitGrant:
    """Grant part of a limit for a duration counted from the question."""

    limit: str
    rate: float
    depth: float
    tokens: float
    duration_s: float
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class SpareHint:
    """Tell how a peer stood with a limit when it last answered.

    :param demand: units a second that its callers ask for.
    :param tokens: units that it could lend.
    """

    limit: str
    demand: float
    tokens: float


@dataclass
class HintTable:
    """Remember what each peer said, until it is too old.

    A peer that says nothing of a limit has no callers for it, and all its tokens.
    """

    _hints: dict[str, dict[str, SpareHint]] = field(default_factory=dict)
    _at: dict[str, float] = field(default_factory=dict)

    def record(self, peer: str, hints: Iterable[SpareHint], now: float) -> None:
        """Replace what is known of a peer."""
        self._hints[peer] = {hint.limit: hint for hint in hints}
        self._at[peer] = now

    def spent(self, peer: str, limit: str, tokens: float, left: float) -> None:
        """Lower a hint by what was asked for, so that it is not asked twice.

        :param left: tokens that the peer was believed to have.
        """
        before = self._hints[peer].get(limit)
        demand = before.demand if before is not None else 0.0
        hint = SpareHint(limit, demand, max(0.0, left - tokens))
        self._hints[peer][limit] = hint

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that no longer answers."""
        self._hints.pop(peer, None)
        self._at.pop(peer, None)

    def peers(self, now: float) -> list[str]:
        """Return the peers that answered lately."""
        return [peer for peer, at in self._at.items() if now - at <= HINT_LIFE_S]

    def find(self, peer: str, limit: str) -> SpareHint | None:
        """Return what a peer said of a limit, or nothing."""
        return self._hints.get(peer, {}).get(limit)


def plan_asks(
    ledger: Ledger, hints: HintTable, urgent: Mapping[str, float]
) -> dict[str, list[LimitAsk]]:
    """Return what to ask of each peer.

    :param urgent: units that callers are waiting for, by limit; nothing else is
        asked for then.
    :returns: asks by the peer's identity.
    """
    asks: dict[str, list[LimitAsk]] = {}
    with ledger.changed:
        now = ledger.clock()
        names = list(urgent) if urgent else list(ledger.entries)
        for name in names:
            entry = ledger.entries.get(name)
            if entry is None or _is_idle(entry, urgent.get(name, 0.0)):
                continue
            planner = _Planner(ledger, hints, name, entry, now)
            for peer, ask in planner.plan(urgent.get(name, 0.0)):
                asks.setdefault(peer, []).append(ask)
    return asks


def believed_tokens(ledger: Ledger, hints: HintTable, limit: str) -> float:
    """Return the tokens that peers are believed to have to spare."""
    entry = ledger.entries.get(limit)
    if entry is None:
        return 0.0
    with ledger.changed:
        planner = _Planner(ledger, hints, limit, entry, ledger.clock())
        return sum(stand.tokens for stand in planner.stands)


def answer_asks(
    ledger: Ledger,
    hints: HintTable,
    peer: str,
    asks: Iterable[LimitAsk],
    sequence: int,
) -> list[LimitGrant]:
    """Debit and grant what this host can spare.

    :param peer: identity of the borrower's incarnation.
    :param sequence: number of the question, rising with each of that peer.
    """
    grants = []
    with ledger.changed:
        now = ledger.clock()
        for ask in asks:
            entry = ledger.entries.get(ask.limit)
            if entry is not None:
                planner = _Planner(ledger, hints, ask.limit, entry, now)
                wanted = Lease(ask.rate, ask.depth, now + LEASE_S, sequence)
                grants.append(_lend(entry, peer, ask, wanted, planner.own_part, now))
    return [grant for grant in grants if grant.duration_s > 0]


def apply_grants(
    ledger: Ledger,
    peer: str,
    sequence: int,
    grants: Iterable[LimitGrant],
    sent_at: float,
) -> None:
    """Add what a peer granted, and wake the callers who wait for it.

    :param sequence: number of the question, rising with each.
    :param sent_at: when the question was sent, on this host's clock.
    """
    with ledger.changed:
        now = ledger.clock()
        for grant in grants:
            entry = ledger.entries.get(grant.limit)
            if entry is None:
                continue
            until = sent_at + grant.duration_s * (1 - CLOCK_DRIFT)
            lease = Lease(grant.rate, grant.depth, until)
            account = _account(peer, grant.urgent)
            entry.bucket.borrow(account, sequence, lease, grant.tokens, now)
        ledger.changed.notify_all()


def spare_hints(ledger: Ledger) -> list[SpareHint]:
    """Return how this host stands with each limit that is not idle here."""
    hints = []
    with ledger.changed:
        now = ledger.clock()
        for name, entry in ledger.entries.items():
            entry.bucket.advance(now)
            tokens = _spare_tokens(entry, now)
            full = tokens >= entry.bucket.depth - MIN_TOKENS
            if entry.demand.rate > MIN_RATE or not full:
                hints.append(SpareHint(name, entry.demand.steady, tokens))
    return hints


@dataclass(frozen=True, slots=True)
class _Stand:
    """Hold what is believed of one peer and one limit."""

    peer: str
    rate: float
    depth: float
    demand: float
    tokens: float


class _Planner:
    """Work out one limit's loans from what is believed of the peers."""

    def __init__(
        self,
        ledger: Ledger,
        hints: HintTable,
        name: str,
        entry: LimitEntry,
        now: float,
    ) -> None:
        self._hints = hints
        self._name = name
        self._entry = entry
        self._now = now
        self.stands = [
            self._stand(ledger, peer)
            for peer in hints.peers(now)
            if ledger.weight(entry, peer) > 0
        ]

    @property
    def own_part(self) -> float:
        """Return this host's part of the fleet's demand, from 0 to 1."""
        own = self._entry.demand.steady
        total = own + sum(stand.demand for stand in self.stands)
        return own / total if total > MIN_RATE else 0.0

    def plan(self, urgent: float) -> list[tuple[str, LimitAsk]]:
        """Return an ask for each peer that can help."""
        self._entry.bucket.advance(self._now)
        return self._plan_urgent(urgent) if urgent else self._plan_regular()

    def _plan_regular(self) -> list[tuple[str, LimitAsk]]:
        part = self._steady_part()
        found = []
        for stand in self.stands:
            depth = part * stand.depth
            if depth <= MIN_TOKENS:
                continue
            tokens = part * stand.tokens
            found.append(self._ask(stand, part * stand.rate, depth, tokens, False))
        return found

    def _plan_urgent(self, urgent: float) -> list[tuple[str, LimitAsk]]:
        held = max(0.0, self._entry.bucket.tokens)
        before = self._entry.bucket.borrowed(self._now)
        needed = max(0.0, urgent - held)
        found = []
        for stand in sorted(self.stands, key=lambda s: s.tokens, reverse=True):
            tokens = min(needed, stand.tokens)
            if tokens <= MIN_TOKENS:
                break
            needed -= tokens
            lease = before.get(_account(stand.peer, True), NO_LEASE)
            # A loan replaces the one before, whose unspent tokens need its depth.
            depth = tokens + min(lease.depth, held)
            found.append(self._ask(stand, 0.0, depth, tokens, True))
        return found

    def _ask(
        self, stand: "_Stand", rate: float, depth: float, tokens: float, urgent: bool
    ) -> tuple[str, LimitAsk]:
        lease = self._entry.bucket.borrowed(self._now).get(
            _account(stand.peer, urgent), NO_LEASE
        )
        self._hints.spent(stand.peer, self._name, tokens, stand.tokens)
        ask = LimitAsk(self._name, rate, depth, tokens, lease.sequence, urgent)
        return stand.peer, ask

    def _steady_part(self) -> float:
        """Return the part to ask for; small changes of demand do not change it.

        Each time a loan becomes smaller, tokens above its new depth are lost.
        """
        entry = self._entry
        wanted = self.own_part
        change = abs(wanted - entry.part)
        tolerated = min(PART_TOLERANCE, PART_TOLERANCE_RATIO * entry.part)
        if change > tolerated:
            entry.part = wanted
        return entry.part

    def _stand(self, ledger: Ledger, peer: str) -> _Stand:
        weight = ledger.weight(self._entry, peer)
        rate = weight * self._entry.rate
        depth = weight * self._entry.burst
        hint = self._hints.find(peer, self._name)
        if hint is None:
            return _Stand(peer, rate, depth, 0.0, depth)
        return _Stand(peer, rate, depth, hint.demand, hint.tokens)


def _is_idle(entry: LimitEntry, urgent: float) -> bool:
    return entry.demand.rate <= MIN_RATE and urgent <= 0


def _spare_tokens(entry: LimitEntry, now: float) -> float:
    kept = entry.demand.rate * HORIZON_S
    tokens = max(0.0, entry.bucket.tokens - kept)
    return min(tokens, entry.bucket.spare_depth(now))


def _account(peer: str, urgent: bool) -> str:
    """Return the name that a peer's loans of a kind are kept under."""
    return f"{peer} urgent" if urgent else peer


def _lend(
    entry: LimitEntry,
    peer: str,
    ask: LimitAsk,
    wanted: Lease,
    own_part: float,
    now: float,
) -> LimitGrant:
    account = _account(peer, ask.urgent)
    entry.bucket.applied(account, ask.applied, now)
    entry.bucket.advance(now)
    keep = own_part * entry.bucket.rate
    surplus = max(0.0, entry.bucket.tokens - entry.demand.rate * HORIZON_S)
    tokens = min(ask.tokens, surplus)
    lease, moved = entry.bucket.lend(account, wanted, tokens, keep, now, ask.urgent)
    duration = max(0.0, lease.until - now)
    return LimitGrant(entry.name, lease.rate, lease.depth, moved, duration, ask.urgent)
