"""Run the peer port and the channels to other peers in one asyncio thread."""

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


class PeerHandler(Protocol):
    """Answer what peers ask. Called in the asyncio thread, so it must not block."""

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Answer a heartbeat."""

    def handle_changes_request(self, request: ChangesRequest) -> ChangesAnswer:
        """Return the changes after a revision."""


class _Service(PeerBase):
    """Check the fleet's credential and hand calls to the handler."""

    def __init__(self, handler: PeerHandler, credential: str) -> None:
        self._handler = handler
        self._credential = credential

    async def Exchange(self, stream: Stream[Heartbeat, HeartbeatAnswer]) -> None:  # noqa: N802
        """Answer a heartbeat."""
        await self._respond(stream, self._handler.handle_heartbeat)

    async def Changes(self, stream: Stream[ChangesRequest, ChangesAnswer]) -> None:  # noqa: N802
        """Return the changes after a revision."""
        await self._respond(stream, self._handler.handle_changes_request)

    async def _respond(self, stream: Stream, method: Callable) -> None:
        received = str(stream.metadata.get(CREDENTIAL_HEADER, ""))
        if not compare_digest(received.encode(), self._credential.encode()):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "The peer's credential is wrong; set [peer] credential alike.",
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
                Status.INTERNAL, "The peer failed; its log tells why."
            ) from exc


@dataclass
class PeerNetwork:
    """Own the peer port and the channels.

    :param address: where this host listens for peers.
    :param credential: what every host of the fleet knows.
    """

    address: tuple[str, int]
    credential: str
    handler: PeerHandler
    _loop: AbstractEventLoop = field(default_factory=new_event_loop)
    _channels: dict[str, Channel] = field(default_factory=dict)
    _server: Server | None = None

    def start(self) -> None:
        """Bind the port and serve in a thread.

        :raises OSError: when the port cannot be bound.
        """
        Thread(target=self._run, name="peers", daemon=True).start()
        run_coroutine_threadsafe(self._listen(), self._loop).result()

    def stop(self) -> None:
        """Close the port and all channels."""
        stopped = Event()
        run_coroutine_threadsafe(self._close(), self._loop).add_done_callback(
            lambda fut: stopped.set()
        )
        stopped.wait(STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def send_heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_s: float
    ) -> Future[HeartbeatAnswer | None]:
        """Send a heartbeat; the future holds nothing when there is no answer."""
        call = self._call(address, "Exchange", heartbeat, timeout_s)
        return run_coroutine_threadsafe(call, self._loop)

    def request_changes(
        self, address: str, request: ChangesRequest, timeout_s: float
    ) -> Future[ChangesAnswer | None]:
        """Ask a peer for changes."""
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
            # A channel that gave no answer may have gone silent for good.
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            return None
