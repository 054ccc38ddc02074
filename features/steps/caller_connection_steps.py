"""Steps for the connection of one caller, without a network."""

from asyncio import all_tasks, new_event_loop, sleep
from errno import ENOTCONN
from gc import collect

from behave import given, then, when
from endless_steps import FakeTransport

from damasktally.fleet.model import CallerLimits
from damasktally.http1.inbound import CallerConnection, CallerPort
from damasktally.http1.messages import Response
from damasktally.http1.request_memory import RequestMemory

HEAD_BYTES = 4096
READ_BYTES = 1000
TURNS = 50
"""Turns of the event loop in which a request is handled."""
REQUEST_LINE = b"GET /read/1 HTTP/1.1\r\n"
HEAD_END = b"\r\n"


class ReadingTransport(FakeTransport):
    """Transport of which reading can be paused."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = True

    def pause_reading(self) -> None:
        """Pause."""
        self.reads = False

    def resume_reading(self) -> None:
        """Resume."""
        self.reads = True

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return self.reads

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Accept any limits."""


def exact_head(header: bytes) -> bytes:
    """Return a head of exactly the limit, made of one header over and over."""
    room = HEAD_BYTES - len(REQUEST_LINE) - len(HEAD_END)
    count, rest = divmod(room - len(b"b:\r\n"), len(header))
    filler = b"b:" + b"c" * rest + b"\r\n"
    head = REQUEST_LINE + header * count + filler + HEAD_END
    assert len(head) == HEAD_BYTES
    return head


def feed(conn: CallerConnection, data: bytes) -> None:
    """Pass some bytes to a connection as a read does."""
    conn.get_buffer(-1)[: len(data)] = data
    conn.buffer_updated(len(data))


@given("a port for callers with heads of up to 4096 bytes")
def given_port(context):
    """Create a port whose requests are all answered with status 200."""
    context.loop = new_event_loop()
    context.cleanups.append(lambda: end_loop(context.loop))
    context.limits = CallerLimits(head_bytes=HEAD_BYTES)
    context.handled = []

    async def handle(req) -> Response:
        context.handled.append(req)
        return Response(200, [], b"")

    context.caller_port = CallerPort(handle, lambda: context.limits)


def end_loop(loop) -> None:
    """Cancel what is still handled, and close an event loop."""
    for task in all_tasks(loop):
        task.cancel()
    loop.run_until_complete(sleep(0))
    loop.close()


async def connect(context, transport=None) -> CallerConnection:
    """Connect a caller to the port."""
    conn = context.caller_port.create_protocol()
    conn.connection_made(transport or ReadingTransport())
    return conn


def run_turns(context) -> None:
    """Let the event loop handle what was read."""

    async def wait():
        for _ in range(TURNS):
            await sleep(0)

    context.loop.run_until_complete(wait())


@when("a caller sends a head of exactly 4096 bytes of {header} in reads of {size:d} B")
def when_exact_head(context, header, size):
    """Send the whole head."""
    context.conn = context.loop.run_until_complete(connect(context))
    data = exact_head(header.encode().replace(b"|", b"\r\n"))
    for start in range(0, len(data), size):
        feed(context.conn, data[start : start + size])
    run_turns(context)


@then("its request is handled")
def then_handled(context):
    """Check that it was not refused."""
    assert len(context.handled) == 1, context.conn._transport.written


