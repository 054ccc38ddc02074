"""Steps for messages without end, from servers and from callers."""

import json
import subprocess
import sys
from asyncio import (
    Future,
    StreamReader,
    StreamWriter,
    new_event_loop,
    sleep,
    start_server,
)
from asyncio import timeout as async_timeout
from pathlib import Path
from time import monotonic
from types import SimpleNamespace

from behave import given, then, when
from prometheus_client import CollectorRegistry
from urllib3 import HTTPHeaderDict, Timeout
from urllib3.exceptions import HTTPError

from damasktally.fleet.model import CallerLimits
from damasktally.forwarding.exceptions import AnswerLate
from damasktally.forwarding.exceptions import AnswerLost as LostInThreadedHost
from damasktally.forwarding.upstream import ConnectionPool as ThreadedPool
from damasktally.forwarding.upstream import (
    read_body_chunk,
    read_response_head,
    send_request,
)
from damasktally.http1.connecting import connect
from damasktally.http1.inbound import CallerPort
from damasktally.http1.limited_client import fetch, make_pool_manager
from damasktally.http1.messages import Response, encode_request
from damasktally.http1.outbound import AnswerLost, ServerConnection
from damasktally.http1.response_memory import ResponseMemory
from damasktally.objects.budget import CallBudget
from damasktally.objects.client import HttpStore
from damasktally.objects.exceptions import StoreUnavailable
from features.steps.endless_messages import (
    CHUNKED_HEAD,
    CHUNKED_REQUEST_HEAD,
    REQUESTS,
    RESPONSES,
    split_into_reads,
)
from features.steps.entry_harness import LoopThread, ignore_disconnects

ROOT = Path(__file__).resolve().parent.parent.parent
KIB = 1024
SERVER_READ_BYTES = 64 * KIB
BYTE_INTERVAL_S = 0.005
MAX_SENT_KIB = 256 * KIB
"""A message that is still read after this much has no limit."""
PROCESS_TIMEOUT_S = 60.0


class FakeTransport:
    """Transport that records what is written, and whether it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes) -> None:
        """Record data."""
        self.written += data

    def abort(self) -> None:
        """Close the connection."""
        self.is_closed = True

    close = write_eof = abort

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.is_closed

    def get_extra_info(self, name: str) -> SimpleNamespace:
        """Return a socket whose options can be set."""
        return SimpleNamespace(setsockopt=lambda *option: None)

    def can_write_eof(self) -> bool:
        """Return that the write side can be closed alone."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return that all data was sent."""
        return 0


async def _create(factory):
    return factory()


def _matches(response: Response) -> bool:
    return response.header(b"other") is None


@given("a connection on which a request waits for its response")
def given_waiting_connection(context):
    """Create a connection without a network."""
    context.loop = new_event_loop()
    context.cleanups.append(context.loop.close)
    memory = ResponseMemory()
    context.conn = context.loop.run_until_complete(
        _create(lambda: ServerConnection(memory))
    )
    context.transport = FakeTransport()
    context.conn.connection_made(context.transport)
    context.pending = context.conn.send(b"request", _matches)
    context.cleanups.append(lambda: context.pending.done() and _ignore(context.pending))


def _ignore(fut: Future) -> None:
    fut.exception()


@when("the server sends {kind} in reads of 16 KiB")
def when_server_sends(context, kind):
    """Pass reads to the connection until it is closed."""
    context.sent_kib = 0
    for data in split_into_reads(RESPONSES[kind], 16 * KIB):
        context.conn.data_received(data)
        context.sent_kib += 16
        if context.transport.is_closed or context.sent_kib > MAX_SENT_KIB:
            return


@then("the response is lost after at most {kib:d} KiB")
def then_response_lost(context, kib):
    """Check the result and how much was read."""
    assert isinstance(context.pending.exception(), AnswerLost)
    assert context.sent_kib <= kib, context.sent_kib


@then("the connection is closed")
def then_connection_closed(context):
    """Check the transport."""
    assert context.transport.is_closed


