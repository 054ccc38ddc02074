"""Pace bytes over inter-region links, fairly by customer."""

from dataclasses import dataclass, field
from threading import Condition

from damasktally.escrow.limit_table import LimitTable, link_limit_name
from damasktally.resources.view import View
from damasktally.steering.fair_queue import FairQueue

SHORTEST_WAIT_S = 0.001
LONGEST_WAIT_S = 0.05


@dataclass(frozen=True, slots=True)
class DirectedLink:
    """Name a directed link that a request's bytes cross."""

    source: str
    target: str

    @property
    def limit(self) -> str:
        """Return the name of the link's limit."""
        return link_limit_name(self.source, self.target)


@dataclass
class Pacer:
    """Hand out link bytes in the order of a fair queue.

    :param ledger: this host's part of the links.
    """

    limit_table: LimitTable
    _queues: dict[str, FairQueue[object]] = field(default_factory=dict)
    _turn: Condition = field(default_factory=Condition)

    def limited(self, crossing: DirectedLink) -> bool:
        """Tell whether a cap is set for this link."""
        return crossing.limit in self.limit_table.entries

    def max_burst_bytes(self, crossing: DirectedLink) -> float:
        """Return the most bytes that can be asked for at once."""
        entry = self.limit_table.entries.get(crossing.limit)
        return entry.bucket.effective_depth if entry is not None else 0.0

    def take(
        self, crossing: DirectedLink, amount: float, customer: str, deadline: float
    ) -> bool:
        """Wait for bytes of a link.

        :param amount: bytes.
        :param deadline: seconds on the ledger's clock.
        :returns: whether they were taken before the deadline.
        """
        limit = crossing.limit
        with self._turn:
            queue = self._queues.setdefault(limit, FairQueue())
            if len(queue) == 0 and self.limit_table.take(limit, amount):
                queue.charge(customer, amount, 1.0)
                return True
            token = object()
            queue.push(customer, token)
            try:
                return self._wait(queue, token, limit, amount, customer, deadline)
            finally:
                queue.remove(customer, token)
                self._turn.notify_all()

    def refund(self, crossing: DirectedLink, amount: float) -> None:
        """Give back bytes that were taken and did not cross."""
        self.limit_table.refund(crossing.limit, amount)

    def _wait(
        self,
        queue: FairQueue[object],
        token: object,
        limit: str,
        amount: float,
        customer: str,
        deadline: float,
    ) -> bool:
        while True:
            left = deadline - self.limit_table.clock()
            if left <= 0:
                return False
            first = queue.order()[0]
            is_first = queue.waiting[first][0] is token
            if is_first and self.limit_table.retry_take(limit, amount):
                queue.charge(customer, amount, 1.0)
                return True
            soon = self.limit_table.retry_after(limit, amount)
            wait_s = min(left, LONGEST_WAIT_S, max(SHORTEST_WAIT_S, soon))
            self._turn.wait(wait_s)


def directed_links(view: View, source: str, target: str) -> list[DirectedLink]:
    """Return the link between two regions, or nothing within one.

    :param view: the view, whose links may leave a pair of regions without a cap.
    """
    if source == target or (source, target) not in view.links:
        return []
    return [DirectedLink(source, target)]
