"""Callers leave while their downloads run; the servers go on working for nobody."""

import asyncio
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit3 import (  # noqa: E402
    Fleet,
    Record,
    Server,
    encode_answer,
    main,
    make_route,
    read_head,
)

ZONES = {"north-a": "north", "south-a": "south"}
RUN_S = 3.0
LEAVE_AFTER_S = 0.4
GRACE_S = 0.5
COUNT = 40
LEAVING_OF_TEN = 3
"""Of ten callers one after the other, those that leave."""


@dataclass
class Worker(Server):
    """A server that drops a request when its connection closes, as most do."""

    left_at: dict[str, float] = field(default_factory=dict)
    began: dict[str, float] = field(default_factory=dict)
    ended: dict[str, tuple[float, str]] = field(default_factory=dict)

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                await reader.readexactly(int(headers.get("content-length", "0")))
                request_id = headers["request-id"]
                if headers.get("expect-instance") != self.id:
                    writer.write(encode_answer(421, request_id, "Not-Run: 1\r\n", b""))
                    continue
                self.began[request_id] = self.record.now
                self.record.write(f"run of {request_id} begins at {self.id}: {line}")
                if not await self._work(reader):
                    self._end(request_id, "dropped, as its connection was closed")
                    return
                self._end(request_id, "complete")
                stamp = f"Server-Stamp: {self.id}\r\n"
                writer.write(encode_answer(200, request_id, stamp, b"x" * 5000))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _work(self, reader) -> bool:
        """Work on a request; return whether its connection stayed open."""
        try:
            async with asyncio.timeout(RUN_S):
                await reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    def _end(self, request_id: str, how: str) -> None:
        self.ended[request_id] = (self.record.now, how)
        self.record.write(f"run of {request_id} ends: {how}")


async def download(host, record: Record, request_id: str, path: str, leaves: bool):
    """Ask for a download; close the connection early if the caller leaves."""
    reader, writer = await asyncio.open_connection(host.ip, host.ports["callers"])
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {request_id}\r\n"
        "Deadline-Ms: 6000\r\nKey: k-1\r\n\r\n".encode()
    )
    record.write(f"sent {request_id} to {host.name}: GET {path}")
    if leaves:
        await asyncio.sleep(LEAVE_AFTER_S)
        writer.close()
        record.write(f"caller of {request_id} closes its connection")
        return record.now
    head = await read_head(reader)
    record.write(f"{request_id} answered: {head[0] if head else None}")
    writer.close()
    return None


async def play(record: Record) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    fleet = Fleet(record, ZONES)
    try:
        return await call_and_leave(fleet, record)
    finally:
        fleet.close()


async def call_and_leave(fleet: Fleet, record: Record) -> int:
    """Send downloads whose callers leave, and judge how long the servers work."""
    is_troubled = os.environ.get("TROUBLE") != "0"
    kind = os.environ.get("KIND", "download")
    await fleet.store.start()
    routes = [make_route("stmt", "/stmt/", kind, Timeout="5000ms", Sticky=False)]
    await fleet.write_configuration(1, routes, [{"Name": "acme", "ApiKeys": ["k-1"]}])
    workers = []
    for number in range(6):
        worker = Worker(f"s-{number}", "svc", list(ZONES)[number % 2], record)
        await worker.start()
        await fleet.store.write("servers", worker.id, worker.registration())
        workers.append(worker)
    hosts = [fleet.add_host(f"edge-{zone}-1", zone) for zone in ZONES]
    fleet.seeds = hosts
    for host in hosts:
        fleet.start_host(host, first=True)
    await fleet.wait_ready(hosts)
    await asyncio.sleep(5)
    left = {}
    tasks = {}
    for number in range(COUNT):
        request_id = f"d{number}"
        leaves = is_troubled and number % 10 < LEAVING_OF_TEN
        tasks[request_id] = asyncio.create_task(
            download(hosts[number % 2], record, request_id, f"/stmt/{number}", leaves)
        )
        await asyncio.sleep(0.1)
    for request_id, task in tasks.items():
        left[request_id] = await task
    await asyncio.sleep(RUN_S + 1)
    return judge(workers, left, record)


def judge(workers, left, record: Record) -> int:
    lasting = late = 0
    for worker in workers:
        for request_id, began in worker.began.items():
            left_at = left[request_id]
            if left_at is None or began + RUN_S <= left_at + GRACE_S:
                continue
            lasting += 1
            ended = worker.ended.get(request_id, (record.now, "still at work"))
            if ended[0] > left_at + GRACE_S:
                late += 1
    record.write(
        f"{lasting} runs would have lasted over {GRACE_S} s beyond their callers; "
        f"workers were still at work on {late} of them then; allowed: a quarter",
        True,
    )
    return 1 if late > lasting / 4 else 0


if __name__ == "__main__":
    sys.exit(main(play, HERE / "record.txt"))
