"""Write log lines to a file descriptor without blocking the event loop.

A reader that stops reading must not delay requests. Memory and volume are bounded
instead: lines beyond the bounds are dropped and counted.
"""

from asyncio import AbstractEventLoop
from collections import deque
from os import set_blocking, write

from eliot import add_destinations
from msgspec.json import Encoder

from damasktally.entry.metrics import EntryMetrics
from damasktally.events import emit
from damasktally.events.catalogue import LOG_LINES_LEFT_OUT

MAX_PENDING_BYTES = 256 * 1024
MAX_LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0
FLUSH_DELAY_S = 0.05


class LogOutput:
    """Write eliot's messages to a file descriptor, one JSON object per line.

    A token bucket bounds the rate of lines. Lines beyond it, and lines for which the
    buffer is full because the reader is too slow, are dropped and counted in
    ``dropped_lines``. The host logs the count as soon as lines are accepted again;
    ``dropped_lines_reported`` is how many it has logged so far.

    :param descriptor: file descriptor that lines are written to; becomes non-blocking.
    :param loop: event loop whose clock refills the bucket and which writes the lines.
    """

    def __init__(self, descriptor: int, loop: AbstractEventLoop) -> None:
        self._descriptor = descriptor
        self._loop = loop
        self._encoder = Encoder(enc_hook=str)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._tokens = MAX_BURST_LINES
        self._refilled_at = loop.time()
        self._is_flush_scheduled = False
        self._is_blocked = False
        self.dropped_lines = 0
        self.dropped_lines_reported = 0
        set_blocking(descriptor, False)
        add_destinations(self.accept)

    def accept(self, message: dict) -> None:
        """Buffer a message for writing, or drop and count it."""
        if not self._take_token():
            self.dropped_lines += 1
            return
        message.pop("task_level", None)
        message.pop("task_uuid", None)
        line = self._encoder.encode(message) + b"\n"
        self._pending.append(line)
        self._pending_bytes += len(line)
        if not self._is_flush_scheduled and not self._is_blocked:
            self._is_flush_scheduled = True
            self._loop.call_later(FLUSH_DELAY_S, self.flush)

    def _take_token(self) -> bool:
        now = self._loop.time()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or self._pending_bytes > MAX_PENDING_BYTES:
            return False
        self._tokens -= 1
        return True

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._is_flush_scheduled = False
        while self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            try:
                written = write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader closed its end; there is no other place to report this.
                self._pending_bytes = 0
                self.dropped_lines += 1
                return
            self._pending_bytes = len(data) - written
            if written < len(data):
                self._pending.append(data[written:])
                self._flush_when_writable()
                return

    def _flush_when_writable(self) -> None:
        if not self._is_blocked:
            self._is_blocked = True
            self._loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        self._is_blocked = False
        self._loop.remove_writer(self._descriptor)
        self.flush()


def report_dropped_lines(output: LogOutput, metrics: EntryMetrics) -> None:
    """Log how many lines were dropped since the last call, and update the metric."""
    dropped = output.dropped_lines
    if dropped > output.dropped_lines_reported:
        emit(LOG_LINES_LEFT_OUT, lines=dropped - output.dropped_lines_reported)
        output.dropped_lines_reported = dropped
    metrics.log_lines_left_out.set(dropped)
