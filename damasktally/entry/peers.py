"""Exchange heartbeats and summaries with the other hosts.

They are datagrams: losing one costs nothing, and the next one replaces it.
"""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    TimerHandle,
    get_running_loop,
)
from collections.abc import Callable
from math import inf

import msgspec

from damasktally.entry.message_builder import FleetMessageBuilder
from damasktally.entry.state_transfer import StateTransfer
from damasktally.entry.topology import Address, FleetTopology
from damasktally.events import emit
from damasktally.events.catalogue import PEER_LOST, PEER_REGAINED, RELAY_FAILED
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.summaries import (
    WHOLE_FLEET,
    RelaySummary,
    SummaryTable,
    members_in_data_centre,
)
from damasktally.fleet.topics import revisions_by_topic

ANNOUNCE_DELAY_S = 0.02
"""Changes that come within this long are told together."""

MIN_URGENT_INTERVAL_S = 0.05
ROUNDS_PER_STANDBY_SEND = 4
"""Messages from and to a second relay are sent every so many turns."""


class PeerNetwork(DatagramProtocol):
    """Send and receive heartbeats and summaries.

    :param members: the hosts that are heard.
    :param parts: what relays tell of the others.
    :param shape: tells whom to address.
    :param exchange: fills the messages.
    :param transfer: told about revisions that peers have.
    :param counts_came: called when a relay passed on what all hosts admitted.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
        topology: FleetTopology,
        message_builder: FleetMessageBuilder,
        transfer: StateTransfer,
        on_counts_received: Callable[[], None],
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._topology = topology
        self._message_builder = message_builder
        self._transfer = transfer
        self._on_counts_received = on_counts_received
        self._loop = get_running_loop()
        self._transport: DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | RelaySummary)
        self._live_hosts: set[str] = set()
        self._announcement: TimerHandle | None = None
        self._round = 0
        self._last_urgent_at = -inf

    async def start(self, address: tuple[str, int]) -> None:
        """Listen for datagrams."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Stop listening and sending."""
        if self._announcement is not None:
            self._announcement.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: DatagramTransport) -> None:
        """Take the transport."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore a host that does not listen: its silence is noticed anyway."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a heartbeat."""
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            emit(RELAY_FAILED, peer=addr[0], reason=f"unreadable heartbeat: {exc}")
            return
        now = self._loop.time()
        if isinstance(message, RelaySummary):
            self._handle_summary(message, now)
        else:
            self._handle_heartbeat(message, now)
        self._transfer.handle_peer_revisions(revisions_by_topic(message.revisions))

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        address = (heartbeat.peer_host, heartbeat.peer_port)
        if self._members.apply_heartbeat(heartbeat, now):
            self._topology.invalidate()
            self._send_datagram(address, self._encode_heartbeat(now, is_complete=True))
        if not heartbeat.stopped and self._needs_bootstrap(heartbeat, now):
            self._send_bootstrap_summary(address, now)
        if not self._forwards(now):
            return
        if self._message_builder.add_host_counts(heartbeat.host, heartbeat.admitted):
            self._send_urgent_summaries(now)

    def _needs_bootstrap(self, heartbeat: Heartbeat, now: float) -> bool:
        """Tell whether a host does not know whom to address.

        Heartbeats go to relays of the sender's own data centre, or to seeds.
        """
        is_remote = heartbeat.data_centre != self._members.own.data_centre
        return is_remote and not self._topology.is_full_mesh(now)

    def _send_bootstrap_summary(self, address: Address, now: float) -> None:
        """Tell a host of another data centre which hosts are near it."""
        summary = self._message_builder.build_bootstrap_summary(now)
        if summary is not None:
            self._send_datagram(address, msgspec.msgpack.encode(summary))

    def _forwards(self, now: float) -> bool:
        return not self._topology.is_full_mesh(now) and self._topology.is_relay(now)

    def _send_urgent_summaries(self, now: float) -> None:
        """Tell counts that grow fast, though not more often than is of use."""
        if now - self._last_urgent_at >= MIN_URGENT_INTERVAL_S:
            self._last_urgent_at = now
            self._send_summaries(now)

    def _handle_summary(self, summary: RelaySummary, now: float) -> None:
        if self._summaries.apply_summary(summary, now):
            self._topology.invalidate()
        if summary.scope != WHOLE_FLEET:
            if summary.scope != self._members.own.data_centre and self._forwards(now):
                if self._message_builder.add_data_centre_counts(
                    summary.scope, summary.admitted, now
                ):
                    self._send_fleet_summary(now)
            return
        record = self._summaries.whole_fleet(now)
        for member in members_in_data_centre(record, self._members.own.data_centre):
            if member.host == summary.relay:
                self._members.apply_relay_summary(
                    member,
                    revisions_by_topic(summary.revisions),
                    summary.store_age_s,
                    now,
                )
        if not self._topology.should_follow_store(now):
            self._on_counts_received()

    def send_due_messages(self, seeds: list[Address]) -> None:
        """Send what is due to every peer.

        :param seeds: addressed as long as no other host is known.
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
            # Nobody near is known yet, and seeds know who is.
            for address in seeds:
                self._send_datagram(address, data)

    def _send_summaries(self, now: float) -> None:
        data = msgspec.msgpack.encode(
            self._message_builder.build_data_centre_summary(now)
        )
        for addresses in self._topology.remote_relay_addresses(now):
            for rank, address in enumerate(addresses):
                if rank == 0 or self._is_standby_round():
                    self._send_datagram(address, data)
        self._send_fleet_summary(now)

    def _send_fleet_summary(self, now: float) -> None:
        data = msgspec.msgpack.encode(self._message_builder.build_fleet_summary(now))
        for record in self._topology.local_records():
            self._send_datagram(record.member.peer_address, data)

    def _is_primary_relay(self, now: float) -> bool:
        return self._topology.relays(now)[0] == self._members.own

    def _is_standby_round(self) -> bool:
        """Tell whether messages from and to second relays are due, too.

        They are rarer, and keep the second relay ready to take over.
        """
        return self._round % ROUNDS_PER_STANDBY_SEND == 0

    def announce_view_change(self) -> None:
        """Let the hosts that rely on this one know at once that the view changed."""
        if self._announcement is None and self._forwards(self._loop.time()):
            self._announcement = self._loop.call_later(
                ANNOUNCE_DELAY_S, self._send_announcement
            )

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
        """Log hosts whose heartbeats stopped or came back."""
        live_hosts = {record.member.host for record in self._members.live_records(now)}
        for host in sorted(self._live_hosts - live_hosts):
            emit(PEER_LOST, peer=host, hosts_heard=len(live_hosts))
        for host in sorted(live_hosts - self._live_hosts):
            emit(PEER_REGAINED, peer=host, hosts_heard=len(live_hosts))
        self._live_hosts = live_hosts
