"""Pace bytes over inter-region links, fairly by customer."""

from dataclasses import dataclass, field
from threading import Condition

from damasktally.escrow.limit_table import LimitTable, link_limit_name
from damasktally.resources.view import View
from damasktally.steering.fair_queue import FairQueue

MIN_RETRY_WAIT_S = 0.001
MAX_RETRY_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class DirectedLink:
    """Identify one direction of the link between two regions.

    :param source: the region that sends.
    :param target: the region that receives.
    """

    source: str
    target: str

    @property
    def limit_name(self) -> str:
        """Return the name of the link's limit."""
        return link_limit_name(self.source, self.target)


@dataclass
class Pacer:
    """Assign the bytes of links to requests in the order of a fair queue.

    :param limit_table: holds this host's share of each link's limit.
    """

    limit_table: LimitTable
    _queues: dict[str, FairQueue[object]] = field(default_factory=dict)
    _queue_changed: Condition = field(default_factory=Condition)

    def has_cap(self, link: DirectedLink) -> bool:
        """Return whether a cap is set for this link."""
        return link.limit_name in self.limit_table.entries

    def max_burst_bytes(self, link: DirectedLink) -> float:
        """Return the most bytes that one call to :meth:`take` can get."""
        entry = self.limit_table.entries.get(link.limit_name)
        return entry.bucket.effective_depth if entry is not None else 0.0

    def take(
        self, link: DirectedLink, amount: float, customer: str, deadline: float
    ) -> bool:
        """Take bytes of a link; wait for them if there are not enough.

        :param amount: bytes.
        :param deadline: seconds on the clock of the limit table.
        :returns: whether they were taken before the deadline.
        """
        limit = link.limit_name
        with self._queue_changed:
            queue = self._queues.setdefault(limit, FairQueue())
            if len(queue) == 0 and self.limit_table.take(limit, amount):
                queue.charge(customer, amount, 1.0)
                return True
            ticket = object()
            queue.push(customer, ticket)
            try:
                return self._wait_for_turn(
                    queue, ticket, limit, amount, customer, deadline
                )
            finally:
                queue.remove(customer, ticket)
                self._queue_changed.notify_all()

    def refund(self, link: DirectedLink, amount: float) -> None:
        """Return bytes that were taken and not sent over the link."""
        self.limit_table.refund(link.limit_name, amount)

    def _wait_for_turn(
        self,
        queue: FairQueue[object],
        ticket: object,
        limit: str,
        amount: float,
        customer: str,
        deadline: float,
    ) -> bool:
        while True:
            remaining_s = deadline - self.limit_table.clock()
            if remaining_s <= 0:
                return False
            next_customer = queue.order_customers()[0]
            is_first = queue.items_by_customer[next_customer][0] is ticket
            if is_first and self.limit_table.retry_take(limit, amount):
                queue.charge(customer, amount, 1.0)
                return True
            retry_after_s = self.limit_table.retry_after(limit, amount)
            wait_s = min(
                remaining_s, MAX_RETRY_WAIT_S, max(MIN_RETRY_WAIT_S, retry_after_s)
            )
            self._queue_changed.wait(wait_s)


def directed_links(view: View, source: str, target: str) -> list[DirectedLink]:
    """Return the link from one region to another, if it has a cap.

    :param view: holds the configured links.
    :returns: an empty list within one region, or when no link is configured.
    """
    if source == target or (source, target) not in view.links:
        return []
    return [DirectedLink(source, target)]
