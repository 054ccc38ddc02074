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
    TimerHandle,
    create_task,
    get_running_loop,
    open_connection,
    start_server,
    timeout,
)
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Any

import msgspec

from damasktally.entry.exchange import FleetExchange
from damasktally.entry.shape import Address, FleetShape
from damasktally.events import emit
from damasktally.events.catalogue import PEER_LOST, PEER_REGAINED, RELAY_FAILED
from damasktally.fleet.cells import WHOLE_FLEET, PartTable, Summary, hosts_of
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.view import FleetView, Topic

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
RELAY_TIMEOUT_S = 1.5
RELAY_DELAY_S = 0.6
"""How long the store may take to deliver what a peer has already."""
NEWS_DELAY_S = 0.02
"""Changes that come within this long are told together."""

URGENT_GAP_S = 0.05
STANDBY_TURN = 4
"""Messages from and to a second relay are sent every so many turns."""

RELAY_ERRORS = (
    OSError,
    TimeoutError,
    IncompleteReadError,
    ValueError,
    msgspec.MsgspecError,
)


class StateQuestion(msgspec.Struct):
    """Ask for a topic, or for what changed in it after a revision."""

    topic: str
    known: int


class StateAnswer(msgspec.Struct):
    """Hold a topic's stored objects as of a revision, or what changed up to it.

    :param specs: all objects, by name.
    :param edits: name and object of each change in order, without an object where it
        was removed; ``specs`` is left out then.
    """

    revision: int
    specs: dict[str, Any] | None = None
    edits: list[tuple[str, Any]] | None = None


@dataclass(frozen=True, slots=True)
class _Source:
    """Name a peer that can pass state on."""

    host: str
    address: tuple[str, int]
    revisions: Mapping[str, int]


