"""Serve the peer port and call other peers by gRPC, in one asyncio thread."""

from asyncio import AbstractEventLoop, new_event_loop, run_coroutine_threadsafe
from asyncio import TimeoutError as AsyncTimeout
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from hmac import compare_digest
from threading import Event, Thread
from traceback import format_exc
from typing import Protocol, TypeVar

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from damasktally.addresses import split_address
from damasktally.events import emit
from damasktally.events.catalogue import ACTOR_FAILED
from damasktally.peers.peer_grpc import PeerBase, PeerStub
from damasktally.peers.peer_pb2 import (
    ChangesAnswer,
    ChangesRequest,
    Heartbeat,
    HeartbeatAnswer,
)

Answer = TypeVar("Answer")

CREDENTIAL_HEADER = "authorization"
CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, AsyncTimeout)
STOP_TIMEOUT_S = 2.0
"""Seconds for which a stop waits until the port and the channels are closed."""


class PeerHandler(Protocol):
    """Handle the calls of peers.

    The methods run in the asyncio thread and must not block.
    """

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Return the answer to a heartbeat."""

    def handle_changes_request(self, request: ChangesRequest) -> ChangesAnswer:
        """Return the changes after the requested revision."""


class _Service(PeerBase):
    """Implement the gRPC service: check the credential and call the handler."""

    def __init__(self, handler: PeerHandler, credential: str) -> None:
        self._handler = handler
        self._credential = credential

    async def Exchange(self, stream: Stream[Heartbeat, HeartbeatAnswer]) -> None:  # noqa: N802
        """Handle a call with a heartbeat."""
        await self._respond(stream, self._handler.handle_heartbeat)

    async def Changes(self, stream: Stream[ChangesRequest, ChangesAnswer]) -> None:  # noqa: N802
        """Handle a call for the changes after a revision."""
        await self._respond(stream, self._handler.handle_changes_request)

    async def _respond(self, stream: Stream, method: Callable) -> None:
        received = str(stream.metadata.get(CREDENTIAL_HEADER, ""))
        if not compare_digest(received.encode(), self._credential.encode()):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "Wrong credential: set [peer] credential to the same value everywhere.",
            )
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._call_handler(method, request))

    @staticmethod
    def _call_handler(
        method: Callable[[Message], Message], request: Message
    ) -> Message:
        try:
            return method(request)
        except Exception as exc:
            emit(ACTOR_FAILED, actor="peer port", traceback=format_exc())
            raise GRPCError(
                Status.INTERNAL, "The peer failed to handle the call; see its log."
            ) from exc


@dataclass
class GrpcPeerNetwork:
    """Run the peer port and the channels to other peers in a thread.

    :param address: host and port on which this host listens for peers.
    :param credential: secret that all hosts of the fleet share.
    :param handler: handles the calls of peers.
    """

    address: tuple[str, int]
    credential: str
    handler: PeerHandler
    _loop: AbstractEventLoop = field(default_factory=new_event_loop)
    _channels: dict[str, Channel] = field(default_factory=dict)
    _server: Server | None = None

    def start(self) -> None:
        """Start the thread, and bind the port.

        :raises OSError: if the port cannot be bound.
        """
        Thread(target=self._run, name="peers", daemon=True).start()
        run_coroutine_threadsafe(self._listen(), self._loop).result()

    def stop(self) -> None:
        """Close the port and all channels, and stop the thread."""
        stopped = Event()
        run_coroutine_threadsafe(self._close(), self._loop).add_done_callback(
            lambda fut: stopped.set()
        )
        stopped.wait(STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def send_heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_s: float
    ) -> Future[HeartbeatAnswer | None]:
        """Send a heartbeat to a peer.

        :param address: host and port of the peer.
        :param timeout_s: seconds after which the call fails.
        :returns: a future of the answer, or of ``None`` if the call fails.
        """
        call = self._call(address, "Exchange", heartbeat, timeout_s)
        return run_coroutine_threadsafe(call, self._loop)

    def request_changes(
        self, address: str, request: ChangesRequest, timeout_s: float
    ) -> Future[ChangesAnswer | None]:
        """Request the changes after a revision from a peer.

        :param address: host and port of the peer.
        :param timeout_s: seconds after which the call fails.
        :returns: a future of the answer, or of ``None`` if the call fails.
        """
        call = self._call(address, "Changes", request, timeout_s)
        return run_coroutine_threadsafe(call, self._loop)

    def _run(self) -> None:
        self._loop.run_forever()

    async def _listen(self) -> None:
        self._server = Server([_Service(self.handler, self.credential)])
        await self._server.start(*self.address)

    async def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()
        self._server.close()
        await self._server.wait_closed()

    async def _call(
        self, address: str, method: str, request: object, timeout_s: float
    ) -> object | None:
        channel = self._channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = Channel(host, port, config=Configuration())
            self._channels[address] = channel
        try:
            return await getattr(PeerStub(channel), method)(
                request,
                timeout=timeout_s,
                metadata={CREDENTIAL_HEADER: self.credential},
            )
        except CALL_ERRORS:
            # The connection of a channel without an answer may be half-open for good.
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            return None
