"""Fetch newer state from peers over TCP, and serve state to them.

A host that is behind requests a topic from a peer with a newer revision. The response
holds only the edits since the requester's revision if the peer still has them, and the
whole topic otherwise.
"""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    get_running_loop,
    open_connection,
    start_server,
    timeout,
)
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any
from zlib import compress, decompressobj
from zlib import error as CompressionError

import msgspec

from damasktally.entry.topology import Address, FleetTopology
from damasktally.events import emit
from damasktally.events.catalogue import RELAY_FAILED
from damasktally.fleet.members import MemberTable
from damasktally.fleet.summaries import SummaryTable
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView

FRAME_HEADER_BYTES = 4
"""Size of the big-endian length that precedes each message."""
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest message that is read; a longer one ends the transfer."""
TRANSFER_TIMEOUT_S = 1.5
STORE_GRACE_S = 0.6
"""A host that follows the store waits this long for a revision that a peer has."""

MIN_COMPRESSED_BYTES = 4096
"""Shorter responses are sent as they are."""
COMPRESSION_LEVEL = 1
"""The fastest level: routes and customers look alike and compress well at any."""
MAX_KEPT_FRAMES = 6
"""Encoded responses that are kept, as many hosts request the same one."""

FrameKey = tuple[Topic, int, int]

TRANSFER_ERRORS = (
    OSError,
    TimeoutError,
    IncompleteReadError,
    ValueError,
    msgspec.MsgspecError,
)


class StateRequest(msgspec.Struct):
    """Request a topic, or its changes after a revision.

    :param topic: value of a :class:`~damasktally.fleet.topics.Topic`.
    :param known: revision that the sender has, or 0 for the whole topic.
    :param accepts_compressed: whether the sender can read a compressed response.
    """

    topic: str
    known: int
    accepts_compressed: bool = False


class StateResponse(msgspec.Struct):
    """Hold a topic's stored objects as of a revision, or its changes up to there.

    :param revision: revision of the topic at the responding host.
    :param specs: all objects by name, or ``None`` if ``edits`` is given.
    :param edits: name and object of each change, in order; the object is ``None`` if
        it was removed.
    :param compressed: the whole response, encoded and compressed, in place of the
        other fields; empty if it is not compressed.
    """

    revision: int
    specs: dict[str, Any] | None = None
    edits: list[tuple[str, Any]] | None = None
    compressed: bytes = b""


@dataclass(frozen=True, slots=True)
class _Source:
    """Describe a peer from which state can be requested."""

    host: str
    address: tuple[str, int]
    revisions: Mapping[Topic, int]


class StateTransfer:
    """Request newer state from peers, and respond to such requests.

    :param members: table of the hosts that send heartbeats to this one.
    :param summaries: the last summary of each relay.
    :param topology: determines whether this host follows the store itself.
    :param view: is brought up to date, and supplies the responses.
    :param on_confirmed: called with a topic that a peer brought up to date.
    :param rng: chooses among peers with the same revision.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
        topology: FleetTopology,
        view: FleetView,
        on_confirmed: Callable[[Topic], None],
        rng: Random,
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._topology = topology
        self._view = view
        self._on_confirmed = on_confirmed
        self._rng = rng
        self._loop = get_running_loop()
        self._behind_since: dict[Topic, float] = {}
        self._requested: set[Topic] = set()
        self._frames = ResponseFrames()
        self._tasks: set = set()
        self._server = None

    async def start(self, address: Address) -> None:
        """Listen for requests of peers.

        :param address: host and port to bind.
        """
        self._server = await start_server(self._serve, *address)

    def close(self) -> None:
        """Stop listening and cancel pending requests."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def handle_peer_revisions(self, revisions: Mapping[Topic, int]) -> None:
        """Request state at once if a peer is ahead and this host relies on peers.

        :param revisions: revision of each topic that the peer has.
        """
        if not self._is_ahead(revisions):
            return
        now = self._loop.time()
        self._record_newer(revisions, now)
        if not self._topology.should_follow_store(now):
            self.catch_up(now)

    def _record_newer(self, revisions: Mapping[Topic, int], now: float) -> None:
        for topic, revision in revisions.items():
            if revision > self._view.revisions[topic]:
                self._view.staleness.record_newer(topic, revision, now)

    def _is_ahead(self, revisions: Mapping[Topic, int]) -> bool:
        """Return whether one of some revisions is newer than this host's."""
        known = self._view.revisions
        return any(revision > known[topic] for topic, revision in revisions.items())

    def catch_up(self, now: float) -> None:
        """Request each topic that is behind from a peer with the newest revision.

        A host that follows the store allows it some time to deliver the revision first.

        :param now: time of the event loop in seconds.
        """
        sources = self._sources(now)
        if not any(
            self._is_ahead(revisions) for revisions in _distinct_revisions(sources)
        ):
            self._behind_since.clear()
            return
        delay_s = STORE_GRACE_S if self._topology.should_follow_store(now) else 0.0
        for topic in Topic:
            newest = max(
                (source.revisions.get(topic, 0) for source in sources), default=0
            )
            if newest <= self._view.revisions[topic]:
                self._behind_since.pop(topic, None)
                continue
            since = self._behind_since.setdefault(topic, now)
            if now - since >= delay_s and topic not in self._requested:
                candidates = [
                    source
                    for source in sources
                    if source.revisions.get(topic) == newest
                ]
                self._start_request(topic, self._rng.choice(candidates))

    def _sources(self, now: float) -> list[_Source]:
        """Return the live peers from which state can be requested."""
        hosts = [
            _Source(record.member.host, record.member.peer_address, record.revisions)
            for record in self._members.live_records(now)
        ]
        if self._topology.is_full_mesh(now):
            return hosts
        relays = [
            _Source(record.summary.relay, record.address, record.revisions)
            for record in self._summaries.live_records(now)
        ]
        return hosts + relays

    def _start_request(self, topic: Topic, source: _Source) -> None:
        self._requested.add(topic)
        task = create_task(self._request(topic, source))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, topic: Topic, source: _Source) -> None:
        known = self._view.revisions[topic]
        request = StateRequest(topic.value, known, accepts_compressed=True)
        try:
            async with timeout(TRANSFER_TIMEOUT_S):
                response = await _send_request(source.address, request)
        except TRANSFER_ERRORS as exc:
            emit(RELAY_FAILED, peer=source.host, topic=topic.value, reason=repr(exc))
            return
        finally:
            self._requested.discard(topic)
        if self._apply(topic, response, source.host):
            self._on_confirmed(topic)

    def _apply(self, topic: Topic, response: StateResponse, host: str) -> bool:
        now = self._loop.time()
        if response.edits is not None:
            return self._view.apply(topic, response.revision, response.edits, host, now)
        specs = response.specs or {}
        return self._view.replace(topic, response.revision, specs, host, now)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            async with timeout(TRANSFER_TIMEOUT_S):
                frame = await _read_frame(reader)
                request = msgspec.msgpack.decode(frame, type=StateRequest)
                _write_frame(writer, self._encode_response(request))
                await writer.drain()
        except TRANSFER_ERRORS as exc:
            emit(RELAY_FAILED, peer="unknown", reason=repr(exc))
        finally:
            writer.close()

    def _encode_response(self, request: StateRequest) -> bytes:
        topic = Topic(request.topic)
        if not request.accepts_compressed:
            return msgspec.msgpack.encode(self._build_response(topic, request.known))
        return self._frames.get(
            (topic, request.known, self._view.revisions[topic]),
            lambda: self._build_response(topic, request.known),
        )

    def _build_response(self, topic: Topic, known_revision: int) -> StateResponse:
        revision, specs = self._view.snapshot(topic)
        edits = (
            self._view.edits_since(topic, known_revision) if known_revision else None
        )
        if edits is not None:
            return StateResponse(revision, edits=edits)
        return StateResponse(revision, specs=dict(specs))