@when("the server sends a body of {size:d} bytes in chunks of one byte")
def when_one_byte_chunks(context, size):
    """Send a complete chunked response."""
    context.conn.data_received(CHUNKED_HEAD + b"1\r\na\r\n" * size + b"0\r\n\r\n")


@then("the response has a body of {size:d} bytes")
def then_body_size(context, size):
    """Check the body."""
    assert context.pending.result().body == b"a" * size


@when("the server sends a chunked body with a trailer")
def when_trailer(context):
    """Send a complete response whose trailer looks like a header."""
    context.conn.data_received(CHUNKED_HEAD + b"1\r\na\r\n0\r\nRequest-Id: b\r\n\r\n")


@then("the response has no header of that name")
def then_no_trailer(context):
    """Check the headers."""
    response = context.pending.result()
    assert response.body == b"a"
    assert response.header(b"request-id") is None


@given("responses of which all together may hold {size:d} bytes")
def given_memory(context, size):
    """Create the limit and two responses."""
    context.memory = ResponseMemory(size)
    context.aborted_names = []
    context.responses = {
        name: lambda name=name: context.aborted_names.append(name)
        for name in ("short", "long")
    }


@when('"short" receives {first:d} bytes, "long" {long:d} and "short" {more:d} more')
def when_responses_grow(context, first, long, more):
    """Add the bytes in this order."""
    for name, size in (("short", first), ("long", long), ("short", more)):
        context.memory.add(context.responses[name], size)


@then('"long" is aborted and "short" is not')
def then_long_aborted(context):
    """Check which responses were aborted."""
    assert context.aborted_names == ["long"], context.aborted_names


@then("{size:d} bytes are held")
def then_bytes_held(context, size):
    """Check the total."""
    assert context.memory.total_bytes == size


@given("a server that sends {kind} in reads of 1 byte to every caller")
def given_slow_server(context, kind):
    """Start a server that sends a byte every 5 ms."""
    _start_endless_server(context, kind, 1)


@given("a server that sends {kind} to every caller")
def given_endless_server(context, kind):
    """Start a server that sends as fast as the connection takes it."""
    _start_endless_server(context, kind, SERVER_READ_BYTES)


def _start_endless_server(context, kind: str, size: int) -> None:
    context.threads = LoopThread()
    context.cleanups.append(context.threads.close)

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for data in split_into_reads(RESPONSES[kind], size):
            writer.write(data)
            await writer.drain()
            await sleep(BYTE_INTERVAL_S if size == 1 else 0)

    async def start() -> int:
        server = await start_server(ignore_disconnects(serve), "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    context.port = context.threads.run(start())


@when("a process sends requests on {count:d} connections to it at once")
def when_process_sends(context, count):
    """Run the process and parse its output."""
    command = [
        sys.executable,
        "-m",
        "features.steps.endless_client",
        str(context.port),
        str(count),
    ]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, timeout=PROCESS_TIMEOUT_S, check=True
    )
    context.result = json.loads(done.stdout)


@then("all {count:d} responses are lost")
def then_all_lost(context, count):
    """Check the process's count."""
    assert context.result["lost"] == count, context.result


@then("the process needed less than {limit_mb:d} MB")
def then_memory_bounded(context, limit_mb):
    """Check the peak of the resident memory."""
    assert context.result["peak_mb"] < limit_mb, context.result


@when("the threaded host's client reads the response for at most {limit_s:g} s")
def when_threaded_client_reads(context, limit_s):
    """Send a request and read head and body until an error or the limit."""
    pool = ThreadedPool(monotonic, lambda server: 1)
    conn = pool.acquire("s", f"127.0.0.1:{context.port}", False, True, False)
    deadline = monotonic() + limit_s
    context.is_lost = False
    send_request(conn, "GET", "/", HTTPHeaderDict(), None, False, limit_s)
    try:
        response = read_response_head(conn, deadline, monotonic)
        while read_body_chunk(conn, response, KIB, deadline, monotonic):
            pass
    except LostInThreadedHost:
        context.is_lost = True
    except AnswerLate:
        pass
    finally:
        pool.discard(conn)


