"""Order the requests that wait for a slot of one backend server.

More urgent requests come first. Among requests of the same priority, the one whose
customer has the least in progress and waiting ahead of it comes first, so that a
customer that floods waits behind its own requests. Of equal ones, the one that has to
start earliest comes first. A request therefore cannot be overtaken for ever within its
priority: what its customer has in progress ends, and its latest start comes closer,
while that of each new request lies ahead.
"""

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Request that waits for a slot.

    Times are in seconds on one clock.

    :param key: identifies the request.
    :param priority: 0 is the most urgent.
    :param customer: name, or an empty string if there is none.
    :param run_s: how long it is expected to run.
    :param start_by: latest time at which it is still worth starting.
    :param arrival: number that grows with each request, which decides between equals.
    :param ahead: how many requests waited ahead of it when it arrived.
    """

    key: Hashable
    priority: int
    customer: str
    run_s: float
    queued_at: float
    start_by: float
    arrival: int
    ahead: int = 0


class WaitQueue:
    """Requests that wait for one server."""

    def __init__(self) -> None:
        self._waiting: dict[Hashable, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._waiting

    def get(self, key: Hashable) -> WaitingRequest | None:
        """Return a waiting request, or ``None`` if it does not wait."""
        return self._waiting.get(key)

    def waiting(self) -> list[WaitingRequest]:
        """Return all waiting requests in the order of their arrival."""
        return list(self._waiting.values())

    def add(self, item: WaitingRequest) -> None:
        """Add a request."""
        self._waiting[item.key] = item

    def remove(self, key: Hashable) -> WaitingRequest | None:
        """Remove a request, and return it if it waited."""
        return self._waiting.pop(key, None)

    def ordered(self, in_progress: Mapping[str, int]) -> list[WaitingRequest]:
        """Return the waiting requests, the one that is served next first.

        :param in_progress: requests of each customer that the server processes.
        """
        ahead_of_own: dict[tuple[int, str], int] = {}
        ranked = []
        for item in sorted(self._waiting.values(), key=_by_latest_start):
            group = (item.priority, item.customer)
            count = ahead_of_own.get(group, in_progress.get(item.customer, 0))
            ahead_of_own[group] = count + 1
            ranked.append((item.priority, count, item))
        # Sorting is stable: equals stay in the order of their latest start.
        ranked.sort(key=lambda entry: entry[:2])
        return [item for _, _, item in ranked]

    def overdue(self, now: float) -> list[WaitingRequest]:
        """Return the requests whose latest start has passed."""
        return [item for item in self._waiting.values() if item.start_by < now]


def _by_latest_start(item: WaitingRequest) -> tuple[float, int]:
    return item.start_by, item.arrival


def find_late_requests(
    ordered: list[WaitingRequest],
    first: int,
    expected_wait_s: Callable[[int, int], float],
    now: float,
) -> list[WaitingRequest]:
    """Return the requests that will not get room before their latest start.

    Requests behind one of them are examined as if it had left the queue.

    :param ordered: waiting requests, the one that is served next first.
    :param first: position from which on requests are examined.
    :param expected_wait_s: returns the time until a request at a position, and of a
        priority, is served.
    """
    late: list[WaitingRequest] = []
    for position, item in enumerate(ordered[first:], first):
        wait_s = expected_wait_s(position - len(late), item.priority)
        if now + wait_s > item.start_by:
            late.append(item)
    return late
