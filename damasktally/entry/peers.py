"""Exchange heartbeats and summaries with the other hosts over UDP.

A lost datagram needs no retransmission, because the next message replaces it.
"""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    TimerHandle,
    get_running_loop,
)
from collections.abc import Callable
from functools import partial
from math import inf

import msgspec

from damasktally.entry.listening import bind_port
from damasktally.entry.message_builder import FleetMessageBuilder
from damasktally.entry.peer_reports import PeerReports
from damasktally.entry.state_transfer import StateTransfer
from damasktally.entry.store_topology import StoreTopology
from damasktally.entry.topology import Address, FleetTopology
from damasktally.errors import DECODING_ERRORS
from damasktally.events import emit
from damasktally.events.catalogue import PEER_LOST, PEER_REGAINED, RELAY_FAILED
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    RelaySummary,
    SummaryRecord,
    SummaryTable,
)
from damasktally.fleet.topics import revisions_by_topic

ANNOUNCE_DELAY_S = 0.02
"""View changes within this long are announced by one summary."""

MIN_URGENT_INTERVAL_S = 0.05
"""Shortest time between two rounds of urgent summaries."""
HEARTBEATS_PER_BOOTSTRAP = 5
"""A host that takes this one for a relay gets one list in this many heartbeats."""
ROUNDS_PER_STANDBY_SEND = 4
"""A standby relay sends and receives messages in one round of this many."""


