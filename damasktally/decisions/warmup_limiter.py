"""Limit the requests to servers that are warming up, divided among the hosts.

If several hosts discovered a newly started server at the same moment, their requests
together would crash it. The requests a second that it tolerates are assigned to hosts
as whole tokens, by rendezvous hashing of the server and the host. This needs no
messages between hosts, and small rates remain usable.
"""

from collections import deque
from collections.abc import Sequence

from damasktally.decisions.affinity import rendezvous_score

WINDOW_S = 1.05
"""One second, and a margin for the difference between sending and arrival."""


def warmup_tokens(host: str, hosts: Sequence[str], server: str, rate: float) -> int:
    """Return how many requests a second a host may send to a server that warms up.

    :param host: the host that asks; one of ``hosts``.
    :param hosts: names of all hosts.
    :param server: id of the server.
    :param rate: requests a second that the server tolerates from all hosts together.
    :returns: 0 when there are no hosts.
    """
    if not hosts:
        return 0
    tokens = int(rate)
    ranked = sorted(
        hosts, key=lambda name: rendezvous_score(server, name.encode()), reverse=True
    )
    rank = ranked.index(host)
    return tokens // len(ranked) + (1 if rank < tokens % len(ranked) else 0)


class WarmupLimiter:
    """Limit this host's requests to each warming server over a sliding window."""

    def __init__(self) -> None:
        self._sent_at: dict[str, deque[float]] = {}

    def is_allowed(self, server: str, tokens: int, now: float) -> bool:
        """Return whether one more request may be sent to a server.

        :param tokens: requests that this host may send to it in one window.
        """
        sent_at = self._sent_at.get(server)
        if sent_at is None:
            return tokens > 0
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        return len(sent_at) < tokens

    def record(self, server: str, now: float) -> None:
        """Count a request that is sent now."""
        self._sent_at.setdefault(server, deque()).append(now)

    def keep_only(self, servers: set[str]) -> None:
        """Remove all servers except the given ones."""
        for server in [name for name in self._sent_at if name not in servers]:
            del self._sent_at[server]