@then("the response is lost within {limit_s:g} s")
def then_lost_in_time(context, limit_s):
    """Check that the framing was limited, and not only the time."""
    assert context.is_lost


@when("it is probed, or asked for an object, with 1 s for the response")
def when_probed(context):
    """Fetch with the client of the prober, and with that of the object store."""
    url = f"http://127.0.0.1:{context.port}"
    context.failures = []
    context.began_at = monotonic()
    try:
        manager = make_pool_manager(retries=False, timeout=Timeout(1.0))
        fetch(manager, "GET", url, monotonic() + 1.0, monotonic)
    except HTTPError as exc:
        context.failures.append(exc)
    try:
        budget = CallBudget(10.0, monotonic, CollectorRegistry())
        HttpStore(url, 1.0, budget).get("Pool", "a", "test")
    except StoreUnavailable as exc:
        context.failures.append(exc)


@then("both fail within {limit_s:g} s")
def then_both_failed(context, limit_s):
    """Check the errors and the time."""
    assert len(context.failures) == 2, context.failures
    assert monotonic() - context.began_at <= limit_s


@when("a request with a deadline of {seconds:g} s is sent to it")
def when_request_with_deadline(context, seconds):
    """Send a request and wait until the deadline."""

    async def send() -> bool:
        conn = await connect(("127.0.0.1", context.port), 5.0, ResponseMemory())
        request = encode_request(b"GET", b"/", [(b"host", b"server")], b"")
        try:
            async with async_timeout(seconds):
                await conn.send(request, _matches)
        except (TimeoutError, AnswerLost):
            return False
        finally:
            conn.close()
        return True

    context.is_complete = context.threads.run(send())


@then("the response is not complete within {seconds:g} s")
def then_not_complete(context, seconds):
    """Check that the wait ended without a response."""
    assert not context.is_complete


@given("a caller's connection with a limit of {kib:d} KiB on the head")
def given_caller_connection(context, kib):
    """Create a caller's connection without a network."""

    async def handle(req) -> Response:
        raise AssertionError("the request was complete")

    limits = CallerLimits(head_bytes=kib * KIB)
    context.loop = new_event_loop()
    context.cleanups.append(context.loop.close)
    port = CallerPort(handle, lambda: limits)
    context.conn = context.loop.run_until_complete(_create(port.create_protocol))
    context.limits = limits
    context.transport = FakeTransport()
    context.conn.connection_made(context.transport)


@when("the caller sends {kind} in reads of 1 KiB")
def when_caller_sends(context, kind):
    """Pass reads to the connection until it responds."""
    context.sent_kib = 0
    for data in split_into_reads(REQUESTS[kind], KIB):
        context.conn.data_received(data)
        context.sent_kib += 1
        if context.transport.written or context.sent_kib > MAX_SENT_KIB:
            return


@when("the caller sends one byte of the body each second for {count:d} s")
def when_caller_trickles(context, count):
    """Pass one byte at a time, on a clock that this step sets."""
    now = context.loop.time()
    context.loop.time = lambda: now
    context.conn.data_received(CHUNKED_REQUEST_HEAD)
    for _ in range(count):
        now += 1.0
        context.conn.data_received(b"1\r\na\r\n")
        context.conn.check_timeouts(now, context.limits)


@then("the caller gets status {status:d} after at most {kib:d} KiB")
def then_caller_status_in_time(context, status, kib):
    """Check the status and how much was read."""
    assert context.transport.written.startswith(b"HTTP/1.1 %d " % status)
    assert context.sent_kib <= kib, context.sent_kib


@then("the caller gets status {status:d}")
def then_caller_status(context, status):
    """Check the status."""
    assert context.transport.written.startswith(b"HTTP/1.1 %d " % status)