@when("a caller sends more headers of four bytes than the limit allows")
def when_too_many(context):
    """Send reads until the caller is refused."""
    context.conn = context.loop.run_until_complete(connect(context))
    feed(context.conn, REQUEST_LINE)
    for _ in range(HEAD_BYTES // 1024 + 1):
        feed(context.conn, b"a:\r\n" * 256)


@then("it gets status {status:d} and the host holds none of them")
def then_refused_and_dropped(context, status):
    """Check the response and what is kept until the connection ends."""
    written = context.conn._transport.written
    assert written.startswith(b"HTTP/1.1 %d " % status), written
    assert not context.conn._reader._head.headers


@given("memory for requests of {count:d} bytes, of which one of {small:d} is small")
def given_memory(context, count, small):
    """Create a port whose requests share that memory."""
    given_port(context)
    context.caller_port.memory = RequestMemory(count, small)
    context.callers = {}


def begin_body(context, caller: int, size: int) -> None:
    """Send a request without the last byte of its body."""
    conn = context.loop.run_until_complete(connect(context))
    context.callers[caller] = conn
    feed(conn, b"POST /pay/1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size)
    feed(conn, b"x" * (size - 1))


@when("callers {first:d} to {last:d} begin bodies of {size:d} bytes")
def when_bodies_begin(context, first, last, size):
    """Send all of each body but its last byte."""
    for caller in range(first, last + 1):
        begin_body(context, caller, size)


@given("{count:d} requests with bodies of {size:d} bytes are being handled")
def given_handled(context, count, size):
    """Complete requests whose handling does not end."""
    never = context.loop.create_future()

    async def wait(req) -> Response:
        await never

    handle, context.caller_port.handle = context.caller_port.handle, wait
    for number in range(count):
        begin_body(context, -1 - number, size)
        feed(context.callers[-1 - number], b"x")
    run_turns(context)
    context.caller_port.handle = handle


@then("callers {first:d} to {last:d} get status {status:d} with a Retry-After")
def then_refused(context, first, last, status):
    """Check that they are told when to come back."""
    for caller in range(first, last + 1):
        written = context.callers[caller]._transport.written
        assert written.startswith(b"HTTP/1.1 %d " % status), (caller, written)
        assert b"retry-after: " in written


@then("callers {first:d} to {last:d} have no response yet")
def then_waiting(context, first, last):
    """Check that they may complete their requests."""
    for caller in range(first, last + 1):
        assert not context.callers[caller]._transport.written, caller


@then("a request with a body of {size:d} bytes is served")
def then_served(context, size):
    """Send a whole request."""
    begin_body(context, 0, size)
    feed(context.callers[0], b"x")
    run_turns(context)
    assert context.callers[0]._transport.written.startswith(b"HTTP/1.1 200 ")


@then("the requests that are left take at most {count:d} bytes")
def then_memory_bounded(context, count):
    """Check the account."""
    assert 0 < context.caller_port.memory.total_bytes <= count


@when("they disconnect, send bytes that are no HTTP, send too much, and complete it")
def when_they_end(context):
    """End the four requests, each in another way."""
    first, second, third, fourth = (context.callers[n] for n in range(1, 5))
    first.connection_lost(None)
    feed(second, b"x" + b"\x00 no HTTP\r\n\r\n")
    feed(third, b"xGET / HTTP/1.1\r\n")
    while not third._transport.written:
        feed(third, b"a: b\r\n" * 100)
        run_turns(context)
    feed(fourth, b"x")
    run_turns(context)
    for conn in (second, third, fourth):
        conn.connection_lost(None)


@then("requests take no memory")
def then_released(context):
    """Check that the account is neither more nor less than zero."""
    run_turns(context)
    assert context.caller_port.memory.total_bytes == 0


@when("a caller sends {count:d} requests in reads of {size:d} B before any is handled")
def when_many_sent(context, count, size):
    """Send pipelined requests as far as the host reads; the rest waits."""
    context.conn = context.loop.run_until_complete(connect(context))
    data = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % number for number in range(count))
    reads = [data[start : start + size] for start in range(0, len(data), size)]
    context.unsent = feed_while_read(context.conn, reads)


def feed_while_read(conn: CallerConnection, reads: list[bytes]) -> list[bytes]:
    """Pass reads to a connection until it pauses; return those that are left."""
    while reads and conn._transport.is_reading():
        feed(conn, reads[0])
        reads = reads[1:]
    return reads


@then("at most {count:d} requests are held and reading is paused")
def then_few_held(context, count):
    """Check the queue before the event loop runs."""
    assert len(context.conn._queue) <= count, len(context.conn._queue)
    assert not context.conn._transport.is_reading()


@then("the caller gets all {count:d} responses in order")
def then_all_in_order(context, count):
    """Let the host handle and read on until nothing is left."""
    while len(context.handled) < count:
        run_turns(context)
        context.unsent = feed_while_read(context.conn, context.unsent)
    run_turns(context)
    targets = [req.target for req in context.handled]
    assert targets == [b"/%d" % number for number in range(count)], targets
    assert context.conn._transport.written.count(b"HTTP/1.1 200 ") == count
    assert context.caller_port.memory.total_bytes == 0
    assert context.conn._transport.is_reading()


@when("a caller sends {count:d} requests at once, and another one a single request")
def when_other_sends(context, count):
    """Send all of them before the event loop runs."""
    first = context.loop.run_until_complete(connect(context))
    other = context.loop.run_until_complete(connect(context))
    feed(first, b"GET / HTTP/1.1\r\n\r\n" * count)
    feed(other, b"GET /other HTTP/1.1\r\n\r\n")


@then("the other's request is among the first {count:d} that are handled")
def then_handled_soon(context, count):
    """Check the order of handling."""
    run_turns(context)
    first = [req.target for req in context.handled[:count]]
    assert b"/other" in first, first


class UnreadTransport(ReadingTransport):
    """Transport whose peer reads nothing."""

    def get_write_buffer_size(self) -> int:
        """Return that all that was written waits."""
        return len(self.written)


@when("a caller that reads nothing sends {count:d} requests")
def when_unread(context, count):
    """Send pipelined requests with a short idle timeout."""
    context.limits = CallerLimits(head_bytes=HEAD_BYTES, idle_timeout_s=0.2)
    context.conn = context.loop.run_until_complete(connect(context, UnreadTransport()))
    feed(context.conn, b"GET / HTTP/1.1\r\n\r\n" * count)


@then("1 request is handled until the caller reads")
def then_one_handled(context):
    """Check that the next one waits."""
    run_turns(context)
    assert len(context.handled) == 1, len(context.handled)


@then("the connection is aborted after the idle timeout")
def then_aborted(context):
    """Wait for it."""
    context.loop.run_until_complete(sleep(0.3))
    assert context.conn._transport.is_closed
    assert len(context.handled) == 1, len(context.handled)


@when("a caller sends empty lines of {line} for {size:d} bytes, then a request")
def when_empty_lines(context, line, size):
    """Send them in reads of 100 bytes."""
    context.conn = context.loop.run_until_complete(connect(context))
    ending = {"CR LF": b"\r\n", "LF": b"\n"}[line]
    for _ in range(size // 100):
        feed(context.conn, ending * (100 // len(ending)))
    if not context.conn._transport.written:
        feed(context.conn, b"\r\nGET / HTTP/1.1\r\n\r\n")
    run_turns(context)


@then("its request is refused")
def then_refused_too_long(context):
    """Check that the empty lines were too many."""
    written = context.conn._transport.written
    assert written.startswith(b"HTTP/1.1 431 "), written
    assert not context.handled


@when("a caller sends a body of {size:d} bytes in chunks of one byte in one read")
def when_small_chunks(context, size):
    """Send a whole request, and count how often the limits are looked up."""
    context.conn = context.loop.run_until_complete(connect(context))
    lookups = []

    def limits() -> CallerLimits:
        lookups.append(1)
        return context.limits

    context.caller_port.limits = limits
    feed(context.conn, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    lookups.clear()
    feed(context.conn, b"1\r\nx\r\n" * size + b"0\r\n\r\n")
    context.limit_lookups = len(lookups)
    run_turns(context)


@then("the limits were looked up at most {count:d} times")
def then_few_lookups(context, count):
    """Check the work of the read."""
    assert context.limit_lookups <= count, context.limit_lookups


@then("its request is handled with a body of {size:d} bytes")
def then_whole_body(context, size):
    """Check the body that is handled."""
    assert [req.body for req in context.handled] == [b"x" * size]


class EveryUpload:
    """Admission by which every body is forwarded as it arrives."""

    def is_large(self, byte_count: int, buffered_bytes: int) -> bool:
        """Return that every body is large."""
        return True

    def admit(self, body) -> bool:
        """Return that there is memory."""
        return True

    def end(self, body) -> None:
        """Release nothing."""


@given("bodies are forwarded as they arrive")
def given_uploads(context):
    """Admit all bodies."""
    context.caller_port.uploads = EveryUpload()


@when("a caller sends {part:d} of {size:d} bytes, and gets a response")
def when_answered_early(context, part, size):
    """Send a part of a body whose request is answered at once."""
    context.conn = context.loop.run_until_complete(connect(context))
    feed(context.conn, b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(part // READ_BYTES):
        feed(context.conn, b"x" * READ_BYTES)
    run_turns(context)
    assert context.conn._transport.written.startswith(b"HTTP/1.1 200 ")


@then("{count:d} bytes of the body wait in the host")
def then_waiting_bytes(context, count):
    """Check what the connection still holds."""
    assert context.conn._reader.upload.waiting_bytes == count


@when("callers send bodies in chunks of 1 and of 1000 bytes")
def when_chunk_sizes(context):
    """Send a few chunks on one connection each."""
    context.read_bytes = []
    for chunk in (b"1\r\nx\r\n", b"3e8\r\n" + b"x" * 1000 + b"\r\n"):
        conn = context.loop.run_until_complete(connect(context))
        feed(conn, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        feed(conn, chunk * 3)
        context.read_bytes.append(len(conn.get_buffer(-1)))


@then("the next reads take at most {small:d} and {large:d} bytes")
def then_read_sizes(context, small, large):
    """Check the buffers."""
    assert context.read_bytes == [small, large], context.read_bytes


class ResetTransport(ReadingTransport):
    """Transport whose peer has reset the connection, which was not noticed yet."""

    def write_eof(self) -> None:
        """Fail as the kernel does."""
        raise OSError(ENOTCONN, "Transport endpoint is not connected")


@when("a caller resets its connection just before its last response")
def when_reset(context):
    """Ask for the end of the connection."""
    context.task_errors = []
    context.loop.set_exception_handler(
        lambda loop, details: context.task_errors.append(details)
    )
    context.conn = context.loop.run_until_complete(connect(context, ResetTransport()))
    feed(context.conn, b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
    run_turns(context)
    collect()


@then("the connection is aborted and no task has failed")
def then_ended_quietly(context):
    """Check the transport, and what the event loop was told."""
    assert context.conn._transport.is_closed
    assert not context.task_errors, context.task_errors
