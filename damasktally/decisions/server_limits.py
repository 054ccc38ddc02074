"""Hold the whole fleet to the rate limits that backend servers name in responses.

The limit of a server is divided among a few hosts, its senders, which are chosen by
rendezvous hashing: all hosts choose the same ones without messages. Each sender spaces
its requests evenly. There are too few senders for their first requests together to
exceed a small limit. The other hosts send nothing until a report says that the limit
ended, which the senders notice first.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from damasktally.decisions.affinity import rendezvous_score, uniform_score
from damasktally.fleet.model import Server
from damasktally.fleet.server_limits import ReportScope, ServerLimitReport

EXTRA_SENDERS = 2
"""Senders of a server in addition to one for each request a second of its limit."""
MIN_RATE = 0.1
"""Requests a second for all hosts, by which the end of a limit of zero is noticed."""
MAX_REPORT_AGE_S = 5.0
"""Reports that are older than this are not passed on."""
MAX_REPORTS_PER_MESSAGE = 32
UNCONFIRMED_LIMIT_S = 30.0
"""A host that is no sender tries a server that nobody reported on for this long.

The value is for the first hosts; the others wait up to twice as long.
"""
UNNEEDED_LIMIT_LIFETIME_S = 30.0
"""How long a server is remembered that names no limit any more, or is not
registered."""


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Rate limit of a server, as of the newest known response.

    :param started_ms: Unix time in milliseconds of the start of the server's process.
    :param rate: requests a second from all hosts together, or None if it names none.
    :param reported_at: when that response arrived, in seconds on the event loop's
        clock.
    :param scope: how this host learned of it.
    :param changed_at: when this host learned of this rate first.
    """

    started_ms: int
    rate: float | None
    reported_at: float
    scope: ReportScope
    changed_at: float


@dataclass(frozen=True, slots=True)
class _SenderChoice:
    """Senders that were chosen last, and from what."""

    hosts: Sequence[str]
    rate: float
    senders: list[str]


def choose_senders(server: str, hosts: Sequence[str], rate: float) -> list[str]:
    """Return the hosts among which the rate limit of a server is divided.

    :param server: id of the server.
    :param hosts: names of the hosts that may send to it.
    :param rate: its limit in requests a second.
    """
    ranked = sorted(
        hosts, key=lambda name: rendezvous_score(server, name.encode()), reverse=True
    )
    return ranked[: int(rate) + EXTRA_SENDERS]


class ServerLimits:
    """Rate limits by server, and when this host last sent to each limited server.

    Times called ``now`` are in seconds on the event loop's clock.

    :param own_host: name of this host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._limits: dict[str, ServerLimit] = {}
        self._sent_at: dict[str, float] = {}
        self._choices: dict[str, _SenderChoice] = {}

    def record(self, report: ServerLimitReport, scope: ReportScope, now: float) -> bool:
        """Record the limit that a response of a server named, unless a newer one did.

        A server that names no limit is recorded only if it had one before.

        :returns: whether the limit changed.
        """
        previous = self._limits.get(report.server)
        if previous is None and report.rate is None:
            return False
        reported_at = now - report.age_s
        if previous is not None and (report.started_ms, reported_at) <= (
            previous.started_ms,
            previous.reported_at,
        ):
            return False
        is_changed = previous is None or previous.rate != report.rate
        changed_at = now if is_changed else previous.changed_at
        self._limits[report.server] = ServerLimit(
            report.started_ms, report.rate, reported_at, scope, changed_at
        )
        return is_changed

    def is_limited(self, server: Server) -> bool:
        """Return whether a server names a limit.

        A limit that an earlier process of the server named does not count.
        """
        limit = self._limits.get(server.id)
        return (
            limit is not None
            and limit.rate is not None
            and limit.started_ms >= server.started_ms
        )

    def is_allowed(self, server: Server, hosts: Sequence[str], now: float) -> bool:
        """Return whether this host may send a request to a server now.

        :param hosts: names of the hosts among which its limit is divided.
        """
        if not self.is_limited(server):
            return True
        limit = self._limits[server.id]
        senders = self._senders(server.id, hosts, limit.rate)
        sent_at = self._sent_at.get(server.id)
        if self._own_host in senders:
            interval_s = len(senders) / max(limit.rate, MIN_RATE)
            return sent_at is None or now - sent_at >= interval_s
        last_known_at = max(limit.reported_at, sent_at or limit.reported_at)
        return now - last_known_at > self._unconfirmed_limit_s(server.id)

    def _senders(self, server: str, hosts: Sequence[str], rate: float) -> list[str]:
        """Return the senders of a server, chosen again if the hosts or rate changed."""
        choice = self._choices.get(server)
        if choice is None or (choice.hosts, choice.rate) != (hosts, rate):
            senders = choose_senders(server, hosts, rate)
            choice = self._choices[server] = _SenderChoice(hosts, rate, senders)
        return choice.senders

    def _unconfirmed_limit_s(self, server: str) -> float:
        """Return how long this host waits for reports before it tries a server.

        The times of the hosts differ, so that one of them tries first.
        """
        spread = uniform_score(server, self._own_host.encode())
        return UNCONFIRMED_LIMIT_S * (1 + spread)

    def record_send(self, server: str, now: float) -> None:
        """Record a request to a server, which counts if the server is limited."""
        if server in self._limits:
            self._sent_at[server] = now

    def reports(self, scope: ReportScope, now: float) -> Iterator[ServerLimitReport]:
        """Return the newest reports that are not older than may be passed on.

        :param scope: the widest scope of the reports.
        """
        recent = [
            (limit.reported_at, name)
            for name, limit in self._limits.items()
            if limit.scope <= scope and now - limit.reported_at <= MAX_REPORT_AGE_S
        ]
        for reported_at, name in sorted(recent, reverse=True)[:MAX_REPORTS_PER_MESSAGE]:
            limit = self._limits[name]
            age_s = round(now - reported_at, 2)
            yield ServerLimitReport(name, limit.started_ms, limit.rate, age_s)

    def limited_count(self) -> int:
        """Return the number of servers that name a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def keep_only(self, servers: set[str], now: float) -> None:
        """Remove what is old of servers that name no limit, or are not given.

        A server that is not registered for a while may come back as the same process.
        """
        for name, limit in list(self._limits.items()):
            unneeded_since = limit.reported_at
            if limit.rate is None:
                unneeded_since = limit.changed_at
            elif name in servers:
                continue
            if now - unneeded_since > UNNEEDED_LIMIT_LIFETIME_S:
                del self._limits[name]
                self._sent_at.pop(name, None)
                self._choices.pop(name, None)
