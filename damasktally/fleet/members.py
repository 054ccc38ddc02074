"""Keep the table of entry hosts: who is known, who is heard, who leaves."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from damasktally.fleet.model import Member

SILENT_S = 2.0
"""Without a heartbeat for this long, callers are not sent to a host."""
FORGOTTEN_S = 30.0


class Heartbeat(msgspec.Struct, frozen=True):
    """Tell the other hosts about this one.

    :param ready: callers may be sent here.
    :param stopped: the process ends now.
    :param revisions: revision of each topic of the view, by the topic's name.
    :param demand: requests a second of each customer at this host.
    :param admitted: requests of each customer admitted since the process started.
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
    revisions: dict[str, int]
    demand: dict[str, float]
    admitted: dict[str, int]


@dataclass(slots=True)
class MemberRecord:
    """Hold what is known of another host.

    :param heard: when its last heartbeat came, or when it was first known.
    :param spoke: whether any heartbeat of it came yet.
    """

    member: Member
    heard: float
    spoke: bool = False
    ready: bool = False
    sequence: int = 0
    revisions: Mapping[str, int] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    admitted: Mapping[str, int] = field(default_factory=dict)


class MemberTable:
    """Apply heartbeats and the store's list of hosts.

    :param own: this host, which is not among the records.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._records: dict[str, MemberRecord] = {}

    def learn(self, member: Member, now: float) -> bool:
        """Take a host from the store's list; return whether it was unknown."""
        if member.host == self.own.host or member.host in self._records:
            return False
        self._records[member.host] = MemberRecord(member, now)
        return True

    def hear(self, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; return whether the host, or this run, was unknown."""
        if beat.host == self.own.host:
            return False
        record = self._records.get(beat.host)
        newer_run = record is not None and beat.started_ms > record.member.started_ms
        if record is not None and not newer_run and record.spoke:
            older_run = beat.started_ms < record.member.started_ms
            if older_run or beat.sequence <= record.sequence:
                return False
        if beat.stopped:
            self._records.pop(beat.host, None)
            return False
        is_new = record is None or newer_run
        self._records[beat.host] = MemberRecord(
            member=member_of(beat),
            heard=now,
            spoke=True,
            ready=beat.ready,
            sequence=beat.sequence,
            revisions=beat.revisions,
            demand=beat.demand,
            admitted=beat.admitted,
        )
        return is_new

    def forget_silent(self, now: float) -> list[str]:
        """Forget hosts that were silent for long; return their names."""
        silent = [
            name
            for name, record in self._records.items()
            if now - record.heard > FORGOTTEN_S
        ]
        for name in silent:
            del self._records[name]
        return silent

    def records(self) -> list[MemberRecord]:
        """Return all other hosts that are known."""
        return list(self._records.values())

    def heard(self, now: float) -> list[MemberRecord]:
        """Return the other hosts that are alive."""
        return [
            record
            for record in self._records.values()
            if record.spoke and now - record.heard <= SILENT_S
        ]

    def names(self) -> list[str]:
        """Return the names of all known hosts, this one included."""
        return sorted([self.own.host, *self._records])


def member_of(beat: Heartbeat) -> Member:
    """Return the host that a heartbeat describes."""
    return Member(
        host=beat.host,
        started_ms=beat.started_ms,
        region=beat.region,
        data_centre=beat.data_centre,
        caller_address=beat.caller_address,
        peer_address=(beat.peer_host, beat.peer_port),
    )
