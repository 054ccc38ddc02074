"""Measure the memory of a host whose servers take large request bodies slowly.

Usage: ``python -m benchmarks.slow_uploads [CALLERS]``. The host runs in a process of
its own; store, servers and callers are stand-ins in this one.
"""

import sys
from asyncio import gather, open_connection, run, wait_for
from dataclasses import dataclass
from functools import partial
from tempfile import TemporaryDirectory

from benchmarks.entry_process import measure_memory
from features.steps.entry_harness import (
    StandInServer,
    StandInStore,
    make_configuration,
    make_route,
    read_answer,
)
from features.steps.streaming_servers import Conversations, body_of

MIB = 1024 * 1024
DEFAULT_CALLERS = 40
BODY_BYTES = 8 * MIB
LONG_BODY_BYTES = 31 * MIB
MAX_LONG_CALLERS = 3
MAX_BODY_BYTES = 64 * MIB
CHUNK_BYTES = 64 * 1024
UNREAD_S = 2.0
"""Seconds after which the servers begin to read."""
LINK_MBPS = 1000
ANSWER_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class Case:
    """Request bodies that arrive faster than they are taken.

    :param framing: how their length is told.
    """

    callers: int
    size: int
    framing: str


def cases(callers: int) -> list[Case]:
    """Return the cases for a number of callers."""
    return [
        Case(min(MAX_LONG_CALLERS, callers), LONG_BODY_BYTES, "in chunks"),
        Case(callers, BODY_BYTES, "in chunks"),
        Case(callers, BODY_BYTES, "with a length"),
    ]


async def start_platform(case: Case) -> StandInStore:
    """Start a store with two servers that have room for all callers."""
    store = StandInStore()
    await store.start()
    routes = [make_route("up", "/up/", "upload", Timeout="60000ms")]
    limits = {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    cfg = make_configuration(1, routes, Limits=limits)
    await store.write("config", "main", cfg)
    converse = Conversations().take(UNREAD_S)
    for number in range(2):
        server = StandInServer(f"s-{number}", slots=case.callers, converse=converse)
        await server.start()
        await store.write("servers", server.id, server.registration())
    return store


async def upload(port: int, number: int, case: Case) -> bool:
    """Send a request with a large body, and return whether it was served."""
    reader, writer = await open_connection("127.0.0.1", port)
    is_chunked = case.framing == "in chunks"
    framing = (
        b"Transfer-Encoding: chunked"
        if is_chunked
        else b"Content-Length: %d" % case.size
    )
    writer.write(
        b"POST /up/%d HTTP/1.1\r\nHost: shop.example\r\nKey: k-1\r\n"
        b"Request-Id: r-%d\r\nAffinity-Key: %d\r\n%b\r\n\r\n"
        % (number, number, number, framing)
    )
    chunk = body_of(CHUNK_BYTES)
    part = b"%x\r\n%b\r\n" % (len(chunk), chunk) if is_chunked else chunk
    for _ in range(case.size // CHUNK_BYTES):
        writer.write(part)
        await writer.drain()
    writer.write(b"0\r\n\r\n" if is_chunked else b"")
    answer = await wait_for(read_answer(reader), ANSWER_TIMEOUT_S)
    writer.close()
    return answer.status == 200


async def upload_all(port: int, case: Case) -> int:
    """Send all uploads; return how many were served."""
    uploads = (upload(port, number, case) for number in range(case.callers))
    results = await gather(*uploads, return_exceptions=True)
    return sum(item is True for item in results)


async def measure(directory: str, case: Case) -> None:
    """Print the memory of one host before and during the uploads."""
    store = await start_platform(case)
    load = partial(upload_all, case=case)
    measured = await measure_memory(directory, store.port, LINK_MBPS, load)
    print(
        f"{case.callers:3} x {case.size:9} bytes {case.framing:13}  {measured.text}  "
        f"served {measured.result} of {case.callers}"
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
