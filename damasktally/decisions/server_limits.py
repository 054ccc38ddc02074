"""Keep the rate limits that backend servers name in their responses."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Rate limit of a server, as of the newest known response.

    :param started_ms: Unix time in milliseconds of the start of the server's process.
    :param rate: requests a second from all hosts together, or None if it names none.
    :param reported_at: when that response arrived, in seconds on the event loop's
        clock.
    """

    started_ms: int
    rate: float | None
    reported_at: float


class ServerLimits:
    """Rate limits by server; a server that names no limit has no entry at first."""

    def __init__(self) -> None:
        self._limits: dict[str, ServerLimit] = {}

    def record(
        self, server: str, started_ms: int, rate: float | None, now: float
    ) -> bool:
        """Record the limit that a response of a server named.

        :param server: its id.
        :param started_ms: start of the process to which the request was sent.
        :param rate: requests a second, or None if the response named no limit.
        :returns: whether the limit changed.
        """
        previous = self._limits.get(server)
        if previous is None and rate is None:
            return False
        if previous is not None and started_ms < previous.started_ms:
            return False
        self._limits[server] = ServerLimit(started_ms, rate, now)
        return previous is None or previous.rate != rate

    def limited_count(self) -> int:
        """Return the number of servers that name a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def keep_only(self, servers: set[str]) -> None:
        """Remove all servers except the given ones."""
        for server in [name for name in self._limits if name not in servers]:
            del self._limits[server]
