"""Implement one host's share of a token bucket, with loans to and from its peers."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from math import inf

FLOAT_SUM_TOLERANCE = 1e-9
"""Rounding error allowed when sums are compared; never added to what may be taken."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Represent a part of a bucket that another host may use for a limited time.

    :param rate: tokens a second.
    :param depth: tokens of bucket depth.
    :param expires_at: when it ends, in seconds of the clock of the host that stores
        this record.
    :param sequence: number of the heartbeat with the request that it answers.
    """

    rate: float
    depth: float
    expires_at: float
    sequence: int = 0


@dataclass(slots=True)
class TokenBucket:
    """Count tokens that accrue at a rate up to a depth, with leases to and from peers.

    The share of this host is a lease itself: it ends at ``share_expires_at`` unless the
    membership is confirmed again (fencing). What is lent to a peer is subtracted until
    the loan has expired, whether or not the answer reached the peer.

    All times are seconds of one clock.

    :param rate: tokens a second of this host's share.
    :param depth: tokens that this host's share can hold.
    :param updated_at: up to when tokens have accrued.
    :param share_expires_at: when the share ends unless it is extended.
    :param tokens: tokens that can be taken, as of ``updated_at``.
    """

    rate: float = 0.0
    depth: float = 0.0
    updated_at: float = 0.0
    share_expires_at: float = inf
    tokens: float = 0.0
    _lent: dict[str, list[Lease]] = field(default_factory=dict)
    _borrowed: dict[str, Lease] = field(default_factory=dict)
    _effective_rate: float = 0.0
    _effective_depth: float = 0.0
    _next_expiry_at: float = inf

    def __post_init__(self) -> None:
        self._recompute()

    def fill(self) -> None:
        """Fill the bucket; only for limits that are local to one process."""
        self.tokens = self._effective_depth

    def take(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough, else none.

        :param amount: tokens.
        :param now: seconds.
        :returns: whether the tokens were taken.
        """
        self.advance(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def take_up_to(self, amount: float, now: float) -> float:
        """Take as many tokens as there are, at most ``amount``.

        :returns: tokens taken.
        """
        self.advance(now)
        taken = min(amount, max(0.0, self.tokens))
        self.tokens -= taken
        return taken

    def refund(self, amount: float, now: float) -> None:
        """Return tokens that were taken and not used, up to the depth."""
        self.advance(now)
        self.tokens = min(self._effective_depth, self.tokens + amount)

    def seconds_until_available(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` tokens can be taken.

        :returns: infinity if they never can at the present rate and depth.
        """
        self.advance(now)
        missing = amount - self.tokens
        if missing <= 0:
            return 0.0
        if self._effective_rate <= 0 or amount > self._effective_depth:
            return inf
        return missing / self._effective_rate

    def set_share(self, rate: float, depth: float, now: float) -> None:
        """Change this host's share; tokens above the new depth are lost."""
        if rate == self.rate and depth == self.depth:
            return
        self.advance(now)
        self.rate = rate
        self.depth = depth
        self._recompute()

    def extend_share(self, until: float, now: float) -> None:
        """Extend the time until this host's share expires; it is never shortened.

        If the share had expired, the bucket restarts with no more tokens than its loans
        hold.

        :param until: when the share expires, in seconds.
        """
        if until <= self.share_expires_at:
            return
        self.advance(now)
        self.share_expires_at = until
        self._recompute()

    def reset(self, now: float) -> None:
        """Remove tokens, share and borrowed loans, at the start of a new incarnation.

        Loans to peers stay debited until they expire.
        """
        self.updated_at = now
        self.tokens = 0.0
        self.rate = 0.0
        self.depth = 0.0
        self.share_expires_at = now
        self._borrowed.clear()
        self._recompute()

    def lend(
        self,
        peer: str,
        wanted: Lease,
        tokens: float,
        kept_rate: float,
        now: float,
        include_borrowed: bool = False,
    ) -> tuple[Lease, float]:
        """Debit a loan to a peer, as far as this host's share allows.

        A loan replaces the peer's earlier one. The answer with it may be lost, and the
        peer then continues to use the earlier loan: until that has expired, the larger
        of the two is debited.

        :param peer: identity of the borrower's incarnation.
        :param wanted: what the peer requests, its expiry on this host's clock.
        :param tokens: tokens that the peer requests to be moved.
        :param kept_rate: tokens a second that this host keeps for its own callers.
        :param now: seconds.
        :param include_borrowed: whether depth that is itself borrowed may be lent.
        :returns: the lease granted, empty if nothing can be lent, and the tokens
            moved with it.
        """
        self.advance(now)
        own_rate, own_depth = self._own_share(now)
        others = [self._lent_to(name, now) for name in self._lent if name != peer]
        lent_depth = sum(lent.depth for lent in others)
        free_rate = own_rate - sum(lent.rate for lent in others)
        held_depth = own_depth
        if include_borrowed:
            held_depth += sum(part.depth for part in self.borrowed_leases(now).values())
        rate = max(0.0, min(wanted.rate, free_rate - kept_rate))
        depth = max(0.0, min(wanted.depth, held_depth - lent_depth))
        until = min(
            wanted.expires_at, self._latest_loan_expiry(lent_depth + depth, now)
        )
        moved = max(0.0, min(tokens, self.tokens, depth))
        if until <= now or (rate <= 0 and depth <= 0):
            return Lease(0.0, 0.0, now), 0.0
        lease = Lease(rate, depth, until, wanted.sequence)
        self._debit(peer, lease, now)
        self.tokens -= moved
        self._recompute()
        return lease, moved

    def borrow(
        self, peer: str, sequence: int, lease: Lease, tokens: float, now: float
    ) -> bool:
        """Add a loan that a peer granted; it replaces that peer's earlier loan.

        :param peer: identity of the lender's incarnation, or the key of one kind of its
            loans.
        :param sequence: number of the request that was answered; an answer that
            arrives after a later one, or twice, is ignored.
        :param lease: what was granted; the duration counts from when the request was
            sent.
        :param tokens: tokens that were moved with the loan.
        :param now: seconds.
        :returns: whether the loan was applied.
        """
        self.advance(now)
        previous = self._borrowed.get(peer)
        if previous is not None and sequence <= previous.sequence:
            return False
        self._borrowed[peer] = replace(lease, sequence=sequence)
        if lease.expires_at <= now:
            tokens = 0.0
        self.tokens += tokens
        self._recompute()
        return True

    def drop_superseded(self, peer: str, sequence: int, now: float) -> None:
        """Remove loans that the borrower has replaced by a later one.

        :param peer: identity of the borrower's incarnation.
        :param sequence: number of the newest request whose answer the peer applied.
        :param now: seconds.
        """
        leases = self._lent.get(peer)
        if not leases or all(lease.sequence >= sequence for lease in leases):
            return
        self.advance(now)
        self._lent[peer] = [lease for lease in leases if lease.sequence >= sequence]
        self._recompute()

    def is_overcommitted(self, now: float) -> bool:
        """Return whether more is lent than this host holds."""
        self.advance(now)
        held_rate, held_depth = self._own_share(now)
        for lease in self.borrowed_leases(now).values():
            held_rate += lease.rate
            held_depth += lease.depth
        lent = [self._lent_to(name, now) for name in self._lent]
        exceeds_rate = sum(part.rate for part in lent) > held_rate + FLOAT_SUM_TOLERANCE
        exceeds_depth = (
            sum(part.depth for part in lent) > held_depth + FLOAT_SUM_TOLERANCE
        )
        return exceeds_rate or exceeds_depth

    def lendable_depth(self, now: float) -> float:
        """Return the depth that this host could lend, in tokens."""
        self.advance(now)
        return self._effective_depth

    @property
    def effective_rate(self) -> float:
        """Return the rate with all loans included, in tokens a second.

        The value is as of the last call with a time.
        """
        return self._effective_rate

    @property
    def effective_depth(self) -> float:
        """Return the depth with all loans included, in tokens.

        The value is as of the last call with a time.
        """
        return self._effective_depth

    def borrowed_leases(self, now: float) -> dict[str, Lease]:
        """Return the loans from peers that have not expired, by lender."""
        return {
            peer: lease
            for peer, lease in self._borrowed.items()
            if lease.expires_at > now
        }

    def has_outstanding_loans(self, now: float) -> bool:
        """Return whether any loan to a peer has not expired."""
        self.advance(now)
        return bool(self._lent)

    def advance(self, now: float) -> None:
        """Accrue tokens up to ``now``, in steps that end when a lease expires.

        :param now: seconds; an earlier time than the last one changes nothing.
        """
        while self._next_expiry_at <= now:
            self._accrue(self._next_expiry_at)
            self._drop_expired()
            self._recompute()
        self._accrue(now)

    def _accrue(self, to: float) -> None:
        if to <= self.updated_at:
            return
        gained = (to - self.updated_at) * self._effective_rate
        self.tokens = min(self._effective_depth, self.tokens + gained)
        self.updated_at = to

    def _latest_loan_expiry(self, lent_depth: float, now: float) -> float:
        """Return the latest time at which a new loan may expire, in seconds.

        Depth beyond this host's share is itself borrowed and may be lent until the
        first of those loans expires. Their lenders keep them debited until then, even
        if a renewal makes them smaller.

        :param lent_depth: tokens of depth lent to all peers, with the new loan.
        """
        _, own_depth = self._own_share(now)
        if lent_depth <= own_depth:
            return self.share_expires_at
        ends = [lease.expires_at for lease in self.borrowed_leases(now).values()]
        return (
            min([self.share_expires_at, *ends]) if own_depth else min(ends, default=now)
        )

    def _debit(self, peer: str, lease: Lease, now: float) -> None:
        """Record a loan; it replaces the peer's earlier ones only if it covers them."""
        debited = self._lent_to(peer, now)
        kept = [old for old in self._lent.get(peer, []) if old.expires_at > now]
        covered = lease.rate >= debited.rate and lease.depth >= debited.depth
        if covered and all(old.expires_at <= lease.expires_at for old in kept):
            kept = []
        self._lent[peer] = [*kept, lease]

    def _own_share(self, now: float) -> tuple[float, float]:
        """Return rate and depth of this host's share, zero after it has expired."""
        if self.share_expires_at <= now:
            return 0.0, 0.0
        return self.rate, self.depth

    def _lent_to(self, peer: str, now: float) -> Lease:
        """Return what is debited for a peer: the largest of its unexpired loans."""
        rate = 0.0
        depth = 0.0
        for lease in self._lent.get(peer, ()):
            if lease.expires_at > now:
                rate = max(rate, lease.rate)
                depth = max(depth, lease.depth)
        return Lease(rate, depth, now)

    def _drop_expired(self) -> None:
        for peer in list(self._lent):
            unexpired = [
                lease
                for lease in self._lent[peer]
                if lease.expires_at > self.updated_at
            ]
            if unexpired:
                self._lent[peer] = unexpired
            else:
                del self._lent[peer]

    def _recompute(self) -> None:
        """Recompute rate, depth and the next expiry from the share and the loans."""
        now = self.updated_at
        rate, depth = self._own_share(now)
        for name in self._lent:
            lent = self._lent_to(name, now)
            rate -= lent.rate
            depth -= lent.depth
        for lease in self._borrowed.values():
            if lease.expires_at > now:
                rate += lease.rate
                depth += lease.depth
        self._effective_rate = max(0.0, rate)
        self._effective_depth = max(0.0, depth)
        self.tokens = min(self.tokens, self._effective_depth)
        ends = [end for end in self._expiries() if end > now]
        self._next_expiry_at = min(ends, default=inf)

    def _expiries(self) -> Iterator[float]:
        yield self.share_expires_at
        for leases in self._lent.values():
            for lease in leases:
                yield lease.expires_at
        for lease in self._borrowed.values():
            yield lease.expires_at
