"""Stand between two ends of a connection and harm it."""

from asyncio import StreamReader, StreamWriter, gather, open_connection, sleep
from asyncio import start_server as listen
from contextlib import suppress
from enum import Enum

from entry_harness import quietly

CHUNK_BYTES = 65_536
POLL_S = 0.02


class Harm(Enum):
    """Say what the proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    NO_ANSWERS = "no-answers"


class Proxy:
    """Forward connections to one address, harmed or not.

    A connection that was silenced stays silent for good, as if something between the
    two ends had lost track of it.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self.port = 0
        self._server = None
        self._open: set[StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await listen(quietly(self._serve), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set(self, harm: Harm, delay_s: float = 0.0) -> None:
        """Change what happens to connections from now on."""
        self.harm = harm
        self.delay_s = delay_s
        if harm is Harm.RESET:
            for writer in list(self._open):
                writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._open |= ends
        muted = [False]
        try:
            await gather(
                self._pump(reader, far_writer, muted, answers=False),
                self._pump(far_reader, writer, muted, answers=True),
            )
        finally:
            self._open -= ends
            for end in ends:
                end.close()

    async def _pump(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        muted: list[bool],
        answers: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await sleep(self.delay_s)
                muted[0] = muted[0] or self.harm is Harm.SILENCE
                if muted[0] or (answers and self.harm is Harm.NO_ANSWERS):
                    continue
                writer.write(data)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            if muted[0]:
                await sleep(POLL_S)
            elif writer.can_write_eof():
                writer.write_eof()
