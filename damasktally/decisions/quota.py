"""Hold customers to their rates over all hosts, by counts that hosts exchange.

Every host tells how many requests of each customer it has admitted since it started.
From these counts each host works out what is left of one bucket for the whole fleet,
and spends the part of it that its demand is of the fleet's demand. Tokens thus lie
where the callers are, also when a rate is small against the number of hosts.

Counts of other hosts are late. A host therefore looks at its own count as late as at
theirs, and takes all that it admitted since then off its own part.

A part of a bucket may be less than one request where hosts are many. While the bucket
holds what a surge can bring until counts arrive, if every host admits one, or a few,
this host may do so too.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import exp

from damasktally.fleet.model import Customer

DEMAND_HALF_LIFE_S = 0.5
EQUAL_PART = 0.4
"""Part of what is left that is dealt equally, for callers that come anew."""
SLACK_PART = 0.85
OVERAGE_PART = 0.5
REPORT_LAG_S = 0.35
"""Age that counts of other hosts may have: a heartbeat and its way."""
RELAYED_LAG_S = 0.65
"""The same where relays pass counts on: three messages and their ways."""
SURGE_PROPAGATION_S = 0.35
"""Until hosts learn that a customer admits far more than usual: such counts are passed
on at once."""
SURGE = 6.0
"""A customer that grows suddenly may ask for this many times its rate."""
MAX_ADMITTED_AHEAD = 3
"""Requests that a host may admit ahead of its part, if surges come to few hosts."""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Hold what another host said last, or a relay for several hosts.

    :param identity: tells runs of the host apart; counts start anew with each.
    :param admitted: requests admitted since its start, by customer.
    :param demand: requests a second that customers send it.
    :param host_count: how many hosts it speaks for.
    :param is_primary: another report tells the same unless this is set.
    """

    identity: tuple[str, int]
    admitted: Mapping[str, int]
    demand: Mapping[str, float]
    host_count: int = 1
    is_primary: bool = True


@dataclass(slots=True)
class _Account:
    rate: float = 0.0
    depth: float = 0.0
    left: float = 0.0
    share: float = 0.0
    overdraft: float = 0.0
    hosts: int = 1
    spare: float = 0.0
    latest: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ADMITTED_AHEAD)
    )
    filled: float = 0.0
    asked: int = 0
    demand: float = 0.0
    admitted: int = 0
    lagged: int = 0
    history: deque[tuple[float, int]] = field(default_factory=deque)
    seen: dict[tuple[str, int], int] = field(default_factory=dict)


def host_share(
    own: float, others: Iterable[float], unheard: int, heard_hosts: int | None = None
) -> float:
    """Return the part of a limit that this host may spend.

    :param own: requests a second that the customer sends this host.
    :param others: the same for each host that is heard.
    :param unheard: how many hosts are known and not heard; an equal part each is
        left to them, and this host takes no more when it hears nobody.
    :param heard_hosts: how many hosts are heard, if some figures are sums of several.
    """
    heard = list(others)
    present = 1 + (len(heard) if heard_hosts is None else heard_hosts)
    hosts = present + unheard
    free = 1.0 - unheard / hosts
    total = own + sum(heard)
    if total <= 0:
        return free / present
    return free * ((1 - EQUAL_PART) * (own / total) + EQUAL_PART / present)


def unseen_requests(rate: float, hosts: int, each: int) -> float:
    """Return how many requests a surge may bring before hosts learn of each other's.

    It is spread over the hosts at random, and each host admits only a few.

    :param rate: requests a second of the customer's limit.
    :param each: how many requests a host admits until then.
    """
    mean = SURGE * rate * SURGE_PROPAGATION_S / hosts
    exactly = exp(-mean)
    more = 1.0
    admitted = 0.0
    for count in range(each):
        more -= exactly
        admitted += max(0.0, more)
        exactly *= mean / (count + 1)
    return hosts * admitted


def excess_limit(
    customer: Customer, slack: float, overage: float, window_s: float
) -> float:
    """Return how far all hosts together may exceed a customer's bucket.

    Only a part of what was agreed is used; the rest covers counts that are late.

    :param slack: requests that were agreed on top of a window's limit.
    :param overage: part of a window's limit that was agreed on top.
    :param window_s: length of the window.
    """
    limit = customer.rate * window_s + customer.burst
    return SLACK_PART * slack + OVERAGE_PART * overage * limit


