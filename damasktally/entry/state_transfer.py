"""Fetch newer state from peers over TCP, and serve state to them.

A host that is behind requests a topic from a peer with a newer revision. The response
holds only the edits since the requester's revision if the peer still has them, and the
whole topic otherwise. If a peer does not respond soon, another one is asked as well.
"""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    open_connection,
    start_server,
    timeout,
)
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random

import msgspec

from damasktally.decisions.source_selection import choose_source
from damasktally.entry.listening import listen_on
from damasktally.entry.state_messages import (
    MAX_REQUEST_BYTES,
    ResponseFrames,
    StateRequest,
    StateResponse,
    decode_response,
    read_frame,
    write_frame,
)
from damasktally.entry.store_topology import StoreTopology
from damasktally.entry.topology import Address, FleetTopology
from damasktally.errors import DECODING_ERRORS
from damasktally.events import emit
from damasktally.events.catalogue import RELAY_FAILED
from damasktally.fleet.members import MemberTable
from damasktally.fleet.summaries import SummaryTable
from damasktally.fleet.topics import Topic
from damasktally.fleet.view import FleetView
from damasktally.http1.open_connections import OpenConnections

RESPONSE_TIMEOUT_S = 1.5
"""Time in which a connection is established and the response begins, or in which a
request arrives."""
IDLE_TIMEOUT_S = 1.0
"""Time without a byte after which a response that has begun counts as lost."""
HEDGE_DELAY_S = 0.4
"""A request that has no complete response by then is also sent to another peer."""
MAX_PARALLEL_REQUESTS = 3
"""Requests for the same topic under way at a time."""
AVOIDANCE_S = 2.0
"""A peer that did not respond is asked again after this long, or if no other peer is
ahead."""
MIN_REPEAT_DELAY_S = 0.2
"""Shortest time until a peer that did not respond is asked again."""
STORE_GRACE_S = 0.6
"""A host that follows the store waits this long for a revision that a peer has."""

TRANSFER_ERRORS = (
    OSError,
    TimeoutError,
    IncompleteReadError,
    *DECODING_ERRORS,
)


@dataclass(frozen=True, slots=True)
class _Source:
    """Describe a peer from which state can be requested."""

    host: str
    address: tuple[str, int]
    revisions: Mapping[Topic, int]


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """Request that has no complete response yet.

    :param revision: the revision that the peer named.
    """

    revision: int
    started_at: float
    task: Task


