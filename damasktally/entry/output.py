"""Write log lines to standard output without ever waiting for their reader."""

from asyncio import AbstractEventLoop
from collections import deque
from os import set_blocking, write

from eliot import add_destinations
from msgspec.json import Encoder

MAX_WAITING_BYTES = 256 * 1024
LINES_PER_S = 150.0
BURST_LINES = 600.0
COALESCE_S = 0.05


class LogOutput:
    """Send eliot's messages to a file descriptor, one JSON object a line.

    Lines beyond a rate, and lines that the reader is too slow for, are left out and
    counted; a line says how many as soon as there is room again.

    :param descriptor: where lines go.
    :param loop: its clock bounds the rate, and it writes when there is room.
    """

    def __init__(self, descriptor: int, loop: AbstractEventLoop) -> None:
        self._descriptor = descriptor
        self._loop = loop
        self._encoder = Encoder(enc_hook=str)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._tokens = BURST_LINES
        self._filled = loop.time()
        self._scheduled = False
        self._blocked = False
        self.dropped_lines = 0
        self.dropped_lines_reported = 0
        set_blocking(descriptor, False)
        add_destinations(self.accept)

    def accept(self, message: dict) -> None:
        """Take a message, or count it as left out."""
        if not self._allowed():
            self.dropped_lines += 1
            return
        message.pop("task_level", None)
        message.pop("task_uuid", None)
        line = self._encoder.encode(message) + b"\n"
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if not self._scheduled and not self._blocked:
            self._scheduled = True
            self._loop.call_later(COALESCE_S, self.flush)

    def _allowed(self) -> bool:
        now = self._loop.time()
        gained = (now - self._filled) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled = now
        if self._tokens < 1 or self._waiting_bytes > MAX_WAITING_BYTES:
            return False
        self._tokens -= 1
        return True

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._scheduled = False
        while self._waiting:
            data = b"".join(self._waiting)
            self._waiting.clear()
            try:
                written = write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no other place to report it.
                self._waiting_bytes = 0
                self.dropped_lines += 1
                return
            self._waiting_bytes = len(data) - written
            if written < len(data):
                self._waiting.append(data[written:])
                self._wait_for_room()
                return

    def _wait_for_room(self) -> None:
        if not self._blocked:
            self._blocked = True
            self._loop.add_writer(self._descriptor, self._room)

    def _room(self) -> None:
        self._blocked = False
        self._loop.remove_writer(self._descriptor)
        self.flush()
