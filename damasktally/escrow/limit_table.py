"""Manage this host's share of every rate limit, under one lock."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from threading import Condition

from damasktally.clock import Clock
from damasktally.escrow.demand import DemandEstimator
from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.resources.view import View

BYTES_PER_MBIT = 125_000
LINK_BURST_S = 0.05
"""Burst of a link, in seconds of its usable rate."""
LINK_UNIT_BYTES = 16_384.0
"""Smallest amount that a caller takes from a link's bucket, in bytes."""


def customer_limit_name(name: str) -> str:
    """Return the name of a customer's limit."""
    return f"customer:{name}"


def link_limit_name(source: str, target: str) -> str:
    """Return the name of a directed link's limit."""
    return f"link:{source}>{target}"


@dataclass(slots=True)
class LimitEntry:
    """Hold one limit with this host's share of it and the demand for it.

    :param rate: rate of the whole fleet, in units a second.
    :param burst: burst of the whole fleet, in units.
    :param link: source and target region of a link's limit.
    :param min_amount: the smallest amount that a caller takes, in units: one request,
        or the bytes of a chunk.
    :param fractions: fraction of this host's share that each host with demand is lent,
        by identity.
    """

    name: str
    bucket: TokenBucket
    demand: DemandEstimator
    rate: float = 0.0
    burst: float = 0.0
    link: tuple[str, str] | None = None
    min_amount: float = 1.0
    fractions: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Describe the state of one limit to operators.

    :param fleet_rate: rate of the whole fleet, in units a second.
    :param fleet_burst: burst of the whole fleet, in units.
    :param share_rate: rate of this host's own share, in units a second.
    :param rate: rate with all loans included, in units a second.
    :param tokens: units that can be taken now.
    :param demand: units a second that this host's callers request.
    """

    limit: str
    fleet_rate: float
    fleet_burst: float
    share_rate: float
    rate: float
    tokens: float
    demand: float


@dataclass
class LimitTable:
    """Hold the bucket of every limit of this host and protect them with one lock.

    :param identity: identity of this host's incarnation.
    :param window: roster generations that may be in use.
    :param clock: monotonic clock, in seconds.
    :param changed: holds the lock; notified when units may have become available.
    """

    identity: str
    window: GenerationWindow
    clock: Clock
    changed: Condition = field(default_factory=Condition)
    entries: dict[str, LimitEntry] = field(default_factory=dict)
    _share_expires_at: float = float("-inf")

    def take(self, limit: str, amount: float) -> bool:
        """Take units of a limit and count the demand; an unknown limit has no units.

        :param limit: name of the limit.
        :param amount: units.
        :returns: whether the units were taken.
        """
        entry = self.entries.get(limit)
        if entry is None:
            return False
        with self.changed:
            entry.demand.record(amount)
            return entry.bucket.take(amount, self.clock())

    def retry_take(self, limit: str, amount: float) -> bool:
        """Take units like :meth:`take`, but without counting the demand again."""
        entry = self.entries.get(limit)
        if entry is None:
            return False
        with self.changed:
            return entry.bucket.take(amount, self.clock())

    def refund(self, limit: str, amount: float) -> None:
        """Return units that were taken and not used."""
        entry = self.entries.get(limit)
        if entry is None:
            return
        with self.changed:
            entry.bucket.refund(amount, self.clock())

    def retry_after(self, limit: str, amount: float) -> float:
        """Return the seconds until this host may have ``amount`` units of a limit.

        :returns: infinity if it never will at its present share.
        """
        entry = self.entries.get(limit)
        if entry is None:
            return float("inf")
        with self.changed:
            return entry.bucket.seconds_until_available(amount, self.clock())

    def refresh(self, view: View) -> None:
        """Recompute every share after a change of the view or of the roster window."""
        with self.changed:
            now = self.clock()
            wanted = self._limits_from_view(view)
            for name in [known for known in self.entries if known not in wanted]:
                del self.entries[name]
            customer_share = self.window.smallest_share(
                lambda roster: roster.rate_share(self.identity), now
            )
            for name, limit in wanted.items():
                entry = self._entry(name, now)
                entry.rate = limit.rate
                entry.burst = limit.burst
                entry.link = limit.link
                entry.min_amount = 1.0 if limit.link is None else LINK_UNIT_BYTES
                share = (
                    customer_share
                    if limit.link is None
                    else self._link_share(limit, now)
                )
                entry.bucket.set_share(share * limit.rate, share * limit.burst, now)
            self.changed.notify_all()

    def extend_shares(self, until: float) -> None:
        """Extend the time until this host's own shares expire.

        :param until: when they expire, in seconds.
        """
        with self.changed:
            now = self.clock()
            self._share_expires_at = max(self._share_expires_at, until)
            for entry in self.entries.values():
                entry.bucket.extend_share(self._share_expires_at, now)

    def start_incarnation(self, identity: str) -> None:
        """Remove the shares and borrowed loans of an earlier incarnation.

        :param identity: identity of the new incarnation.
        """
        with self.changed:
            self.identity = identity
            self._share_expires_at = float("-inf")
            now = self.clock()
            for entry in self.entries.values():
                entry.bucket.reset(now)

    def member_share(self, entry: LimitEntry, identity: str) -> float:
        """Return a member's share of a limit in the newest roster, 0 to 1."""
        roster = self.window.current
        if roster is None:
            return 0.0
        if entry.link is None:
            return roster.rate_share(identity)
        return roster.link_share(identity, *entry.link)

    def is_overcommitted(self) -> bool:
        """Return whether more of any limit is lent than this host holds of it."""
        with self.changed:
            now = self.clock()
            return any(
                entry.bucket.is_overcommitted(now) for entry in self.entries.values()
            )

    def has_outstanding_loans(self) -> bool:
        """Return whether any part of any limit is lent to a peer."""
        with self.changed:
            now = self.clock()
            return any(
                entry.bucket.has_outstanding_loans(now)
                for entry in self.entries.values()
            )

    def update_demand(self) -> None:
        """Update the demand estimate of every limit."""
        with self.changed:
            now = self.clock()
            for entry in self.entries.values():
                entry.demand.update(now)

    def limit_reports(self) -> list[LimitReport]:
        """Return a report of each limit."""
        with self.changed:
            now = self.clock()
            return [
                _make_report(name, entry, now) for name, entry in self.entries.items()
            ]

    def _entry(self, name: str, now: float) -> LimitEntry:
        entry = self.entries.get(name)
        if entry is None:
            bucket = TokenBucket(
                updated_at=now, share_expires_at=self._share_expires_at
            )
            entry = LimitEntry(name, bucket, DemandEstimator(updated_at=now))
            self.entries[name] = entry
        return entry

    def _link_share(self, limit: "_WantedLimit", now: float) -> float:
        source, target = limit.link
        return self.window.smallest_share(
            lambda roster: roster.link_share(self.identity, source, target), now
        )

    @staticmethod
    def _limits_from_view(view: View) -> Mapping[str, "_WantedLimit"]:
        wanted = {}
        for name, customer in view.customers.items():
            limit = _WantedLimit(customer.rate, customer.burst)
            wanted[customer_limit_name(name)] = limit
        for (source, target), link in view.links.items():
            rate = link.cap_mbit * BYTES_PER_MBIT * (1 - link.reserved)
            limit = _WantedLimit(rate, rate * LINK_BURST_S, (source, target))
            wanted[link_limit_name(source, target)] = limit
        return wanted


@dataclass(frozen=True, slots=True)
class _WantedLimit:
    """Represent a limit as the view defines it.

    :param rate: rate of the whole fleet, in units a second.
    :param burst: burst of the whole fleet, in units.
    :param link: source and target region of a link's limit.
    """

    rate: float
    burst: float
    link: tuple[str, str] | None = None


def _make_report(name: str, entry: LimitEntry, now: float) -> LimitReport:
    entry.bucket.advance(now)
    return LimitReport(
        limit=name,
        fleet_rate=entry.rate,
        fleet_burst=entry.burst,
        share_rate=entry.bucket.rate,
        rate=entry.bucket.effective_rate,
        tokens=entry.bucket.tokens,
        demand=entry.demand.rate,
    )


def reports_with_prefix(
    entries: Iterable[LimitReport], prefix: str
) -> list[LimitReport]:
    """Return the reports whose limit's name starts with a prefix."""
    return [entry for entry in entries if entry.limit.startswith(prefix)]
