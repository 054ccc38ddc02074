"""Summaries that relays send, and the table of the latest ones.

In a large fleet, hosts do not send heartbeats to hosts of other data centres. Instead,
the relays of each data centre summarise its hosts for the relays of the others, and
each relay summarises the whole fleet for the hosts of its own data centre.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgspec

from damasktally.fleet.crash_reports import CrashReport
from damasktally.fleet.members import (
    HEARTBEAT_TIMEOUT_S,
    REMOVAL_TIMEOUT_S,
    merge_tables,
)
from damasktally.fleet.model import Member, ReadyHost
from damasktally.fleet.server_limits import ServerLimitReport
from damasktally.fleet.server_loads import ServerLoadReport
from damasktally.fleet.topics import Topic, revisions_by_topic


class HostSummary(msgspec.Struct, frozen=True, array_like=True):
    """Compact description of a host, as part of a summary.

    The last fields are those of :class:`~damasktally.fleet.members.Heartbeat`.
    """

    host: str
    started_ms: int
    caller_address: str
    peer_host: str
    peer_port: int
    ready: bool
    capacity: float
    forwarding_port: int = 0
    unreachable_services: tuple[str, ...] = ()
    lease_port: int = 0

    def member_in(self, listing: "DataCentreHosts") -> Member:
        """Return the host as a member of the data centre that lists it."""
        return Member(
            host=self.host,
            started_ms=self.started_ms,
            region=listing.region,
            data_centre=listing.data_centre,
            caller_address=self.caller_address,
            peer_address=(self.peer_host, self.peer_port),
            capacity=self.capacity,
            forwarding_port=self.forwarding_port,
            lease_port=self.lease_port,
        )


class DataCentreHosts(msgspec.Struct, frozen=True, array_like=True):
    """Live hosts of one data centre, those with the largest capacity first."""

    region: str
    data_centre: str
    hosts: list[HostSummary]


class RelaySummary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Summary of the hosts of one data centre, or of the whole fleet, by a relay.

    Fields are identified by their position on the wire. New fields go to the end and
    need a default, so that hosts of different versions can decode them.

    :param relay: name of the sending host.
    :param started_ms: Unix time of the start of its process in milliseconds.
    :param sequence: number of the message, which grows with each one of a process.
    :param scope: the data centre that is summarised, or :data:`WHOLE_FLEET`.
    :param data_centre_hosts: the live hosts; None if they are the same as in the
        summary before.
    :param live_host_count: number of live hosts, which may be larger than the number
        of hosts in ``data_centre_hosts``.
    :param silent_host_count: number of known hosts whose messages stopped.
    :param revisions: revision of each topic at the relay, in the order of
        :class:`~damasktally.fleet.topics.Topic`.
    :param demand: requests a second of each customer at these hosts.
    :param admitted: number of requests of each customer that these hosts admitted, as
        a total that the relay has added up since its start.
    :param is_complete: whether ``demand`` and ``admitted`` name every customer;
        otherwise they name only those whose values changed.
    :param store_age_s: seconds since the relay, or a host from which it gets changes,
        last reached the store.
    :param included_heartbeats: for each host whose heartbeats the relay receives, the
        sequence number of the last heartbeat that is part of the totals.
    :param server_limits: rate limits that servers named in responses to these hosts.
    :param crash_reports: requests under which servers ended, as far as the relay knows.
    :param leaving_servers: id and start of server processes that said that they leave.
    :param server_loads: loads of busy servers, from responses to these hosts.
    :param has_lost_store: whether the relay called the store lately and did not reach
        it, or got its response late.
    :param is_store_unavailable: whether the relay's calls show that the store is
        unavailable, rather than slow.
    """

    relay: str
    started_ms: int
    sequence: int
    peer_host: str
    peer_port: int
    scope: str
    data_centre_hosts: list[DataCentreHosts] | None
    live_host_count: int
    silent_host_count: int
    revisions: tuple[int, ...]
    demand: dict[str, float]
    admitted: dict[str, int]
    is_complete: bool
    store_age_s: float
    included_heartbeats: dict[str, int]
    server_limits: tuple[ServerLimitReport, ...] = ()
    crash_reports: tuple[CrashReport, ...] = ()
    leaving_servers: tuple[tuple[str, int], ...] = ()
    server_loads: tuple[ServerLoadReport, ...] = ()
    has_lost_store: bool = False
    is_store_unavailable: bool = False


