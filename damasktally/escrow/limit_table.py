"""Keep this host's part of every rate limit, and answer for it under one lock."""

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
"""Seconds of a link's cap that its bucket holds."""
LINK_UNIT_BYTES = 16_384.0


def customer_limit_name(name: str) -> str:
    """Return the name of a customer's limit."""
    return f"customer:{name}"


def link_limit_name(source: str, target: str) -> str:
    """Return the name of a directed link's limit."""
    return f"link:{source}>{target}"


@dataclass(slots=True)
class LimitEntry:
    """Hold what this host knows of one limit.

    :param rate: units a second of the whole fleet.
    :param burst: units of the whole fleet.
    :param min_amount: the least that one caller takes: a request, or a chunk of bytes.
    :param fractions: how this host divides its share among those with demand.
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
    """Show one limit to operators.

    :param share_rate: units a second of this host's own share.
    :param rate: units a second with loans counted.
    :param tokens: units that may be spent now.
    :param demand: units a second that this host's callers ask for.
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
    """Own the buckets of this host.

    :param identity: this host's incarnation.
    :param window: the roster generations that may be in use.
    :param clock: seconds, never going back.
    """

    identity: str
    window: GenerationWindow
    clock: Clock
    changed: Condition = field(default_factory=Condition)
    entries: dict[str, LimitEntry] = field(default_factory=dict)
    _share_expires_at: float = float("-inf")

    def take(self, limit: str, amount: float) -> bool:
        """Take units of a limit; a limit that nobody set has none.

        :returns: whether they were taken.
        """
        entry = self.entries.get(limit)
        if entry is None:
            return False
        with self.changed:
            entry.demand.record(amount)
            return entry.bucket.take(amount, self.clock())

    def retry_take(self, limit: str, amount: float) -> bool:
        """Take units for a caller whose demand was counted already."""
        entry = self.entries.get(limit)
        if entry is None:
            return False
        with self.changed:
            return entry.bucket.take(amount, self.clock())

    def refund(self, limit: str, amount: float) -> None:
        """Give back units that were taken and not used."""
        entry = self.entries.get(limit)
        if entry is None:
            return
        with self.changed:
            entry.bucket.refund(amount, self.clock())

    def retry_after(self, limit: str, amount: float) -> float:
        """Return the seconds after which this host may have ``amount`` units."""
        entry = self.entries.get(limit)
        if entry is None:
            return float("inf")
        with self.changed:
            return entry.bucket.seconds_until_available(amount, self.clock())

    def refresh(self, view: View) -> None:
        """Compute every share again, after a change of view or of generations."""
        with self.changed:
            now = self.clock()
            wanted = self._limits_from_view(view)
            for name in [held for held in self.entries if held not in wanted]:
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
        """Let this host spend its own shares until a time, in seconds."""
        with self.changed:
            now = self.clock()
            self._share_expires_at = max(self._share_expires_at, until)
            for entry in self.entries.values():
                entry.bucket.extend_share(self._share_expires_at, now)

    def start_incarnation(self, identity: str) -> None:
        """Empty every bucket and forget the loans of an earlier incarnation."""
        with self.changed:
            self.identity = identity
            self._share_expires_at = float("-inf")
            now = self.clock()
            for entry in self.entries.values():
                entry.bucket.reset(now)

    def member_share(self, entry: LimitEntry, identity: str) -> float:
        """Return the part of a limit that a member of the newest roster holds."""
        roster = self.window.current
        if roster is None:
            return 0.0
        if entry.link is None:
            return roster.rate_share(identity)
        return roster.link_share(identity, *entry.link)

    def is_overcommitted(self) -> bool:
        """Tell whether some loans do not fit the newest shares yet."""
        with self.changed:
            now = self.clock()
            return any(
                entry.bucket.is_overcommitted(now) for entry in self.entries.values()
            )

    def has_outstanding_loans(self) -> bool:
        """Tell whether anything is lent to a peer."""
        with self.changed:
            now = self.clock()
            return any(
                entry.bucket.has_outstanding_loans(now)
                for entry in self.entries.values()
            )

    def update_demand(self) -> None:
        """Bring the forecasts up to date."""
        with self.changed:
            now = self.clock()
            for entry in self.entries.values():
                entry.demand.update(now)

    def limit_reports(self) -> list[LimitReport]:
        """Return what this host holds of each limit."""
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
    """Return the reports whose limit starts with a prefix."""
    return [entry for entry in entries if entry.limit.startswith(prefix)]
