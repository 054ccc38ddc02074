"""Decide what to ask of which peer, and what to lend to one that asks."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from damasktally.escrow.bucket import Lease
from damasktally.escrow.ledger import Ledger, LimitEntry

LEASE_S = 2.5
"""Seconds for which a rate is lent; the borrower renews it with its heartbeats."""
HORIZON_S = 0.3
"""Seconds of forecast demand that a host wants to have in tokens."""
HINT_LIFE_S = 2.5
CLOCK_DRIFT = 0.001
"""Fraction by which two hosts' clocks may run apart."""
MIN_RATE = 1e-3
MIN_TOKENS = 1e-3
NO_LEASE = Lease(0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class LimitAsk:
    """Ask for part of a limit: units a second, depth, and units at once."""

    limit: str
    rate: float
    depth: float
    tokens: float


@dataclass(frozen=True, slots=True)
class LimitGrant:
    """Grant part of a limit for a duration counted from the question."""

    limit: str
    rate: float
    depth: float
    tokens: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class SpareHint:
    """Tell what a peer could lend when it last answered.

    :param rate: units a second.
    :param tokens: units.
    """

    limit: str
    rate: float
    tokens: float


@dataclass
class HintTable:
    """Remember what each peer could lend, until the hint is too old.

    :param hints: by peer's identity and limit; the time is when it arrived.
    """

    _hints: dict[str, dict[str, SpareHint]] = field(default_factory=dict)
    _at: dict[str, float] = field(default_factory=dict)

    def record(self, peer: str, hints: Iterable[SpareHint], now: float) -> None:
        """Replace what is known of a peer."""
        self._hints[peer] = {hint.limit: hint for hint in hints}
        self._at[peer] = now

    def spent(self, peer: str, limit: str, rate: float, tokens: float) -> None:
        """Lower a hint by what was asked for, so that it is not asked twice."""
        hint = self._hints.get(peer, {}).get(limit)
        if hint is not None:
            left = SpareHint(
                limit, max(0.0, hint.rate - rate), max(0.0, hint.tokens - tokens)
            )
            self._hints[peer][limit] = left

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that no longer answers."""
        self._hints.pop(peer, None)
        self._at.pop(peer, None)

    def lenders(self, limit: str, now: float) -> list[tuple[str, SpareHint]]:
        """Return the peers with something to lend, the richest first."""
        found = []
        for peer, hints in self._hints.items():
            if now - self._at[peer] > HINT_LIFE_S:
                continue
            hint = hints.get(limit)
            if hint is not None and (hint.rate > 0 or hint.tokens > 0):
                found.append((peer, hint))
        found.sort(key=lambda item: (item[1].tokens, item[1].rate), reverse=True)
        return found


def plan_asks(
    ledger: Ledger, hints: HintTable, urgent: Mapping[str, float]
) -> dict[str, list[LimitAsk]]:
    """Return what to ask of each peer, ahead of need.

    :param urgent: units that callers are waiting for, by limit.
    :returns: asks by the peer's identity.
    """
    asks: dict[str, list[LimitAsk]] = {}
    with ledger.changed:
        now = ledger.clock()
        for name, entry in ledger.entries.items():
            for peer, ask in _asks_for(name, entry, hints, urgent.get(name, 0.0), now):
                asks.setdefault(peer, []).append(ask)
    return asks


def answer_asks(
    ledger: Ledger, peer: str, asks: Iterable[LimitAsk]
) -> list[LimitGrant]:
    """Debit and grant what this host can spare.

    :param peer: identity of the borrower's incarnation.
    """
    grants = []
    with ledger.changed:
        now = ledger.clock()
        for ask in asks:
            entry = ledger.entries.get(ask.limit)
            if entry is not None:
                grants.append(_lend(entry, peer, ask, now))
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
            entry.bucket.borrow(peer, sequence, lease, grant.tokens, now)
        ledger.changed.notify_all()


def spare_hints(ledger: Ledger) -> list[SpareHint]:
    """Return what this host could lend of each limit."""
    hints = []
    with ledger.changed:
        now = ledger.clock()
        for name, entry in ledger.entries.items():
            forecast = entry.demand.forecast
            rate = entry.bucket.spare_rate(forecast, now)
            tokens = max(0.0, entry.bucket.tokens - forecast * HORIZON_S)
            tokens = min(tokens, entry.bucket.spare_depth(now))
            if rate > MIN_RATE or tokens > MIN_TOKENS:
                hints.append(SpareHint(name, rate, tokens))
    return hints


def _asks_for(
    name: str, entry: LimitEntry, hints: HintTable, urgent: float, now: float
) -> list[tuple[str, LimitAsk]]:
    forecast = entry.demand.forecast
    entry.bucket.advance(now)
    own_rate = max(0.0, entry.bucket.rate - entry.bucket.lent_rate())
    if entry.bucket.own_until <= now:
        own_rate = 0.0
    short_rate = max(0.0, forecast - own_rate)
    held = max(0.0, entry.bucket.tokens)
    short_tokens = max(0.0, max(forecast * HORIZON_S, urgent) - held)
    if short_rate <= MIN_RATE and short_tokens <= MIN_TOKENS:
        return []
    renewed = entry.bucket.borrowed(now)
    found = []
    for peer, hint in _by_lender(name, hints, renewed, now):
        before = renewed.get(peer, NO_LEASE)
        rate = min(short_rate, hint.rate + before.rate)
        tokens = min(short_tokens, hint.tokens)
        if rate <= MIN_RATE and tokens <= MIN_TOKENS:
            continue
        ratio = entry.burst / entry.rate if entry.rate else 0.0
        # A loan replaces the one before, whose unspent tokens need its depth.
        depth = max(rate * ratio, tokens + min(before.depth, held))
        found.append((peer, LimitAsk(name, rate, depth, tokens)))
        hints.spent(peer, name, rate, tokens)
        short_rate -= rate
        short_tokens -= tokens
    return found


def _by_lender(
    name: str, hints: HintTable, renewed: Mapping[str, Lease], now: float
) -> list[tuple[str, SpareHint]]:
    """Return peers that lend already first, then the richest."""
    known = hints.lenders(name, now)
    named = {peer for peer, _ in known}
    silent = [
        (peer, SpareHint(name, 0.0, 0.0)) for peer in renewed if peer not in named
    ]
    lending = [item for item in known if item[0] in renewed]
    others = [item for item in known if item[0] not in renewed]
    return [*lending, *silent, *others]


def _lend(entry: LimitEntry, peer: str, ask: LimitAsk, now: float) -> LimitGrant:
    forecast = entry.demand.forecast
    wanted = Lease(ask.rate, ask.depth, now + LEASE_S)
    entry.bucket.advance(now)
    surplus = max(0.0, entry.bucket.tokens - forecast * HORIZON_S)
    lease, moved = entry.bucket.lend(
        peer, wanted, min(ask.tokens, surplus), forecast, now
    )
    duration = max(0.0, lease.until - now)
    return LimitGrant(ask.limit, lease.rate, lease.depth, moved, duration)
