"""Exchange lease messages with the other hosts over UDP.

A lost datagram needs no retransmission here: hosts ask again, and leases expire.
"""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable
from functools import partial

import msgspec

from damasktally.entry.leases.client import lease_address
from damasktally.entry.leases.messages import LeaseEnd, LeaseReply, LeaseRequest
from damasktally.entry.listening import bind_port
from damasktally.entry.metrics import EntryMetrics
from damasktally.errors import DECODING_ERRORS
from damasktally.fleet.model import Member

UNDECODABLE = "undecodable"
UNEXPECTED_REPLY = "unexpected-reply"
"""Labels of the metric of dropped messages."""

Address = tuple[str, int]
"""Host name or IP address, and port."""


class LeaseEndpoint(DatagramProtocol):
    """Send and receive lease messages.

    :param own: this host. Messages to itself are handled without the network.
    :param on_request: receives a request and a function that sends the reply.
    :param on_end: receives the notice of the end of a lease.
    :param on_reply: receives a reply and its sender; returns whether it was expected.
    """

    def __init__(
        self,
        own: Member,
        on_request: Callable[[LeaseRequest, Callable[[LeaseReply], None]], None],
        on_end: Callable[[LeaseEnd], None],
        on_reply: Callable[[LeaseReply, Address], bool],
        metrics: EntryMetrics,
    ) -> None:
        self._own_address = lease_address(own)
        self._on_request = on_request
        self._on_end = on_end
        self._on_reply = on_reply
        self._metrics = metrics
        self._transport: DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(LeaseRequest | LeaseReply | LeaseEnd)
        self._encoder = msgspec.msgpack.Encoder()

    async def start(self, address: Address) -> None:
        """Listen for datagrams.

        :param address: host and port to bind.
        """
        loop = get_running_loop()
        bind = partial(loop.create_datagram_endpoint, lambda: self, local_addr=address)
        await bind_port(bind, address)

    def close(self) -> None:
        """Stop listening and sending."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: DatagramTransport) -> None:
        """Store the transport through which datagrams are sent."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore errors of sending; a missing reply reveals a manager that is down."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a message; one that cannot be decoded is counted and dropped."""
        try:
            message = self._decoder.decode(data)
        except DECODING_ERRORS:
            self._count_dropped(UNDECODABLE)
            return
        self._handle(message, addr[:2])

    def send_to(self, member: Member, message: LeaseRequest | LeaseEnd) -> None:
        """Send a message to a host."""
        self._send(message, lease_address(member))

    def _handle(
        self, message: LeaseRequest | LeaseReply | LeaseEnd, address: Address
    ) -> None:
        if isinstance(message, LeaseRequest):
            self._on_request(message, lambda reply: self._send(reply, address))
        elif isinstance(message, LeaseEnd):
            self._on_end(message)
        elif not self._on_reply(message, address):
            self._count_dropped(UNEXPECTED_REPLY)

    def _send(
        self, message: LeaseRequest | LeaseReply | LeaseEnd, address: Address
    ) -> None:
        if address == self._own_address:
            self._handle(message, address)
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(self._encoder.encode(message), address)

    def _count_dropped(self, cause: str) -> None:
        self._metrics.lease_messages_dropped.labels(cause).inc()