class PeerNetwork(DatagramProtocol):
    """Send and receive heartbeats and summaries; ask peers for state that is newer.

    :param members: the hosts that are heard.
    :param parts: what relays tell of the others.
    :param shape: tells whom to address.
    :param view: what is passed on, and brought up to date.
    :param exchange: fills the messages.
    :param confirmed: called with a topic that a peer brought up to date.
    :param counts_came: called when a relay passed on what all hosts admitted.
    """

    def __init__(
        self,
        members: MemberTable,
        parts: PartTable,
        shape: FleetShape,
        view: FleetView,
        exchange: FleetExchange,
        confirmed: Callable[[Topic], None],
        counts_came: Callable[[], None],
        rng: Random,
    ) -> None:
        self._members = members
        self._parts = parts
        self._shape = shape
        self._view = view
        self._exchange = exchange
        self._confirmed = confirmed
        self._counts_came = counts_came
        self._rng = rng
        self._loop = get_running_loop()
        self._transport: DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | Summary)
        self._behind: dict[Topic, float] = {}
        self._asking: set[Topic] = set()
        self._tasks: set = set()
        self._alive: set[str] = set()
        self._news: TimerHandle | None = None
        self._sends = 0
        self._urgent_at = -inf
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
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            emit(RELAY_FAILED, peer=addr[0], reason=f"unreadable heartbeat: {exc}")
            return
        now = self._loop.time()
        if isinstance(message, Summary):
            self._hear_summary(message, now)
        else:
            self._hear_host(message, now)
        if not self._shape.leads(now) and self._is_behind(message.revisions):
            self.catch_up(now)

    def _hear_host(self, beat: Heartbeat, now: float) -> None:
        if self._members.hear(beat, now):
            self._shape.refresh()
            address = (beat.peer_host, beat.peer_port)
            self._send_to(address, self._encode(now, whole=True))
        if not self._passes_on(now):
            return
        if self._exchange.count_host(beat.host, beat.admitted):
            self._send_urgent(now)

    def _passes_on(self, now: float) -> bool:
        return not self._shape.direct(now) and self._shape.is_relay(now)

    def _send_urgent(self, now: float) -> None:
        """Tell counts that grow fast, though not more often than is of use."""
        if now - self._urgent_at >= URGENT_GAP_S:
            self._urgent_at = now
            self._send_summaries(now)

    def _hear_summary(self, summary: Summary, now: float) -> None:
        self._parts.hear(summary, now)
        if summary.part != WHOLE_FLEET:
            if summary.part != self._members.own.data_centre and self._passes_on(now):
                if self._exchange.count_part(summary.part, summary.admitted, now):
                    self._send_fleet_summary(now)
            return
        told = self._parts.fleet(now)
        for member in hosts_of(told, self._members.own.data_centre):
            if member.host == summary.relay:
                self._members.hear_relay(
                    member, summary.revisions, summary.store_age_s, now
                )
        if not self._shape.leads(now):
            self._counts_came()

    def _is_behind(self, revisions: Mapping[str, int]) -> bool:
        known = self._view.revisions
        return any(revisions.get(topic.value, 0) > known[topic] for topic in Topic)

    def send_all(self, seeds: list[Address]) -> None:
        """Send what is due to every peer.

        :param seeds: addressed as long as no other host is known.
        """
        now = self._loop.time()
        self._sends += 1
        if self._shape.direct(now):
            self._send_direct(now, seeds)
            return
        self._send_to_relays(now, seeds)
        if self._shape.is_relay(now):
            self._exchange.count(now)
            if self._is_first(now) or self._is_standby_turn():
                self._send_summaries(now)

    def _send_direct(self, now: float, seeds: list[Address]) -> None:
        targets = {record.member.peer_address for record in self._members.records()}
        if not targets:
            targets = set(seeds) - {self._members.own.peer_address}
        data = self._encode(now)
        for address in targets:
            self._send_to(address, data)

    def _send_to_relays(self, now: float, seeds: list[Address]) -> None:
        data = self._encode(now)
        relays = self._shape.relays(now)
        self._members.ask(relays, now)
        for place, member in enumerate(relays):
            if member == self._members.own:
                continue
            if place == 0 or self._is_standby_turn():
                self._send_to(member.peer_address, data)
        if len(relays) == 1 and not self._members.records():
            for address in seeds:
                self._send_to(address, data)

    def _send_summaries(self, now: float) -> None:
        data = msgspec.msgpack.encode(self._exchange.cell_summary(now))
        for relays in self._shape.far_relays(now):
            for place, address in enumerate(relays):
                if place == 0 or self._is_standby_turn():
                    self._send_to(address, data)
        self._send_fleet_summary(now)

    def _send_fleet_summary(self, now: float) -> None:
        data = msgspec.msgpack.encode(self._exchange.fleet_summary(now))
        for record in self._shape.near():
            self._send_to(record.member.peer_address, data)

    def _is_first(self, now: float) -> bool:
        return self._shape.relays(now)[0] == self._members.own

    def _is_standby_turn(self) -> bool:
        """Tell whether messages from and to second relays are due, too.

        They are rarer, and keep the second relay ready to take over.
        """
        return self._sends % STANDBY_TURN == 0

    def tell_news(self) -> None:
        """Let the hosts that rely on this one know at once that the view changed."""
        if self._news is None and self._passes_on(self._loop.time()):
            self._news = self._loop.call_later(NEWS_DELAY_S, self._send_news)

    def _send_news(self) -> None:
        self._news = None
        self._send_fleet_summary(self._loop.time())

    def _encode(self, now: float, whole: bool = False) -> bytes:
        return msgspec.msgpack.encode(self._exchange.heartbeat(now, whole))

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
        """Ask a peer with the newest revision where this host stays behind."""
        sources = self._sources(now)
        delay_s = RELAY_DELAY_S if self._shape.leads(now) else 0.0
        for topic in Topic:
            newest = max((s.revisions.get(topic.value, 0) for s in sources), default=0)
            if newest <= self._view.revisions[topic]:
                self._behind.pop(topic, None)
                continue
            since = self._behind.setdefault(topic, now)
            if now - since >= delay_s and topic not in self._asking:
                found = [s for s in sources if s.revisions.get(topic.value) == newest]
                self._ask_later(topic, self._rng.choice(found))

    def _sources(self, now: float) -> list[_Source]:
        """Return the peers that can be asked; those near by come alone if any can."""
        found = [
            _Source(item.member.host, item.member.peer_address, item.revisions)
            for item in self._members.heard(now)
        ]
        if self._shape.direct(now):
            return found
        relays = [
            _Source(item.summary.relay, item.address, item.summary.revisions)
            for item in self._parts.heard(now)
        ]
        return found + relays

    def _ask_later(self, topic: Topic, source: _Source) -> None:
        self._asking.add(topic)
        task = create_task(self._ask(topic, source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, topic: Topic, source: _Source) -> None:
        question = StateQuestion(topic.value, self._view.revisions[topic])
        try:
            async with timeout(RELAY_TIMEOUT_S):
                answer = await _ask_peer(source.address, question)
        except RELAY_ERRORS as exc:
            emit(RELAY_FAILED, peer=source.host, topic=topic.value, reason=repr(exc))
            return
        finally:
            self._asking.discard(topic)
        if self._take(topic, answer, source.host):
            self._confirmed(topic)

    def _take(self, topic: Topic, answer: StateAnswer, host: str) -> bool:
        now = self._loop.time()
        if answer.edits is not None:
            return self._view.apply(topic, answer.revision, answer.edits, host, now)
        specs = answer.specs or {}
        return self._view.replace(topic, answer.revision, specs, host, now)

    async def _answer(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            async with timeout(RELAY_TIMEOUT_S):
                frame = await _read_frame(reader)
                question = msgspec.msgpack.decode(frame, type=StateQuestion)
                answer = self._state_for(Topic(question.topic), question.known)
                _write_frame(writer, msgspec.msgpack.encode(answer))
                await writer.drain()
        except RELAY_ERRORS as exc:
            emit(RELAY_FAILED, peer="unknown", reason=repr(exc))
        finally:
            writer.close()

    def _state_for(self, topic: Topic, known: int) -> StateAnswer:
        revision, specs = self._view.snapshot(topic)
        edits = self._view.edits_since(topic, known) if known else None
        if edits is not None:
            return StateAnswer(revision, edits=edits)
        return StateAnswer(revision, specs=dict(specs))


async def _ask_peer(address: tuple[str, int], question: StateQuestion) -> StateAnswer:
    reader, writer = await open_connection(*address)
    try:
        _write_frame(writer, msgspec.msgpack.encode(question))
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
