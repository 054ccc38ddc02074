"""Stand-in server with slots, a queue and load reports."""

from asyncio import Event, sleep
from collections import Counter
from dataclasses import dataclass, field

from entry_harness import (
    ReceivedRequest,
    StandInServer,
    make_answer,
    read_body,
    read_head,
)


@dataclass
class SlotServer(StandInServer):
    """Stand-in server that runs as many requests at once as it has slots.

    ``runs`` holds how often each request was run; ``turned_away`` counts those that
    found the queue full.
    """

    run_s: float = 0.2
    queue_limit: int = 8
    running: int = 0
    queue: list[Event] = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    turned_away: int = 0
    max_outstanding: int = 0

    def load_header(self) -> str:
        """Return the header that reports the load."""
        return f"Server-Load: {self.running},{len(self.queue)},{self.slots}\r\n"

    async def _serve(self, reader, writer):
        self.connections += 1
        self.open_writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                writer.write(await self._answer(ReceivedRequest(*head, body)))
                await writer.drain()
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def _answer(self, request: ReceivedRequest) -> bytes:
        """Run a request in a slot, or turn it away if the queue is full."""
        request_id = request.headers["request-id"]
        if self.running >= self.slots and len(self.queue) >= self.queue_limit:
            self.turned_away += 1
            extra = f"Not-Run: 1\r\n{self.load_header()}"
            return make_answer(request_id, 503, extra=extra)
        await self._take_slot()
        self.runs[request_id] += 1
        await sleep(self.run_s)
        self._free_slot()
        return make_answer(request_id, body=request_id, extra=self.load_header())

    async def _take_slot(self) -> None:
        is_free = self.running < self.slots
        outstanding = self.running + len(self.queue) + 1
        self.max_outstanding = max(self.max_outstanding, outstanding)
        if is_free:
            self.running += 1
            return
        turn = Event()
        self.queue.append(turn)
        await turn.wait()

    def _free_slot(self) -> None:
        """Pass the slot on to the request that waits longest, if any."""
        if self.queue:
            self.queue.pop(0).set()
        else:
            self.running -= 1
