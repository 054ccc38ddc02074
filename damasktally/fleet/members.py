"""Membership table and failure detector for the entry hosts of the fleet.

Hosts send heartbeats to each other. A host whose heartbeats stop is first treated as
failed, and removed from the table later.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

import msgspec

from damasktally.fleet.crash_reports import CrashReport
from damasktally.fleet.model import Member
from damasktally.fleet.server_limits import ServerLimitReport
from damasktally.fleet.server_loads import ServerLoadReport
from damasktally.fleet.topics import Topic, revisions_by_topic

HEARTBEAT_TIMEOUT_S = 2.0
"""A host without a heartbeat for this long counts as failed, and callers are not sent
to it."""
REPLY_TIMEOUT_S = 1.8
"""A relay that sends nothing for this long after messages started to go to it is
replaced by another host."""
LISTED_HOST_LIFETIME_S = 1.0
"""A host that the store lists counts as alive for this long without a heartbeat."""
UNRESPONSIVE_RETRY_S = 10.0
"""A host that did not reply may be tried again after this long."""
REMOVAL_TIMEOUT_S = 30.0
"""A host or relay that sent nothing for this long is removed from the tables."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Heartbeat message with the state of its sender.

    Fields are identified by their position on the wire. New fields go to the end and
    need a default, so that hosts of different versions can decode them.

    :param started_ms: Unix time of the start of the sender's process in milliseconds.
    :param caller_address: where callers connect, as ``host:port``.
    :param sequence: number of the message, which grows with each one of a process.
    :param ready: whether callers may be sent to the sender.
    :param stopped: whether the process is about to end.
    :param revisions: revision of each topic of the view, in the order of
        :class:`~damasktally.fleet.topics.Topic`.
    :param demand: requests a second of each customer at the sender.
    :param admitted: number of requests of each customer that the sender admitted since
        its process started.
    :param is_complete: whether ``demand`` and ``admitted`` name every customer;
        otherwise they name only those whose values changed.
    :param capacity: capacity of the sender in cores, bounded by its network link.
    :param store_age_s: seconds since the sender, or a host from which it gets changes,
        last reached the store; a large number if none did.
    :param fleet_size: number of hosts known to the sender, itself included.
    :param server_limits: rate limits that servers named in responses to the sender.
    :param crash_reports: requests under which servers ended, as far as it knows.
    :param leaving_servers: id and start of server processes that said that they leave.
    :param forwarding_port: port where the sender takes callers' requests from other
        hosts, or 0.
    :param unreachable_services: services of which the sender reaches no server.
    :param server_loads: loads of busy servers, from responses to the sender.
    :param lease_port: port where the sender takes messages about leases, or 0.
    :param has_lost_store: whether the sender called the store lately and did not reach
        it, or got its response late.
    :param is_store_unavailable: whether the sender's calls show that the store is
        unavailable, rather than slow.
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
    server_limits: tuple[ServerLimitReport, ...] = ()
    crash_reports: tuple[CrashReport, ...] = ()
    leaving_servers: tuple[tuple[str, int], ...] = ()
    forwarding_port: int = 0
    unreachable_services: tuple[str, ...] = ()
    server_loads: tuple[ServerLoadReport, ...] = ()
    lease_port: int = 0
    has_lost_store: bool = False
    is_store_unavailable: bool = False


@dataclass(slots=True)
class MemberRecord:
    """Latest state of another host, as received from it.

    Times are in seconds on the event loop's clock.

    :param last_seen_at: when its last message arrived, or when it was added to the
        table if none has arrived yet.
    :param has_been_seen: whether any message of it arrived yet.
    :param reply_expected_since: since when messages go to it that require a reply,
        or None while none do.
    :param sequence: number of its last heartbeat.
    :param revisions: revision of each topic that it has.
    :param demand: requests a second of each customer at that host.
    :param admitted: number of requests of each customer that it admitted since its
        process started.
    :param store_age_s: age of its state of the store in seconds, as of its last
        message.
    :param fleet_size: number of hosts known to it, itself included.
    :param unreachable_services: services of which it reaches no server.
    :param has_lost_store: whether it called the store lately and did not reach it, or
        got its response late.
    :param is_store_unavailable: whether its calls show that the store is unavailable.
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
    unreachable_services: tuple[str, ...] = ()
    has_lost_store: bool = False
    is_store_unavailable: bool = False

    def is_unresponsive(self, now: float) -> bool:
        """Return whether replies have been due for too long and nothing arrived.

        :param now: seconds on the event loop's clock.
        """
        if self.reply_expected_since is None:
            return False
        return now - max(self.reply_expected_since, self.last_seen_at) > REPLY_TIMEOUT_S

    def is_assumed_alive(self, now: float) -> bool:
        """Return whether the host may be relied on.

        :param now: seconds on the event loop's clock.
        """
        if self.is_unresponsive(now):
            return False
        limit = HEARTBEAT_TIMEOUT_S if self.has_been_seen else LISTED_HOST_LIFETIME_S
        return now - self.last_seen_at <= limit

    @property
    def identity(self) -> tuple[str, int]:
        """Return the host's name and start time, which identify its process."""
        return self.member.host, self.member.started_ms


