"""Queue waiting work so that each customer gets its weighted share.

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
    """Queue items by customer and order customers by the service they received.

    :param items_by_customer: waiting items, the oldest first, of each customer that
        has any.
    """

    items_by_customer: dict[str, deque[Item]] = field(default_factory=dict)
    _virtual_times: dict[str, float] = field(default_factory=dict)
    _system_virtual_time: float = 0.0

    def __len__(self) -> int:
        return sum(len(items) for items in self.items_by_customer.values())

    def push(self, customer: str, item: Item) -> None:
        """Add an item behind the customer's others."""
        if customer not in self.items_by_customer:
            self.items_by_customer[customer] = deque()
            self._catch_up_virtual_time(customer)
        self.items_by_customer[customer].append(item)

    def remove(self, customer: str, item: Item) -> bool:
        """Remove an item that no longer waits, for instance after a timeout.

        :returns: whether it was still queued.
        """
        items = self.items_by_customer.get(customer)
        if items is None or item not in items:
            return False
        items.remove(item)
        if not items:
            del self.items_by_customer[customer]
        return True

    def order_customers(self) -> list[str]:
        """Return the waiting customers, the one with the least service first."""
        return sorted(
            self.items_by_customer, key=lambda name: self._virtual_times[name]
        )

    def pop(self, customer: str) -> Item:
        """Remove and return the customer's oldest item."""
        items = self.items_by_customer[customer]
        item = items.popleft()
        if not items:
            del self.items_by_customer[customer]
        self._system_virtual_time = max(
            self._system_virtual_time, self._virtual_times[customer]
        )
        return item

    def charge(self, customer: str, work: float, weight: float) -> None:
        """Add work to a customer's account; a negative amount corrects a charge.

        :param work: slot-seconds, or bytes.
        :param weight: the customer's weight.
        """
        self._catch_up_virtual_time(customer)
        self._virtual_times[customer] += work / weight

    def discard_customer(self, customer: str) -> None:
        """Drop the virtual time of a customer that no longer exists."""
        self._virtual_times.pop(customer, None)

    def _catch_up_virtual_time(self, customer: str) -> None:
        # A customer that was idle gets no credit for that time over the others.
        virtual_time = self._virtual_times.get(customer, self._system_virtual_time)
        self._virtual_times[customer] = max(virtual_time, self._system_virtual_time)