LISTING_LIFETIME_S = 8.0
"""A list of hosts counts for this long after the last summary of its relay."""
WHOLE_FLEET = ""
"""Scope of a summary of all hosts, its receiver included."""


@dataclass(slots=True)
class SummaryRecord:
    """Latest summary of one relay, merged with its earlier ones.

    :param summary: the latest summary as received.
    :param data_centre_hosts: the live hosts that it lists; if it lists none, those of
        the summary before.
    :param demand: requests a second of every customer.
    :param admitted: number of admitted requests of every customer.
    :param received_at: when it arrived, in seconds on the event loop's clock.
    :param revisions: revision of each topic at the relay.
    """

    summary: RelaySummary
    data_centre_hosts: list[DataCentreHosts]
    demand: Mapping[str, float]
    admitted: Mapping[str, int]
    received_at: float
    revisions: Mapping[Topic, int]

    @property
    def identity(self) -> tuple[str, int]:
        """Return the relay's name and start time, which identify its process."""
        return self.summary.relay, self.summary.started_ms

    @property
    def host_count(self) -> int:
        """Return the number of hosts that it counts, silent ones included."""
        return self.summary.live_host_count + self.summary.silent_host_count

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port at which other hosts reach the relay."""
        return self.summary.peer_host, self.summary.peer_port


class SummaryTable:
    """Latest summaries by scope and relay, with one primary relay for each scope.

    The two relays of a data centre report the same counts. They are read from one of
    them, the primary, until its summaries stop.
    """

    def __init__(self) -> None:
        self._records: dict[str, dict[str, SummaryRecord]] = {}
        self._primary_relays: dict[str, str] = {}
        self._listed_members: dict[
            tuple[str, str], tuple[list[DataCentreHosts], list[Member]]
        ] = {}
        self._all_members: dict[
            tuple[str, str], tuple[list[DataCentreHosts], list[Member]]
        ] = {}

    def apply_summary(self, summary: RelaySummary, now: float) -> bool:
        """Store a summary, unless a newer one of the same relay was stored before.

        :param now: seconds on the event loop's clock.
        :returns: whether it is the first one of its relay for this scope.
        """
        relays = self._records.setdefault(summary.scope, {})
        previous = relays.get(summary.relay)
        same_incarnation = (
            previous is not None and summary.started_ms == previous.identity[1]
        )
        if previous is not None and not _is_newer(summary, previous.summary):
            return False
        hosts, demand, admitted = (
            summary.data_centre_hosts,
            summary.demand,
            summary.admitted,
        )
        if same_incarnation:
            if hosts is None or hosts == previous.data_centre_hosts:
                # What is derived from a list is kept as long as it is the same object.
                hosts = previous.data_centre_hosts
            is_complete = summary.is_complete
            demand = merge_tables(previous.demand, demand, is_complete)
            admitted = merge_tables(previous.admitted, admitted, is_complete)
        revisions = revisions_by_topic(summary.revisions)
        relays[summary.relay] = SummaryRecord(
            summary, hosts or [], demand, admitted, now, revisions
        )
        return previous is None

    def primary(self, scope: str, now: float) -> SummaryRecord | None:
        """Return the record of the primary relay of a scope.

        The primary relay is kept until it has sent nothing for
        :data:`~damasktally.fleet.members.HEARTBEAT_TIMEOUT_S`. Then the relay with the
        most recent summary takes its place, which may have failed, too.

        :param scope: a data centre, or :data:`WHOLE_FLEET`.
        :param now: seconds on the event loop's clock.
        :returns: the record, or None if no relay sent a summary of this scope.
        """
        relays = self._records.get(scope)
        if not relays:
            return None
        record = relays.get(self._primary_relays.get(scope, ""))
        if record is None or now - record.received_at > HEARTBEAT_TIMEOUT_S:
            record = max(relays.values(), key=lambda item: item.received_at)
            self._primary_relays[scope] = record.summary.relay
        return record

    def standbys(self, scope: str) -> Iterator[SummaryRecord]:
        """Return the records of the relays of a scope that are not its primary."""
        primary_relay = self._primary_relays.get(scope)
        relays = self._records.get(scope, {})
        return (record for name, record in relays.items() if name != primary_relay)

    def data_centres(self) -> list[str]:
        """Return the data centres of which the table has a summary."""
        return [scope for scope in self._records if scope != WHOLE_FLEET]

    def whole_fleet(self, now: float) -> SummaryRecord | None:
        """Return the primary relay's record of the whole fleet, or None.

        :param now: seconds on the event loop's clock.
        """
        return self.primary(WHOLE_FLEET, now)

    def latest_fleet_record(self, now: float) -> SummaryRecord | None:
        """Return the newest record of the whole fleet, or None if all are old.

        :param now: seconds on the event loop's clock.
        """
        records = self._records.get(WHOLE_FLEET, {}).values()
        newest = max(records, key=lambda item: item.received_at, default=None)
        if newest is None or now - newest.received_at > LISTING_LIFETIME_S:
            return None
        return newest

    def recently_listed_hosts(self, data_centre: str, now: float) -> list[Member]:
        """Return the hosts of a data centre that any relay listed lately.

        A relay that has just become one lists few hosts in its first summaries.

        :param now: seconds on the event loop's clock.
        """
        found: dict[str, Member] = {}
        for record in self._records.get(WHOLE_FLEET, {}).values():
            if now - record.received_at <= LISTING_LIFETIME_S:
                for item in self.members_listed_by(record, data_centre):
                    known = found.setdefault(item.host, item)
                    if known.started_ms < item.started_ms:
                        found[item.host] = item
        return list(found.values())

    def members_listed_by(
        self, record: SummaryRecord, data_centre: str
    ) -> list[Member]:
        """Return the hosts of a data centre in a record, built once for each list.

        :param record: a record of the whole fleet.
        """
        key = (record.summary.relay, data_centre)
        cached = self._listed_members.get(key)
        if cached is None or cached[0] is not record.data_centre_hosts:
            members = members_in_data_centre(record, data_centre)
            cached = self._listed_members[key] = (record.data_centre_hosts, members)
        return cached[1]

    def all_members_of(self, record: SummaryRecord) -> list[Member]:
        """Return all hosts that a record lists, built once for each list."""
        key = (record.summary.relay, record.summary.scope)
        cached = self._all_members.get(key)
        if cached is None or cached[0] is not record.data_centre_hosts:
            members = list(listed_members(record.data_centre_hosts))
            cached = self._all_members[key] = (record.data_centre_hosts, members)
        return cached[1]

    def live_records(self, now: float) -> list[SummaryRecord]:
        """Return the records of all scopes whose last summary is recent enough.

        :param now: seconds on the event loop's clock.
        """
        return [
            record
            for relays in self._records.values()
            for record in relays.values()
            if now - record.received_at <= HEARTBEAT_TIMEOUT_S
        ]

    def listed_hosts(self, now: float) -> set[str]:
        """Return the names of the hosts that live relays list as alive.

        :param now: seconds on the event loop's clock.
        """
        return {
            member.host
            for record in self.live_records(now)
            for member in self.all_members_of(record)
        }

    def remove_silent(self, now: float) -> None:
        """Remove the relays that sent nothing for too long.

        The bound is :data:`~damasktally.fleet.members.REMOVAL_TIMEOUT_S`.

        :param now: seconds on the event loop's clock.
        """
        for scope, relays in list(self._records.items()):
            for name in [
                n for n, r in relays.items() if now - r.received_at > REMOVAL_TIMEOUT_S
            ]:
                del relays[name]
                self._forget_members(name)
            if not relays:
                del self._records[scope]

    def _forget_members(self, relay: str) -> None:
        for table in (self._listed_members, self._all_members):
            for key in [key for key in table if key[0] == relay]:
                del table[key]


def _is_newer(summary: RelaySummary, previous: RelaySummary) -> bool:
    return (summary.started_ms, summary.sequence) > (
        previous.started_ms,
        previous.sequence,
    )


def members_in_data_centre(record: SummaryRecord, data_centre: str) -> list[Member]:
    """Return the hosts of one data centre that a summary lists, ready or not."""
    found = [
        item for item in record.data_centre_hosts if item.data_centre == data_centre
    ]
    return list(listed_members(found))


def listed_members(data_centre_hosts: Iterable[DataCentreHosts]) -> Iterator[Member]:
    """Yield the listed hosts as members, ready or not."""
    for listing in data_centre_hosts:
        for summary in listing.hosts:
            yield summary.member_in(listing)


def listed_ready_hosts(
    data_centre_hosts: Iterable[DataCentreHosts],
) -> Iterator[ReadyHost]:
    """Yield the listed hosts to which callers may be sent."""
    for listing in data_centre_hosts:
        for summary in listing.hosts:
            if summary.ready:
                member = summary.member_in(listing)
                yield ReadyHost(member, summary.unreachable_services)
