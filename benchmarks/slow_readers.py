"""Measure the memory of a host whose callers read large responses slowly.

Usage: ``python -m benchmarks.slow_readers [CALLERS]``. The host runs in a process of
its own; store, servers and callers are stand-ins in this one. The callers' segments are
as short as on Ethernet, as the kernel's send buffers on loopback hold whole responses
otherwise.
"""

import socket
import sys
from asyncio import (
    StreamReader,
    StreamWriter,
    gather,
    open_connection,
    run,
    sleep,
)
from dataclasses import dataclass
from functools import partial
from tempfile import TemporaryDirectory

from benchmarks.entry_process import measure_memory
from features.steps.entry_harness import (
    StandInServer,
    StandInStore,
    make_configuration,
    make_route,
)
from features.steps.streaming_servers import Conversations, Converse, body_of

DEFAULT_CALLERS = 200
RESPONSE_BYTES = 540_000
LONG_RESPONSE_BYTES = 16_000_000
LONG_CALLERS_RATIO = 0.2
"""Callers of long responses, relative to those of the others."""
READ_BYTES_PER_S = 500_000
"""Speed of the callers of long responses."""
UNREAD_S = 3.0
"""Seconds for which the other callers read nothing, and those of long ones read."""
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 4096
READ_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Case:
    """Responses that callers read slowly.

    :param framing: how their length is told.
    :param is_whole_read: whether the callers read all of them in the end.
    """

    link_mbps: int
    callers: int
    size: int
    framing: str
    is_whole_read: bool

    def converse(self) -> Converse:
        """Return how the servers respond."""
        conversations = Conversations()
        if self.framing == "with a length":
            return conversations.whole(self.size)
        return conversations.unknown(self.size, self.framing)


def cases(callers: int) -> list[Case]:
    """Return the cases for a number of callers."""
    long_callers = max(1, int(callers * LONG_CALLERS_RATIO))
    return [
        Case(100, callers, RESPONSE_BYTES, "with a length", True),
        Case(1000, callers, RESPONSE_BYTES, "with a length", True),
        Case(1000, long_callers, LONG_RESPONSE_BYTES, "with a length", False),
        Case(1000, long_callers, LONG_RESPONSE_BYTES, "in chunks", False),
        Case(1000, long_callers, LONG_RESPONSE_BYTES, "without a length", False),
    ]


async def start_platform(case: Case) -> StandInStore:
    """Start a store with two servers that have room for all callers."""
    store = StandInStore()
    await store.start()
    routes = [make_route("big", "/big/", Timeout="30000ms")]
    await store.write("config", "main", make_configuration(1, routes))
    converse = case.converse()
    for number in range(2):
        server = StandInServer(f"s-{number}", slots=case.callers, converse=converse)
        await server.start()
        await store.write("servers", server.id, server.registration())
    return store


async def begin(port: int, number: int) -> tuple[StreamReader, StreamWriter]:
    """Send a request on a connection that takes few bytes unread."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.connect(("127.0.0.1", port))
    sock.setblocking(False)
    reader, writer = await open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)
    writer.write(
        b"GET /big/%d HTTP/1.1\r\nHost: shop.example\r\nKey: k-1\r\n"
        b"Request-Id: r-%d\r\nAffinity-Key: %d\r\n\r\n" % (number, number, number)
    )
    return reader, writer


async def is_whole(reader: StreamReader, writer: StreamWriter) -> bool:
    """Read a response and return whether it is complete and right."""
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head:
        return False
    body = await reader.readexactly(RESPONSE_BYTES)
    writer.close()
    return body == body_of(RESPONSE_BYTES)


async def read_slowly(reader: StreamReader, writer: StreamWriter) -> bool:
    """Read at a bounded speed for a while, then leave; return whether bytes came."""
    received = 0
    for _ in range(int(UNREAD_S / READ_INTERVAL_S)):
        received += len(await reader.read(int(READ_BYTES_PER_S * READ_INTERVAL_S)))
        await sleep(READ_INTERVAL_S)
    writer.transport.abort()
    return received > 0


async def read_all(port: int, case: Case) -> int:
    """Ask for all responses; return how many callers got what they expect."""
    connections = await gather(*(begin(port, n) for n in range(case.callers)))
    if not case.is_whole_read:
        return sum(await gather(*(read_slowly(*item) for item in connections)))
    await sleep(UNREAD_S)
    return sum(await gather(*(is_whole(*item) for item in connections)))


async def measure(directory: str, case: Case) -> None:
    """Print the memory of one host before and during the slow responses."""
    store = await start_platform(case)
    load = partial(read_all, case=case)
    measured = await measure_memory(directory, store.port, case.link_mbps, load)
    print(
        f"link {case.link_mbps:5} Mbit/s  {case.callers:3} x {case.size:8} bytes "
        f"{case.framing:16}  {measured.text}  "
        f"read by {measured.result} of {case.callers}"
    )


async def measure_all(chosen: list[Case]) -> None:
    """Measure each case with a host of its own."""
    with TemporaryDirectory() as directory:
        for case in chosen:
            await measure(directory, case)


def main(callers: int = DEFAULT_CALLERS, case_count: int | None = None) -> None:
    """Measure with a number of callers.

    :param case_count: how many of the cases are measured; all by default.
    """
    run(measure_all(cases(callers)[:case_count]))


if __name__ == "__main__":
    main(*(int(argument) for argument in sys.argv[1:]))