class StateTransfer:
    """Request newer state from peers, and respond to such requests.

    :param members: table of the hosts that send heartbeats to this one.
    :param summaries: the last summary of each relay.
    :param topology: determines whose messages tell of the other hosts.
    :param store_topology: determines whether this host follows the store itself.
    :param view: is brought up to date, and supplies the responses.
    :param on_confirmed: called with a topic that a peer brought up to date.
    :param rng: chooses among peers with the same revision.
    """

    def __init__(
        self,
        members: MemberTable,
        summaries: SummaryTable,
        topology: FleetTopology,
        store_topology: StoreTopology,
        view: FleetView,
        on_confirmed: Callable[[Topic], None],
        rng: Random,
    ) -> None:
        self._members = members
        self._summaries = summaries
        self._topology = topology
        self._store_topology = store_topology
        self._view = view
        self._on_confirmed = on_confirmed
        self._rng = rng
        self._loop = get_running_loop()
        self._pending: dict[Topic, dict[str, _PendingRequest]] = {
            topic: {} for topic in Topic
        }
        self._failed_at: dict[str, float] = {}
        self._frames = ResponseFrames()
        self._server = None
        self._connections: OpenConnections | None = None

    async def start(self, address: Address, connections: OpenConnections) -> None:
        """Listen for requests of peers.

        :param address: host and port to bind.
        :param connections: bounds the connections of peers.
        """
        self._connections = connections
        self._server = await listen_on(address, partial(start_server, self._serve))

    def close(self) -> None:
        """Stop listening and cancel pending requests."""
        if self._server is not None:
            self._server.close()
        for pending in self._pending.values():
            for request in pending.values():
                request.task.cancel()

    def handle_peer_revisions(self, revisions: Mapping[Topic, int]) -> None:
        """Request state at once if a peer is ahead and this host relies on peers.

        :param revisions: revision of each topic that the peer has.
        """
        if not self._is_ahead(revisions):
            return
        now = self._loop.time()
        self._record_newer(revisions, now)
        if not self._store_topology.expects_changes_from_store(now):
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
        """Request each topic that is behind from a peer with a newer revision.

        A host that follows the store allows it some time to deliver the revision first.

        :param now: time of the event loop in seconds.
        """
        sources = self._sources(now)
        distinct = _distinct_revisions(sources)
        if not any(self._is_ahead(revisions) for revisions in distinct):
            return
        for revisions in distinct:
            self._record_newer(revisions, now)
        expects_changes = self._store_topology.expects_changes_from_store(now)
        delay_s = STORE_GRACE_S if expects_changes else 0.0
        for topic in Topic:
            known = self._view.revisions[topic]
            if all(revisions.get(topic, 0) <= known for revisions in distinct):
                continue
            is_delayed = self._view.staleness.behind_s(topic, now) < delay_s
            if not is_delayed and self._may_request(topic, now):
                self._request_from_best(topic, sources, now)

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

    def _may_request(self, topic: Topic, now: float) -> bool:
        """Return whether none or few are asked, and the last one is late."""
        pending = self._pending[topic]
        if len(pending) >= MAX_PARALLEL_REQUESTS:
            return False
        return all(
            now - request.started_at >= HEDGE_DELAY_S for request in pending.values()
        )

    def _request_from_best(
        self, topic: Topic, sources: list[_Source], now: float
    ) -> None:
        pending = self._pending[topic]
        by_host = {source.host: source for source in sources}
        host = choose_source(
            {name: source.revisions.get(topic, 0) for name, source in by_host.items()},
            self._view.revisions[topic],
            pending.keys() | self._failed_hosts(now),
            self._rng,
        )
        if host is None or host in pending:
            return
        if host in self._failed_at and now - self._failed_at[host] < MIN_REPEAT_DELAY_S:
            return
        source = by_host[host]
        task = create_task(self._request(topic, source))
        pending[host] = _PendingRequest(source.revisions[topic], now, task)

    def _failed_hosts(self, now: float) -> set[str]:
        """Return the hosts that did not respond lately."""
        self._failed_at = {
            host: failed_at
            for host, failed_at in self._failed_at.items()
            if now - failed_at < AVOIDANCE_S
        }
        return set(self._failed_at)

    async def _request(self, topic: Topic, source: _Source) -> None:
        known = self._view.revisions[topic]
        request = StateRequest(topic.value, known, accepts_compressed=True)
        try:
            response = await _send_request(source.address, request)
        except TRANSFER_ERRORS as exc:
            emit(RELAY_FAILED, peer=source.host, topic=topic.value, reason=repr(exc))
            self._failed_at[source.host] = self._loop.time()
            self._pending[topic].pop(source.host, None)
            self.catch_up(self._loop.time())
            return
        finally:
            self._pending[topic].pop(source.host, None)
        if self._apply(topic, response, source.host):
            self._cancel_superseded(topic)
            self._on_confirmed(topic)

    def _cancel_superseded(self, topic: Topic) -> None:
        """Cancel the requests that can bring nothing newer any more."""
        for request in list(self._pending[topic].values()):
            if request.revision <= self._view.revisions[topic]:
                request.task.cancel()

    def _apply(self, topic: Topic, response: StateResponse, host: str) -> bool:
        now = self._loop.time()
        if response.edits is not None:
            return self._view.apply(topic, response.revision, response.edits, host, now)
        specs = response.specs or {}
        return self._view.replace(topic, response.revision, specs, host, now)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._connections.add(writer.transport)
        try:
            frame = await read_frame(
                reader, RESPONSE_TIMEOUT_S, IDLE_TIMEOUT_S, MAX_REQUEST_BYTES
            )
            request = msgspec.msgpack.decode(frame, type=StateRequest)
            write_frame(writer, self._encode_response(request))
            async with timeout(RESPONSE_TIMEOUT_S):
                await writer.drain()
        except TRANSFER_ERRORS as exc:
            emit(RELAY_FAILED, peer="unknown", reason=repr(exc))
        finally:
            self._connections.discard(writer.transport)
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


async def _send_request(
    address: tuple[str, int], request: StateRequest
) -> StateResponse:
    async with timeout(RESPONSE_TIMEOUT_S):
        reader, writer = await open_connection(*address)
    try:
        write_frame(writer, msgspec.msgpack.encode(request))
        frame = await read_frame(reader, RESPONSE_TIMEOUT_S, IDLE_TIMEOUT_S)
        return decode_response(frame)
    finally:
        writer.close()