class MemberTable:
    """Table of the other hosts, filled by heartbeats and by the store's list of hosts.

    :param own: this host, which has no record in the table.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._records: dict[str, MemberRecord] = {}
        self._stopped_at: dict[tuple[str, int], float] = {}

    def add(self, member: Member, now: float) -> bool:
        """Add a host that has sent nothing yet, such as one from the store's list.

        :param now: seconds on the event loop's clock.
        :returns: whether it was added; False if the table has it, or it is this host.
        """
        if member.host == self.own.host or member.host in self._records:
            return False
        self._records[member.host] = MemberRecord(member, now)
        return True

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Update the sender's record, unless a newer heartbeat was applied before.

        Once a message of the sender has arrived, heartbeats from an earlier process of
        it, or with a sequence number that is not higher than the last one, are ignored.
        A sender that stops is removed at once.

        :param now: seconds on the event loop's clock.
        :returns: whether the sender, or this process of it, was unknown before.
        """
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
            self._stopped_at[heartbeat.host, heartbeat.started_ms] = now
            return False
        is_new = record is None or is_newer_incarnation
        demand, admitted = heartbeat.demand, heartbeat.admitted
        if record is not None and not is_newer_incarnation:
            is_complete = heartbeat.is_complete
            demand = merge_tables(record.demand, demand, is_complete)
            admitted = merge_tables(record.admitted, admitted, is_complete)
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
            unreachable_services=heartbeat.unreachable_services,
            has_lost_store=heartbeat.has_lost_store,
            is_store_unavailable=heartbeat.is_store_unavailable,
        )
        return is_new

    def has_stopped(self, member: Member) -> bool:
        """Return whether a host said lately that this process of it stops."""
        return (member.host, member.started_ms) in self._stopped_at

    def expect_replies(self, hosts: Iterable[Member], now: float) -> None:
        """Record which hosts currently get messages that require a reply.

        A host that did not reply stays unresponsive for a while when another one is
        tried. Otherwise hosts would return to a dead relay again and again.

        :param hosts: all of them; those that the table lacks are added.
        :param now: seconds on the event loop's clock.
        """
        expected = {member.host: member for member in hosts}
        for member in expected.values():
            self.add(member, now)
        for name, record in self._records.items():
            since = record.reply_expected_since
            if name in expected:
                record.reply_expected_since = now if since is None else since
            elif not record.is_unresponsive(now) or now - since > UNRESPONSIVE_RETRY_S:
                record.reply_expected_since = None

    def apply_relay_summary(
        self,
        member: Member,
        revisions: Mapping[Topic, int],
        store_age_s: float,
        now: float,
        has_lost_store: bool = False,
        is_store_unavailable: bool = False,
    ) -> None:
        """Update a relay's record from its summary, which shows that it is alive.

        :param member: the relay, as its summary lists it.
        :param revisions: revision of each topic that the relay has.
        :param store_age_s: age of the relay's state of the store in seconds.
        :param now: seconds on the event loop's clock.
        :param has_lost_store: whether the relay does not reach the store itself.
        :param is_store_unavailable: whether its calls show that it is unavailable.
        """
        record = self._records.get(member.host)
        if record is None or record.member.started_ms < member.started_ms:
            record = self._records[member.host] = MemberRecord(member, now)
        if record.member.started_ms == member.started_ms:
            record.last_seen_at = now
            record.has_been_seen = True
            record.revisions = revisions
            record.store_age_s = store_age_s
            record.has_lost_store = has_lost_store
            record.is_store_unavailable = is_store_unavailable

    def remove_silent(self, now: float) -> list[str]:
        """Remove the hosts that sent nothing for :data:`REMOVAL_TIMEOUT_S`.

        :param now: seconds on the event loop's clock.
        :returns: the names of the removed hosts.
        """
        silent = [
            name
            for name, record in self._records.items()
            if now - record.last_seen_at > REMOVAL_TIMEOUT_S
        ]
        for name in silent:
            del self._records[name]
        for identity, stopped_at in list(self._stopped_at.items()):
            if now - stopped_at > REMOVAL_TIMEOUT_S:
                del self._stopped_at[identity]
        return silent

    def get(self, host: str) -> MemberRecord | None:
        """Return the record of a host, or None if the table has none.

        :param host: its name.
        """
        return self._records.get(host)

    def records(self) -> list[MemberRecord]:
        """Return the records of all other hosts, failed ones included."""
        return list(self._records.values())

    def live_records(self, now: float) -> list[MemberRecord]:
        """Return the records of the other hosts whose last message is recent enough.

        :param now: seconds on the event loop's clock.
        """
        return [
            record
            for record in self._records.values()
            if record.has_been_seen and now - record.last_seen_at <= HEARTBEAT_TIMEOUT_S
        ]

    def names(self) -> list[str]:
        """Return the sorted names of all known hosts, this one included."""
        return sorted([self.own.host, *self._records])


def merge_tables(
    previous: Mapping[str, Any], received: Mapping[str, Any], is_complete: bool
) -> Mapping[str, Any]:
    """Return a table of which a message carried all entries or those that changed.

    :returns: the previous table itself if no entry changed, so that what was derived
        from it remains valid.
    """
    if is_complete:
        return previous if received == previous else received
    if received.items() <= previous.items():
        return previous
    return {**previous, **received}


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
        forwarding_port=heartbeat.forwarding_port,
        lease_port=heartbeat.lease_port,
    )
