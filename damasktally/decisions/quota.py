"""Hold customers to their rates over all hosts, by shares that follow demand.

Each host reports how many requests a second each customer sends it, and takes the
part of the customer's rate and burst that its demand is of the sum. A host that is
not heard keeps an equal part reserved, and takes no more than that itself while it
hears nobody, so the parts do not add up to more than the whole.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damasktally.fleet.model import Customer

DEMAND_HALF_LIFE_S = 0.5
IDLE_PART = 0.25
"""Demand that a host without requests counts as, in equal parts of the rate."""


@dataclass(slots=True)
class _Account:
    rate: float = 0.0
    depth: float = 0.0
    tokens: float = 0.0
    filled: float = 0.0
    asked: int = 0
    demand: float = 0.0


def share_of(own: float, others: Iterable[float], unheard: int, rate: float) -> float:
    """Return the part of a limit that this host may spend.

    :param own: requests a second that the customer sends this host.
    :param others: the same for each host that is heard.
    :param unheard: how many hosts are known and not heard.
    :param rate: the customer's limit, in requests a second.
    """
    heard = list(others)
    hosts = 1 + len(heard) + unheard
    idle = IDLE_PART * rate / hosts
    total = own + sum(heard) + idle * (1 + len(heard))
    free = 1.0 - unheard / hosts
    return free * (own + idle) / total if total > 0 else 1.0 / hosts


class CustomerQuotas:
    """Keep one bucket of tokens for each customer."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._measured = 0.0

    def take(self, customer: Customer, now: float) -> bool:
        """Take a token for a request; customers without a rate need none."""
        if customer.rate <= 0:
            return True
        account = self._accounts.setdefault(customer.name, _Account(filled=now))
        account.asked += 1
        self._fill(account, now)
        if account.tokens < 1.0:
            return False
        account.tokens -= 1.0
        return True

    def refund(self, customer: Customer) -> None:
        """Give back the token of a request that did not run."""
        account = self._accounts.get(customer.name)
        if account is not None:
            account.tokens = min(account.depth, account.tokens + 1.0)

    def wait_s(self, customer: Customer) -> float:
        """Return the seconds until a token is due."""
        account = self._accounts.get(customer.name)
        if account is None or account.rate <= 0:
            return 1.0
        return max(0.0, 1.0 - account.tokens) / account.rate

    def demand(self) -> dict[str, float]:
        """Return the requests a second that each customer sends this host."""
        return {
            name: round(account.demand, 2)
            for name, account in self._accounts.items()
            if account.demand > 0.01
        }

    def divide(
        self,
        customers: Iterable[Customer],
        heard: Iterable[Mapping[str, float]],
        unheard: int,
        now: float,
    ) -> None:
        """Measure the demand since the last call and set every share anew.

        :param heard: the demand that each host that is heard reported.
        :param unheard: how many hosts are known and not heard.
        """
        elapsed = max(1e-3, now - self._measured)
        self._measured = now
        keep = 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        reports = list(heard)
        for customer in customers:
            if customer.rate <= 0:
                continue
            account = self._accounts.setdefault(customer.name, _Account(filled=now))
            self._fill(account, now)
            seen = account.asked / elapsed
            account.asked = 0
            account.demand = keep * account.demand + (1 - keep) * seen
            others = [report.get(customer.name, 0.0) for report in reports]
            share = share_of(account.demand, others, unheard, customer.rate)
            account.rate = share * customer.rate
            account.depth = max(1.0, share * customer.burst)
            account.tokens = min(account.tokens, account.depth)

    def _fill(self, account: _Account, now: float) -> None:
        gained = (now - account.filled) * account.rate
        account.tokens = min(account.depth, account.tokens + gained)
        account.filled = now
