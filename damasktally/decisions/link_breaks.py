"""Tell the end of a server from a break of this host's own network link.

A server that ends breaks the connections to it. If connections to nearly all other
servers break at the same moment, the link broke, and no server needs to have ended.
"""

from collections import Counter, deque

TOGETHER_S = 0.2
"""Breaks that are at most this far apart may have the same cause."""
MIN_OTHER_SERVERS = 3
"""Other servers whose connections break, too. Fewer may end under one request, which is
sent to a second server when the first one ends."""
MIN_BROKEN_FRACTION = 0.9
"""Fraction of the other connected servers that have to be among them: several requests
may end most servers of a small service at once."""
MEMORY_S = 2.0


class LinkBreaks:
    """Open connections to servers, and those that broke lately.

    Times are in seconds on the event loop's clock. Servers are named by their ids.
    """

    def __init__(self) -> None:
        self._open: Counter[str] = Counter()
        self._breaks: deque[tuple[float, str]] = deque()

    def record_opened(self, server: str) -> None:
        """Record that a connection to a server was established."""
        self._open[server] += 1

    def record_closed(self, server: str, is_broken: bool, now: float) -> None:
        """Record the end of a connection.

        :param is_broken: whether it was reset or timed out.
        """
        self._open[server] -= 1
        if self._open[server] <= 0:
            del self._open[server]
        if is_broken:
            self._breaks.append((now, server))
        while self._breaks and self._breaks[0][0] < now - MEMORY_S:
            self._breaks.popleft()

    def is_own_link(self, server: str, at: float) -> bool:
        """Return whether connections to nearly all others broke at the same time.

        :param server: the server whose connection broke.
        :param at: when it broke.
        """
        broken = {
            name
            for broke_at, name in self._breaks
            if abs(broke_at - at) <= TOGETHER_S and name != server
        }
        connected = broken | (self._open.keys() - {server})
        needed = max(MIN_OTHER_SERVERS, MIN_BROKEN_FRACTION * len(connected))
        return len(broken) >= needed
