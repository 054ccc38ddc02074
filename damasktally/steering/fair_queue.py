"""Order waiting work so that each customer gets its weighted share.

Start-time fair queueing: a customer's virtual time advances by the work done for it
divided by its weight, and the waiting customer with the smallest time is served
next. Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996. Unlike deficit
round robin it needs no quantum, and slot-seconds are charged when they are known.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass
class FairQueue(Generic[Item]):
    """Queue items by customer and pop the customer that was served least.

    :param waiting: items that wait, by customer.
    """

    waiting: dict[str, deque[Item]] = field(default_factory=dict)
    _virtual: dict[str, float] = field(default_factory=dict)
    _floor: float = 0.0

    def __len__(self) -> int:
        return sum(len(items) for items in self.waiting.values())

    def push(self, customer: str, item: Item) -> None:
        """Add an item behind the customer's others."""
        if customer not in self.waiting:
            self.waiting[customer] = deque()
            self._join(customer)
        self.waiting[customer].append(item)

    def remove(self, customer: str, item: Item) -> bool:
        """Take an item out that gave up.

        :returns: whether it was still waiting.
        """
        items = self.waiting.get(customer)
        if items is None or item not in items:
            return False
        items.remove(item)
        if not items:
            del self.waiting[customer]
        return True

    def order(self) -> list[str]:
        """Return the waiting customers, the least served first."""
        return sorted(self.waiting, key=lambda name: self._virtual[name])

    def pop(self, customer: str) -> Item:
        """Take the customer's oldest item."""
        items = self.waiting[customer]
        item = items.popleft()
        if not items:
            del self.waiting[customer]
        self._floor = max(self._floor, self._virtual[customer])
        return item

    def charge(self, customer: str, work: float, weight: float) -> None:
        """Count work done for a customer.

        :param work: slot-seconds, or bytes.
        :param weight: the customer's weight.
        """
        self._join(customer)
        self._virtual[customer] += work / weight

    def forget(self, customer: str) -> None:
        """Drop what is known of a customer that no longer exists."""
        self._virtual.pop(customer, None)

    def _join(self, customer: str) -> None:
        # Time that a customer spent idle gives it no credit over the others.
        before = self._virtual.get(customer, self._floor)
        self._virtual[customer] = max(before, self._floor)