class CustomerQuotas:
    """Keep one account for each customer.

    :param overdraft: returns how far all hosts together may exceed a customer's
        bucket for a moment, in requests.
    """

    def __init__(self, overdraft: Callable[[Customer], float]) -> None:
        self._overdraft = overdraft
        self._accounts: dict[str, _Account] = {}
        self._measured = 0.0

    def take(self, customer: Customer, now: float) -> bool:
        """Take a token for a request; customers without a rate need none."""
        if customer.rate <= 0:
            return True
        account = self._account(customer.name, now)
        account.asked += 1
        if self._allowance(account, now) < 1.0:
            return False
        account.admitted += 1
        account.latest.append(now)
        return True

    def refund(self, customer: Customer) -> None:
        """Give back the token of a request that did not run."""
        account = self._accounts.get(customer.name)
        if account is not None:
            account.admitted -= 1

    def wait_s(self, customer: Customer, now: float) -> float:
        """Return the seconds until a token is due."""
        account = self._accounts.get(customer.name)
        if account is None or account.rate <= 0 or account.share <= 0:
            return 1.0
        missing = 1.0 - self._allowance(account, now)
        own_part_s = max(0.0, missing) / (account.rate * account.share)
        left = account.left + (now - account.filled) * account.rate
        plenty_s = max(SURGE_PROPAGATION_S, (_plenty(account, 1) - left) / account.rate)
        return min(own_part_s, plenty_s)

    def decision_inputs(self, customer: Customer, now: float) -> dict[str, float]:
        """Return what a decision about a customer rests on, for the log.

        :returns: requests left in the fleet's bucket, this host's part of them,
            what it may admit now, and the seconds since the counts were taken.
        """
        account = self._account(customer.name, now)
        return {
            "left": round(account.left, 1),
            "share": round(account.share, 3),
            "allowance": round(self._allowance(account, now), 2),
            "rate": customer.rate,
            "counts_age_s": round(now - account.filled, 3),
        }

    def rates(self) -> dict[str, float]:
        """Return the limit of each customer that has one, in requests a second."""
        return {name: account.rate for name, account in self._accounts.items()}

    def demand(self) -> dict[str, float]:
        """Return the requests a second that each customer sends this host."""
        return {
            name: round(account.demand, 2)
            for name, account in self._accounts.items()
            if account.demand > 0.01
        }

    def admitted(self) -> dict[str, int]:
        """Return how many requests of each customer were admitted."""
        return {name: account.admitted for name, account in self._accounts.items()}

    def update_shares(
        self,
        customers: Iterable[Customer],
        reports: Iterable[QuotaReport],
        unheard: int,
        now: float,
        lag_s: float = REPORT_LAG_S,
    ) -> None:
        """Take the other hosts' counts and set every part anew.

        :param reports: what each host that is heard said last.
        :param unheard: how many hosts are known and not heard.
        :param lag_s: age that the counts may have.
        """
        elapsed = max(1e-3, now - self._measured)
        self._measured = now
        heard = list(reports)
        counted = [report for report in heard if report.is_primary]
        heard_hosts = sum(report.host_count for report in counted)
        hosts = 1 + heard_hosts + unheard
        for customer in customers:
            if customer.rate <= 0:
                continue
            account = self._account(customer.name, now)
            _measure(account, elapsed)
            others = [report.demand.get(customer.name, 0.0) for report in counted]
            free = 1.0 - unheard / hosts
            share = host_share(account.demand, others, unheard, heard_hosts)
            account.share = share / free
            account.rate = customer.rate * free
            account.depth = customer.burst * free
            overdraft = self._overdraft(customer)
            account.overdraft = overdraft / hosts
            self._settle(account, customer.name, heard, now, lag_s)
            account.left = max(-overdraft, account.left)
            account.hosts = hosts
            account.spare = overdraft * free

    def _account(self, name: str, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(filled=now)
        return account

    def _allowance(self, account: _Account, now: float) -> float:
        """Return how many requests this host may admit now."""
        left = account.left + (now - account.filled) * account.rate
        recent = account.admitted - account.lagged
        part = account.share * min(account.depth, left)
        allowance = part + account.overdraft - recent
        if allowance >= 1.0:
            return allowance
        each = 1 + sum(when > now - SURGE_PROPAGATION_S for when in account.latest)
        if each <= MAX_ADMITTED_AHEAD and left >= _plenty(account, each) + recent + 1:
            return 1.0
        return allowance

    def _settle(
        self,
        account: _Account,
        name: str,
        reports: list[QuotaReport],
        now: float,
        lag_s: float,
    ) -> None:
        """Move the fleet's bucket on: fill it, and take off what was admitted."""
        used = self._move_own(account, now, lag_s)
        seen: dict[tuple[str, int], int] = {}
        for report in reports:
            before = account.seen.get(report.identity)
            count = report.admitted.get(name, before)
            if count is None:
                continue
            seen[report.identity] = count
            # A host that was just heard for the first time used its part long ago.
            if report.is_primary and before is not None:
                used += count - before
        account.seen = seen
        left = account.left + (now - account.filled) * account.rate - used
        account.left = min(account.depth, left)
        account.filled = now

    def _move_own(self, account: _Account, now: float, lag_s: float) -> int:
        """Return what this host admitted between the last two lagged moments."""
        account.history.append((now, account.admitted))
        lagged = account.lagged
        while account.history and account.history[0][0] <= now - lag_s:
            lagged = account.history.popleft()[1]
        used = lagged - account.lagged
        account.lagged = lagged
        return used


def _plenty(account: _Account, each: int) -> float:
    """Return what the bucket must hold to let this host admit some requests.

    The other hosts may admit as many, each of them, before they learn of it.
    """
    unseen = unseen_requests(account.rate, account.hosts, each)
    refilled = account.rate * SURGE_PROPAGATION_S
    others = (account.hosts - 1) / account.hosts * (unseen - refilled)
    return others - account.spare


def _measure(account: _Account, elapsed: float) -> None:
    keep = 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
    seen = account.asked / elapsed
    account.asked = 0
    account.demand = keep * account.demand + (1 - keep) * seen
