"""Keep the table of entry hosts: who is known, who is heard, who leaves."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

import msgspec

from damasktally.fleet.model import Member
from damasktally.fleet.topics import Topic, revisions_by_topic

HEARTBEAT_TIMEOUT_S = 2.0
"""Without a heartbeat for this long, callers are not sent to a host."""
REPLY_TIMEOUT_S = 1.8
"""A relay that says nothing for this long is replaced by another host."""
REMOVAL_TIMEOUT_S = 30.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Tell the other hosts about this one.

    Fields are told apart by their place; new ones are added at the end, with a default.

    :param ready: callers may be sent here.
    :param stopped: the process ends now.
    :param revisions: revision of each topic of the view, in the order of
        :class:`~damasktally.fleet.topics.Topic`.
    :param demand: requests a second of each customer at this host.
    :param admitted: requests of each customer admitted since the process started.
    :param is_complete: both name every customer; otherwise only those that changed.
    :param capacity: what the host can bear, in cores.
    :param store_age_s: seconds since the host itself reached the store; a host that
        does not follow it says a large number.
    :param fleet_size: how many hosts it knows, itself included.
    """

    host: str
    started_ms: int
    region: str
    data_centre: str
    caller_address: str
    peer_host: str
    peer_port: int
    sequence: int
    ready: bool
    stopped: bool
    revisions: tuple[int, ...]
    demand: dict[str, float]
    admitted: dict[str, int]
    is_complete: bool = True
    capacity: float = 1.0
    store_age_s: float = 0.0
    fleet_size: int = 1


@dataclass(slots=True)
class MemberRecord:
    """Hold what is known of another host.

    :param last_seen_at: when its last heartbeat came, or when it was first known.
    :param has_been_seen: whether any heartbeat of it came yet.
    :param reply_expected_since: since when messages go to it that it has to answer,
        or nothing.
    """

    member: Member
    last_seen_at: float
    has_been_seen: bool = False
    reply_expected_since: float | None = None
    ready: bool = False
    sequence: int = 0
    revisions: Mapping[Topic, int] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    admitted: Mapping[str, int] = field(default_factory=dict)
    store_age_s: float = inf
    fleet_size: int = 1

    def is_unresponsive(self, now: float) -> bool:
        """Tell whether it was asked for long and did not answer."""
        if self.reply_expected_since is None:
            return False
        return now - max(self.reply_expected_since, self.last_seen_at) > REPLY_TIMEOUT_S

    @property
    def identity(self) -> tuple[str, int]:
        """Name this run of the host."""
        return self.member.host, self.member.started_ms


class MemberTable:
    """Apply heartbeats and the store's list of hosts.

    :param own: this host, which is not among the records.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._records: dict[str, MemberRecord] = {}

    def add(self, member: Member, now: float) -> bool:
        """Take a host from the store's list; return whether it was unknown."""
        if member.host == self.own.host or member.host in self._records:
            return False
        self._records[member.host] = MemberRecord(member, now)
        return True

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; return whether the host, or this run, was unknown."""
        if heartbeat.host == self.own.host:
            return False
        record = self._records.get(heartbeat.host)
        is_newer_incarnation = (
            record is not None and heartbeat.started_ms > record.member.started_ms
        )
        if record is not None and not is_newer_incarnation and record.has_been_seen:
            is_older_incarnation = heartbeat.started_ms < record.member.started_ms
            if is_older_incarnation or heartbeat.sequence <= record.sequence:
                return False
        if heartbeat.stopped:
            self._records.pop(heartbeat.host, None)
            return False
        is_new = record is None or is_newer_incarnation
        demand, admitted = heartbeat.demand, heartbeat.admitted
        if (
            not heartbeat.is_complete
            and record is not None
            and not is_newer_incarnation
        ):
            demand = {**record.demand, **demand}
            admitted = {**record.admitted, **admitted}
        self._records[heartbeat.host] = MemberRecord(
            member=member_from_heartbeat(heartbeat),
            last_seen_at=now,
            has_been_seen=True,
            reply_expected_since=record.reply_expected_since
            if record is not None and not is_newer_incarnation
            else None,
            ready=heartbeat.ready,
            sequence=heartbeat.sequence,
            revisions=revisions_by_topic(heartbeat.revisions),
            demand=demand,
            admitted=admitted,
            store_age_s=heartbeat.store_age_s,
            fleet_size=heartbeat.fleet_size,
        )
        return is_new

    def expect_replies(self, hosts: Iterable[Member], now: float) -> None:
        """Note to which hosts messages go that they have to answer."""
        expected = {member.host: member for member in hosts}
        for member in expected.values():
            self.add(member, now)
        for name, record in self._records.items():
            if name not in expected:
                record.reply_expected_since = None
            elif record.reply_expected_since is None:
                record.reply_expected_since = now

    def apply_relay_summary(
        self,
        member: Member,
        revisions: Mapping[Topic, int],
        store_age_s: float,
        now: float,
    ) -> None:
        """Take a relay's summary as a sign of life."""
        record = self._records.get(member.host)
        if record is None or record.member.started_ms < member.started_ms:
            record = self._records[member.host] = MemberRecord(member, now)
        if record.member.started_ms == member.started_ms:
            record.last_seen_at = now
            record.has_been_seen = True
            record.revisions = revisions
            record.store_age_s = store_age_s

    def remove_silent(self, now: float) -> list[str]:
        """Forget hosts that were silent for long; return their names."""
        silent = [
            name
            for name, record in self._records.items()
            if now - record.last_seen_at > REMOVAL_TIMEOUT_S
        ]
        for name in silent:
            del self._records[name]
        return silent

    def get(self, host: str) -> MemberRecord | None:
        """Return what is known of another host, by its name."""
        return self._records.get(host)

    def records(self) -> list[MemberRecord]:
        """Return all other hosts that are known."""
        return list(self._records.values())

    def live_records(self, now: float) -> list[MemberRecord]:
        """Return the other hosts that are alive."""
        return [
            record
            for record in self._records.values()
            if record.has_been_seen and now - record.last_seen_at <= HEARTBEAT_TIMEOUT_S
        ]

    def names(self) -> list[str]:
        """Return the names of all known hosts, this one included."""
        return sorted([self.own.host, *self._records])


def member_from_heartbeat(heartbeat: Heartbeat) -> Member:
    """Return the host that a heartbeat describes."""
    return Member(
        host=heartbeat.host,
        started_ms=heartbeat.started_ms,
        region=heartbeat.region,
        data_centre=heartbeat.data_centre,
        caller_address=heartbeat.caller_address,
        peer_address=(heartbeat.peer_host, heartbeat.peer_port),
        capacity=heartbeat.capacity,
    )