def _distinct_revisions(sources: list[_Source]) -> list[Mapping[Topic, int]]:
    """Return the revisions of some peers, most of which have the same ones."""
    return list({id(item.revisions): item.revisions for item in sources}.values())


class ResponseFrames:
    """Encode responses, compressed if they are large, once for several requests."""

    def __init__(self) -> None:
        self._frames: OrderedDict[FrameKey, bytes] = OrderedDict()

    def get(self, key: FrameKey, build: Callable[[], StateResponse]) -> bytes:
        """Return the encoded response for a key, and keep it.

        :param key: topic, revision that the requester has, and revision that it gets.
        """
        frame = self._frames.get(key)
        if frame is None:
            frame = self._frames[key] = encode_response(build())
            if len(self._frames) > MAX_KEPT_FRAMES:
                self._frames.popitem(last=False)
        return frame


def encode_response(response: StateResponse) -> bytes:
    """Encode a response, compressed if it is large."""
    data = msgspec.msgpack.encode(response)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    compressed = compress(data, COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(
        StateResponse(response.revision, compressed=compressed)
    )


def decode_response(frame: bytes) -> StateResponse:
    """Decode a response, which may be compressed.

    :raises msgspec.MsgspecError: if it is malformed.
    :raises ValueError: if it cannot be decompressed, or is too long.
    """
    response = msgspec.msgpack.decode(frame, type=StateResponse)
    if not response.compressed:
        return response
    decoder = decompressobj()
    try:
        data = decoder.decompress(response.compressed, MAX_FRAME_BYTES)
    except CompressionError as exc:
        raise ValueError(f"the response cannot be decompressed: {exc}") from exc
    if not decoder.eof:
        raise ValueError("the decompressed response is too long or incomplete")
    return msgspec.msgpack.decode(data, type=StateResponse)


async def _send_request(
    address: tuple[str, int], request: StateRequest
) -> StateResponse:
    reader, writer = await open_connection(*address)
    try:
        _write_frame(writer, msgspec.msgpack.encode(request))
        return decode_response(await _read_frame(reader))
    finally:
        writer.close()


async def _read_frame(reader: StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(FRAME_HEADER_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {length} bytes is too long")
    return await reader.readexactly(length)


def _write_frame(writer: StreamWriter, data: bytes) -> None:
    writer.write(len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data)
