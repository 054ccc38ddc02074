"""Define a TCP proxy that injects network faults."""

from asyncio import StreamReader, StreamWriter, gather, open_connection, sleep
from asyncio import start_server as listen
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from time import monotonic

from entry_harness import ignore_disconnects

CHUNK_BYTES = 65_536
POLL_S = 0.02


class Impairment(Enum):
    """How a proxy impairs the connections that it forwards."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_ANSWERS = "no-answers"


class ClientCut(Enum):
    """How the connections of one client are cut, while those of others are not.

    New connections are reset in all cases.
    """

    RESET = "open ones are reset"
    SILENCE = "open ones carry nothing any more"
    REFUSE_NEW = "open ones live on"


class FaultProxy:
    """Forward connections to one address, with an optional impairment.

    A connection on which data was dropped because of ``SILENCE`` stays silent until it
    is closed, as if a middlebox had lost its state.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.impairment = Impairment.NONE
        self.impaired_from: list[float] = []
        self.impaired_until: list[float] = []
        self.delay_s = 0.0
        self.port = 0
        self._server = None
        self._open_writers: set[StreamWriter] = set()
        self._cuts: dict[str, Callable[[int, int], bool]] = {}
        self._silenced_by_port: dict[int, list[bool]] = {}
        self._writer_by_port: dict[int, StreamWriter] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await listen(ignore_disconnects(self._serve), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_impairment(self, impairment: Impairment, delay_s: float = 0.0) -> None:
        """Set the impairment of open and new connections."""
        if impairment is not Impairment.NONE:
            self.impaired_from.append(monotonic())
        elif self.impairment is not Impairment.NONE:
            self.impaired_until.append(monotonic())
        self.impairment = impairment
        self.delay_s = delay_s
        if impairment is Impairment.RESET:
            for writer in list(self._open_writers):
                writer.transport.abort()

    def cut_client(
        self,
        name: str,
        cut: ClientCut,
        open_ports: set[int],
        is_owner: Callable[[int, int], bool],
    ) -> None:
        """Cut a client.

        :param open_ports: local ports of the client's connections.
        :param is_owner: returns whether a connection is the client's, by its local port
            and the proxy's.
        """
        self._cuts[name] = is_owner
        for port in open_ports & set(self._writer_by_port):
            if cut is ClientCut.RESET:
                self._writer_by_port[port].transport.abort()
            elif cut is ClientCut.SILENCE:
                self._silenced_by_port[port][0] = True

    def join_client(self, name: str) -> None:
        """End the cut of a client, if there is one."""
        self._cuts.pop(name, None)

    def _is_cut(self, port: int) -> bool:
        return any(is_owner(port, self.port) for is_owner in self._cuts.values())

    def was_impaired(self, at: float) -> bool:
        """Return whether connections were impaired at a time of the monotonic clock."""
        begun = sum(begin <= at for begin in self.impaired_from)
        ended = sum(end < at for end in self.impaired_until)
        return begun > ended

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        client_port = writer.get_extra_info("peername")[1]
        if self.impairment is Impairment.RESET or self._is_cut(client_port):
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self._open_writers |= ends
        silenced = self._silenced_by_port[client_port] = [False]
        self._writer_by_port[client_port] = writer
        try:
            await gather(
                self._forward(reader, target_writer, silenced, is_answer=False),
                self._forward(target_reader, writer, silenced, is_answer=True),
            )
        finally:
            self._open_writers -= ends
            self._silenced_by_port.pop(client_port, None)
            self._writer_by_port.pop(client_port, None)
            for end in ends:
                end.close()

    async def _forward(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        silenced: list[bool],
        is_answer: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await sleep(self.delay_s)
                silenced[0] = silenced[0] or self.impairment is Impairment.SILENCE
                if silenced[0] or (
                    is_answer and self.impairment is Impairment.NO_ANSWERS
                ):
                    continue
                writer.write(data)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            if silenced[0]:
                await sleep(POLL_S)
            elif writer.can_write_eof():
                writer.write_eof()
