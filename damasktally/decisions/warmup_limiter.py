"""Divide what a cold server bears among the hosts.

Several hosts that find the same new server at once would crash it together. Its
requests a second are dealt to hosts as whole tokens, by rendezvous hashing of the
server and the host, so that no message is needed and small numbers stay usable.
"""

from collections import deque
from collections.abc import Sequence

from damasktally.decisions.affinity import rendezvous_score

WINDOW_S = 1.05
"""A second and the difference between sending and arriving."""


def warmup_tokens(host: str, hosts: Sequence[str], server: str, rate: float) -> int:
    """Return how many requests a second a host may send to a cold server.

    :param hosts: names of all hosts, this one included.
    :param rate: requests a second that the server bears from all of them.
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
    """Count what this host sent to each cold server in the last second."""

    def __init__(self) -> None:
        self._sent_at: dict[str, deque[float]] = {}

    def is_allowed(self, server: str, tokens: int, now: float) -> bool:
        """Tell whether one more request may be sent."""
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
        """Forget servers that are gone."""
        for server in [name for name in self._sent_at if name not in servers]:
            del self._sent_at[server]
