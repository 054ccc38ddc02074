"""Keep away from backend servers that refused a request and asked for a pause.

A pause holds for this host alone, and for the process of the server that asked for it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktally.fleet.model import Server

MAX_PAUSE_S = 3600.0
"""A longer pause is cut to this, so that a wrong value does not last for ever."""


@dataclass(frozen=True, slots=True)
class ServerPause:
    """Pause of one process of a server.

    :param started_ms: Unix time of the start of the process in milliseconds.
    :param until: end of the pause, in seconds on the event loop's clock.
    """

    started_ms: int
    until: float


class ServerPauses:
    """Pauses by server.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, ServerPause] = {}

    def record(self, server: str, started_ms: int, pause_s: float, now: float) -> bool:
        """Record that a server asked for a pause; of several, the latest end holds.

        :param server: its id.
        :param started_ms: start of the process to which the request was sent.
        :returns: whether the server was not paused before.
        """
        if pause_s <= 0:
            return False
        until = now + min(pause_s, MAX_PAUSE_S)
        previous = self._pauses.get(server)
        if previous is not None:
            if previous.started_ms > started_ms:
                return False
            if previous.started_ms == started_ms:
                until = max(until, previous.until)
        self._pauses[server] = ServerPause(started_ms, until)
        return previous is None or previous.until <= now

    def remaining_s(self, server: Server, now: float) -> float:
        """Return how long the pause of a server still lasts, or 0."""
        pause = self._pauses.get(server.id)
        if pause is None or pause.started_ms < server.started_ms:
            return 0.0
        return max(0.0, pause.until - now)

    def is_paused(self, server: Server, now: float) -> bool:
        """Return whether a server wants no requests of this host now."""
        return self.remaining_s(server, now) > 0

    def paused_count(self, now: float) -> int:
        """Return the number of servers whose pause lasts."""
        return sum(pause.until > now for pause in self._pauses.values())

    def earliest_end_s(self, servers: Iterable[Server], now: float) -> float | None:
        """Return how long it takes until one of several paused servers wants work.

        :returns: seconds, or None if some server is not paused, or there is none.
        """
        remaining = [self.remaining_s(server, now) for server in servers]
        if not remaining or min(remaining) <= 0:
            return None
        return min(remaining)

    def keep_only(self, servers: set[str], now: float) -> None:
        """Remove the servers whose pause is over, except the given ones.

        A server that is not registered for a while may come back as the same process.
        """
        for name, pause in list(self._pauses.items()):
            if name not in servers and pause.until <= now:
                del self._pauses[name]