class PeerProtocol(DatagramProtocol):
    """Send and receive heartbeats and summaries.

    :param members: table of the hosts that send heartbeats to this one.
    :param summaries: the last summary of each relay.
    :param topology: determines the receivers of messages.
    :param store_topology: is told which relays lost the store.
    :param message_builder: builds the messages.
    :param transfer: notified of the revisions that a peer has.
    :param reports: receives what peers report of servers and requests.
    :param on_counts_received: called with the record of the primary relay when its
        summary brought the counts of all hosts, and with the time.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
        topology: FleetTopology,
        store_topology: StoreTopology,
        message_builder: FleetMessageBuilder,
        transfer: StateTransfer,
        reports: PeerReports,
        on_counts_received: Callable[[SummaryRecord, float], None],
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._topology = topology
        self._store_topology = store_topology
        self._message_builder = message_builder
        self._transfer = transfer
        self._reports = reports
        self._on_counts_received = on_counts_received
        self._loop = get_running_loop()
        self._transport: DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | RelaySummary)
        self._live_hosts: set[str] = set()
        self._announcement: TimerHandle | None = None
        self._round = 0
        self._last_urgent_at = -inf

    async def start(self, address: tuple[str, int]) -> None:
        """Listen for datagrams.

        :param address: host and port to bind.
        """
        bind = partial(
            self._loop.create_datagram_endpoint, lambda: self, local_addr=address
        )
        await bind_port(bind, address)

    def close(self) -> None:
        """Stop listening and sending."""
        if self._announcement is not None:
            self._announcement.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: DatagramTransport) -> None:
        """Store the transport through which datagrams are sent."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore errors of sending; missing heartbeats reveal a host that is down."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a heartbeat or a summary; log a message that cannot be decoded."""
        try:
            message = self._decoder.decode(data)
        except DECODING_ERRORS as exc:
            emit(RELAY_FAILED, peer=addr[0], reason=f"cannot decode message: {exc}")
            return
        now = self._loop.time()
        if isinstance(message, RelaySummary):
            self._handle_summary(message, now)
        else:
            self._handle_heartbeat(message, now)
        self._transfer.handle_peer_revisions(revisions_by_topic(message.revisions))

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        address = (heartbeat.peer_host, heartbeat.peer_port)
        is_new = self._members.apply_heartbeat(heartbeat, now)
        self._reports.record_heartbeat(heartbeat)
        if is_new:
            self._topology.invalidate()
            self._send_datagram(address, self._encode_heartbeat(now, is_complete=True))
        is_reply_due = is_new or heartbeat.sequence % HEARTBEATS_PER_BOOTSTRAP == 0
        if self._is_remote(heartbeat) or is_reply_due:
            if not heartbeat.stopped and self._needs_bootstrap(heartbeat, now):
                self._send_bootstrap_summary(address, now)
        if not self._is_active_relay(now):
            return
        if self._message_builder.add_host_counts(heartbeat, now):
            self._send_urgent_summaries(now)

    def _is_remote(self, heartbeat: Heartbeat) -> bool:
        return heartbeat.data_centre != self._members.own.data_centre

    def _needs_bootstrap(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether a host does not know the relays of its data centre yet.

        In a large fleet, heartbeats go to relays of the sender's own data centre. A
        sender elsewhere used this host as a seed. One of this data centre takes this
        host for a relay, as it knows only some of the hosts here.
        """
        if self._topology.is_full_mesh(now):
            return False
        return self._is_remote(heartbeat) or not self._topology.is_relay(now)

    def _send_bootstrap_summary(self, address: Address, now: float) -> None:
        """Send a host the list of hosts, among them those of its data centre."""
        summary = self._message_builder.build_bootstrap_summary(now)
        if summary is not None:
            self._send_datagram(address, msgspec.msgpack.encode(summary))

    def _is_active_relay(self, now: float) -> bool:
        """Return whether this host is a relay of a large fleet."""
        return not self._topology.is_full_mesh(now) and self._topology.is_relay(now)

    def _send_urgent_summaries(self, now: float) -> None:
        """Send summaries now, at most once in :data:`MIN_URGENT_INTERVAL_S`."""
        if now - self._last_urgent_at >= MIN_URGENT_INTERVAL_S:
            self._last_urgent_at = now
            self._send_summaries(now)

    def _handle_summary(self, summary: RelaySummary, now: float) -> None:
        if self._summaries.apply_summary(summary, now):
            self._topology.invalidate()
        if summary.has_lost_store:
            self._store_topology.invalidate()
        self._reports.record_summary(summary, self._topology.is_relay(now))
        if summary.scope != WHOLE_FLEET:
            if summary.scope != self._members.own.data_centre and self._is_active_relay(
                now
            ):
                if self._message_builder.add_data_centre_counts(
                    summary.scope, summary.admitted, now
                ):
                    self._send_fleet_summary(now)
            return
        record = self._summaries.whole_fleet(now)
        own_data_centre = self._members.own.data_centre
        for member in self._summaries.members_listed_by(record, own_data_centre):
            if member.host == summary.relay:
                self._members.apply_relay_summary(
                    member,
                    revisions_by_topic(summary.revisions),
                    summary.store_age_s,
                    now,
                    summary.has_lost_store,
                    summary.is_store_unavailable,
                )
        # The counts of a standby only set a baseline, which can wait for an update.
        if record.summary is summary and not self._store_topology.should_follow_store(
            now
        ):
            self._on_counts_received(record, now)

    def send_due_messages(self, seeds: list[Address]) -> None:
        """Send the messages of one round.

        :param seeds: addresses that are used as long as no other host is known.
        """
        now = self._loop.time()
        self._round += 1
        if self._topology.is_full_mesh(now):
            self._send_to_all(now, seeds)
            return
        self._send_to_relays(now, seeds)
        if self._topology.is_relay(now):
            self._message_builder.update_totals(now)
            if self._is_primary_relay(now) or self._is_standby_round():
                self._send_summaries(now)

    def _send_to_all(self, now: float, seeds: list[Address]) -> None:
        targets = {record.member.peer_address for record in self._members.records()}
        if not targets:
            targets = set(seeds) - {self._members.own.peer_address}
        data = self._encode_heartbeat(now)
        for address in targets:
            self._send_datagram(address, data)

    def _send_to_relays(self, now: float, seeds: list[Address]) -> None:
        data = self._encode_heartbeat(now)
        relays = self._topology.relays(now)
        self._members.expect_replies(relays, now)
        for rank, member in enumerate(relays):
            if member == self._members.own:
                continue
            if rank == 0 or self._is_standby_round():
                self._send_datagram(member.peer_address, data)
        if len(relays) == 1 and not self._summaries.live_records(now):
            # No other host here is known yet; a seed replies with the list of them.
            for address in seeds:
                self._send_datagram(address, data)

    def _send_summaries(self, now: float) -> None:
        data = self._encode_data_centre_summary(now)
        for addresses in self._topology.remote_relay_addresses(now):
            for rank, address in enumerate(addresses):
                if rank == 0 or self._is_standby_round():
                    self._send_datagram(address, data)
        self._send_fleet_summary(now)

    def _encode_data_centre_summary(self, now: float) -> bytes:
        return msgspec.msgpack.encode(
            self._message_builder.build_data_centre_summary(now)
        )

    def _send_fleet_summary(self, now: float) -> None:
        data = msgspec.msgpack.encode(self._message_builder.build_fleet_summary(now))
        for record in self._topology.local_records():
            self._send_datagram(record.member.peer_address, data)

    def _is_primary_relay(self, now: float) -> bool:
        return self._topology.relays(now)[0] == self._members.own

    def _is_standby_round(self) -> bool:
        """Return whether messages from and to standby relays are due in this round.

        They are sent less often and keep the standby ready to take over.
        """
        return self._round % ROUNDS_PER_STANDBY_SEND == 0

    def announce_view_change(self) -> None:
        """Send the new revisions soon to the hosts that rely on this relay."""
        if self._announcement is None and self._is_active_relay(self._loop.time()):
            self._announcement = self._loop.call_later(
                ANNOUNCE_DELAY_S, self._send_announcement
            )

    def announce_store_loss(self) -> None:
        """Tell all relays at once that this one does not reach the store any more."""
        self._store_topology.invalidate()
        now = self._loop.time()
        if not self._is_active_relay(now):
            return
        data = self._encode_data_centre_summary(now)
        for addresses in self._topology.remote_relay_addresses(now):
            for address in addresses:
                self._send_datagram(address, data)
        self._send_fleet_summary(now)

    def _send_announcement(self) -> None:
        self._announcement = None
        self._send_fleet_summary(self._loop.time())

    def _encode_heartbeat(self, now: float, is_complete: bool = False) -> bytes:
        return msgspec.msgpack.encode(
            self._message_builder.build_heartbeat(now, is_complete)
        )

    def _send_datagram(self, address: tuple[str, int], data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def log_liveness_changes(self, now: float) -> None:
        """Log hosts whose heartbeats began or stopped, since the previous call.

        A host that sends none any more is not lost as long as a relay lists it: hosts
        send to others once the topology has changed.
        """
        live_hosts = {record.member.host for record in self._members.live_records(now)}
        if live_hosts == self._live_hosts:
            return
        silent_hosts = self._live_hosts - live_hosts
        # Listing the hosts of all summaries is expensive, and seldom needed.
        listed_hosts = self._summaries.listed_hosts(now) if silent_hosts else set()
        for host in sorted(silent_hosts - listed_hosts):
            emit(PEER_LOST, peer=host, hosts_heard=len(live_hosts))
        for host in sorted(live_hosts - self._live_hosts):
            emit(PEER_REGAINED, peer=host, hosts_heard=len(live_hosts))
        self._live_hosts = live_hosts | (silent_hosts & listed_hosts)
