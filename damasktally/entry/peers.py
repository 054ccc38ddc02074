"""Exchange heartbeats with the other hosts, and pass state on.

Heartbeats are datagrams: losing one costs nothing, and the next one replaces it.
State goes over TCP, and only from a host that has a newer revision.
"""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    get_running_loop,
    open_connection,
    start_server,
    timeout,
)
from collections.abc import Callable
from typing import Any

import msgspec

from damasktally.events import emit
from damasktally.events.catalogue import PEER_LOST, PEER_REGAINED, RELAY_FAILED
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.view import FleetView, Topic

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
RELAY_TIMEOUT_S = 1.5
RELAY_DELAY_S = 0.6
"""How long the store may take to deliver what a peer has already."""

RELAY_ERRORS = (
    OSError,
    TimeoutError,
    IncompleteReadError,
    ValueError,
    msgspec.MsgspecError,
)


class StateAnswer(msgspec.Struct):
    """Hold a topic's stored objects as of a revision."""

    revision: int
    specs: dict[str, Any]


class PeerNetwork(DatagramProtocol):
    """Send and receive heartbeats; ask peers for state that is newer.

    :param members: the table of hosts.
    :param view: what is passed on, and brought up to date.
    :param describe: returns this host's heartbeat.
    :param confirmed: called with a topic that a peer brought up to date.
    """

    def __init__(
        self,
        members: MemberTable,
        view: FleetView,
        describe: Callable[[], Heartbeat],
        confirmed: Callable[[Topic], None],
    ) -> None:
        self._members = members
        self._view = view
        self._describe = describe
        self._confirmed = confirmed
        self._loop = get_running_loop()
        self._transport: DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._behind: dict[Topic, float] = {}
        self._asking: set[Topic] = set()
        self._tasks: set = set()
        self._alive: set[str] = set()
        self._server = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen for datagrams and for questions."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await start_server(self._answer, *address)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()
        for task in self._tasks:
            task.cancel()

    def connection_made(self, transport: DatagramTransport) -> None:
        """Take the transport."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore a host that does not listen: its silence is noticed anyway."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a heartbeat."""
        try:
            beat = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            emit(RELAY_FAILED, peer=addr[0], reason=f"unreadable heartbeat: {exc}")
            return
        if self._members.hear(beat, self._loop.time()):
            self._send_to((beat.peer_host, beat.peer_port), self._encode())

    def send_heartbeats(self, seeds: list[tuple[str, int]]) -> None:
        """Tell every known host, and the seeds while no host is known."""
        data = self._encode()
        targets = {record.member.peer_address for record in self._members.records()}
        if not targets:
            targets = set(seeds) - {self._members.own.peer_address}
        for address in targets:
            self._send_to(address, data)

    def _encode(self) -> bytes:
        return msgspec.msgpack.encode(self._describe())

    def _send_to(self, address: tuple[str, int], data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def note_changes(self, now: float) -> None:
        """Log hosts whose heartbeats stopped or came back."""
        heard = {record.member.host for record in self._members.heard(now)}
        for host in sorted(self._alive - heard):
            emit(PEER_LOST, peer=host, hosts_heard=len(heard))
        for host in sorted(heard - self._alive):
            emit(PEER_REGAINED, peer=host, hosts_heard=len(heard))
        self._alive = heard

    def catch_up(self, now: float) -> None:
        """Ask the peer with the newest revision where this host stays behind."""
        heard = self._members.heard(now)
        for topic in Topic:
            best = max(
                heard,
                key=lambda record: record.revisions.get(topic.value, 0),
                default=None,
            )
            newest = best.revisions.get(topic.value, 0) if best else 0
            if newest <= self._view.revisions[topic]:
                self._behind.pop(topic, None)
                continue
            since = self._behind.setdefault(topic, now)
            if now - since >= RELAY_DELAY_S and topic not in self._asking:
                self._ask_later(topic, best.member.host, best.member.peer_address)

    def _ask_later(self, topic: Topic, host: str, address: tuple[str, int]) -> None:
        self._asking.add(topic)
        task = create_task(self._ask(topic, host, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, topic: Topic, host: str, address: tuple[str, int]) -> None:
        try:
            async with timeout(RELAY_TIMEOUT_S):
                answer = await _question(address, topic)
        except RELAY_ERRORS as exc:
            emit(RELAY_FAILED, peer=host, topic=topic.value, reason=repr(exc))
            return
        finally:
            self._asking.discard(topic)
        now = self._loop.time()
        if self._view.replace(topic, answer.revision, answer.specs, host, now):
            self._confirmed(topic)

    async def _answer(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            async with timeout(RELAY_TIMEOUT_S):
                topic = Topic((await _read_frame(reader)).decode())
                revision, specs = self._view.snapshot(topic)
                answer = StateAnswer(revision, dict(specs))
                _write_frame(writer, msgspec.msgpack.encode(answer))
                await writer.drain()
        except RELAY_ERRORS as exc:
            emit(RELAY_FAILED, peer="unknown", reason=repr(exc))
        finally:
            writer.close()


async def _question(address: tuple[str, int], topic: Topic) -> StateAnswer:
    reader, writer = await open_connection(*address)
    try:
        _write_frame(writer, topic.value.encode())
        return msgspec.msgpack.decode(await _read_frame(reader), type=StateAnswer)
    finally:
        writer.close()


async def _read_frame(reader: StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {length} bytes is too long")
    return await reader.readexactly(length)


def _write_frame(writer: StreamWriter, data: bytes) -> None:
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
