"""Steps for the connection of one caller, without a network."""

from asyncio import new_event_loop, sleep

from behave import given, then, when
from endless_steps import FakeTransport

from damasktally.fleet.model import CallerLimits
from damasktally.http1.inbound import CallerConnection, CallerPort
from damasktally.http1.messages import Response

HEAD_BYTES = 4096
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
    context.cleanups.append(context.loop.close)
    context.limits = CallerLimits(head_bytes=HEAD_BYTES)
    context.handled = []

    async def handle(req) -> Response:
        context.handled.append(req)
        return Response(200, [], b"")

    context.caller_port = CallerPort(handle, lambda: context.limits)


async def connect(context) -> CallerConnection:
    """Connect a caller to the port."""
    conn = context.caller_port.create_protocol()
    conn.connection_made(ReadingTransport())
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
