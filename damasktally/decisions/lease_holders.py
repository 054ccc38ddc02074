"""Remember which messages of each host were handled, to recognise repeated ones."""

from collections import OrderedDict
from dataclasses import dataclass, field

from damasktally.decisions.lease_terms import DropCause, LeaseDecision, LeaseKey

MAX_ENDED_NUMBERS = 1024
"""Ended numbers that are remembered for each host, to recognise replayed messages."""
HOLDER_LIFETIME_S = 60.0
"""A host without a lease that sent nothing for this long is forgotten."""


@dataclass(slots=True)
class LeaseHolder:
    """Host that asks for leases.

    :param live: server of each number that holds a lease or waits.
    :param ended: the decision to repeat for a number that was refused, or ``None``.
    :param floor: numbers up to this one have ended, unless they are live.
    """

    started_ms: int
    heard_at: float
    live: dict[int, str] = field(default_factory=dict)
    ended: OrderedDict[int, LeaseDecision | None] = field(default_factory=OrderedDict)
    floor: int = -1

    def record_end(self, number: int, decision: LeaseDecision | None) -> None:
        """Record that a number has ended, and how if it was refused."""
        self.live.pop(number, None)
        self.ended[number] = decision
        if len(self.ended) > MAX_ENDED_NUMBERS:
            oldest, _ = self.ended.popitem(last=False)
            self.floor = max(self.floor, oldest)


class LeaseHolders:
    """Hosts that ask for leases, by name."""

    def __init__(self) -> None:
        self._holders: dict[str, LeaseHolder] = {}

    def drop_cause(self, key: LeaseKey) -> DropCause | None:
        """Return why a request for a lease has to be dropped, or ``None``."""
        host, started_ms, number = key
        holder = self._holders.get(host)
        if holder is None or started_ms > holder.started_ms:
            return None
        if started_ms < holder.started_ms:
            return DropCause.OLD_START
        if number in holder.live or holder.ended.get(number) is not None:
            return None
        if number in holder.ended or number <= holder.floor:
            return DropCause.REPLAYED
        return None

    def renew(self, key: LeaseKey, now: float) -> LeaseHolder | None:
        """Record that a host sent a message.

        :returns: what an earlier process of the host held, if this one is new.
        """
        host, started_ms, _ = key
        holder = self._holders.get(host)
        if holder is not None and started_ms <= holder.started_ms:
            holder.heard_at = now
            return None
        self._holders[host] = LeaseHolder(started_ms, now)
        return holder

    def get(self, key: LeaseKey) -> LeaseHolder | None:
        """Return the process that sent a message, or ``None`` if it is not known."""
        host, started_ms, _ = key
        holder = self._holders.get(host)
        if holder is None or holder.started_ms != started_ms:
            return None
        return holder

    def record_live(self, key: LeaseKey, server: str) -> None:
        """Record that a known process holds a lease of a server, or waits for one."""
        host, _, number = key
        self._holders[host].live[number] = server

    def record_end(self, key: LeaseKey, decision: LeaseDecision | None) -> None:
        """Record that a lease or a wait has ended, and how if it was refused."""
        _, _, number = key
        holder = self.get(key)
        if holder is not None:
            holder.record_end(number, decision)

    def remove_silent(self, now: float) -> None:
        """Remove the hosts that hold nothing and sent nothing for long."""
        for host, holder in list(self._holders.items()):
            if not holder.live and now - holder.heard_at > HOLDER_LIFETIME_S:
                del self._holders[host]
