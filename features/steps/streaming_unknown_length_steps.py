"""Steps for large responses of unknown length."""

from asyncio import IncompleteReadError, create_task, gather, sleep, wait_for
from dataclasses import dataclass

from behave import given, then, when
from streaming_steps import begin_request, let_servers, make_request

from damasktally.entry.body_streams import BodyStreams
from damasktally.entry.metrics import EntryMetrics
from damasktally.http1.body_memory import WINDOW_BYTES, BodyMemory
from damasktally.http1.messages import Request, Response
from damasktally.http1.response_memory import ResponseMemory
from features.steps.streaming_servers import body_of

READ_TIMEOUT_S = 15.0
UPLOAD_PARTS = 20
MIB = 1024 * 1024


@dataclass
class Received:
    """A response as a caller received it.

    :param is_complete: whether its framing says so.
    """

    head: str
    body: bytes
    is_complete: bool

    @property
    def form(self) -> str:
        """Return how its length is told."""
        if "transfer-encoding: chunked" in self.head:
            return "in chunks"
        return "with a length" if "content-length:" in self.head else "unknown"


async def read_response(reader) -> Received:
    """Read a response, up to its end or to that of its connection."""
    head = (await wait_for(reader.readuntil(b"\r\n\r\n"), READ_TIMEOUT_S)).decode()
    received = Received(head.lower(), b"", False)
    try:
        if received.form == "in chunks":
            while size := int(await wait_for(reader.readline(), READ_TIMEOUT_S), 16):
                received.body += await reader.readexactly(size)
                assert await reader.readexactly(2) == b"\r\n"
            assert await reader.readexactly(2) == b"\r\n"
        else:
            length = int(received.head.split("content-length:")[1].split("\r\n")[0])
            received.body = await reader.readexactly(length)
        received.is_complete = True
    except (IncompleteReadError, ConnectionError, ValueError):
        # The connection ended: a line that is cut off is no number.
        pass
    return received


async def ask_for_whole(port, path, version="1.1"):
    """Send a request, and read its response."""
    data = make_request(path).replace(b"HTTP/1.1", b"HTTP/" + version.encode())
    caller = await begin_request(port, data)
    try:
        return await read_response(caller.reader)
    finally:
        caller.writer.close()


@given("every server sends {size:d} bytes {framing} and then {fault}")
def given_broken(context, size, framing, fault):
    """Let the servers fail in a body of unknown length."""
    let_servers(context, context.conversations.unknown(size, framing, fault))


@given("every server sends {size:d} bytes in chunks")
def given_chunks(context, size):
    """Let the servers send chunks."""
    let_servers(context, context.conversations.unknown(size, "in chunks"))


@given("every server sends {size:d} bytes without a length")
def given_no_length(context, size):
    """Let the servers end each response with its connection."""
    let_servers(context, context.conversations.unknown(size, "without a length"))


@given("every server sends bytes without end")
def given_endless(context):
    """Let the servers send as long as the connection lasts."""
    let_servers(context, context.conversations.endless())


@given(
    "every server ends a response of {part:d} bytes without a length at once, and then "
    "{fault}"
)
def given_early_end(context, part, fault):
    """Let the servers end their responses before they have the request."""
    let_servers(context, context.conversations.end_early(part, fault))


@when(
    "an upload of {size:d} bytes {framing} to {path:S} is sent in {seconds:g} s while "
    "the response is read"
)
def when_uploaded(context, size, framing, path, seconds):
    """Send parts of a body evenly until the response has ended."""

    async def send_parts(writer):
        for start in range(0, size, size // UPLOAD_PARTS):
            part = body_of(size)[start : start + size // UPLOAD_PARTS]
            if framing == "in chunks":
                part = b"%x\r\n%b\r\n" % (len(part), part)
            writer.write(part)
            await writer.drain()
            await sleep(seconds / UPLOAD_PARTS)
        if framing == "in chunks":
            writer.write(b"0\r\n\r\n")

    async def send():
        is_chunked = framing == "in chunks"
        length = (
            "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
        )
        head = make_request(path, method="POST", extra=length + "\r\n")
        caller = await begin_request(context.port, head)
        sending = create_task(send_parts(caller.writer))
        context.received = await read_response(caller.reader)
        sending.cancel()
        await gather(sending, return_exceptions=True)
        caller.writer.close()

    context.loop_thread.run(send())


@then("it gets no response that is complete")
def then_none_complete(context):
    """Check that the server's response does not look complete."""
    received = context.received
    is_success = received.head.startswith("http/1.1 200 ")
    assert not (is_success and received.is_complete), received.head


@when("the whole response to {path:S} is read")
def when_asked(context, path):
    """Send a request, and read its response."""
    context.received = context.loop_thread.run(ask_for_whole(context.port, path))


@when("the whole response to {path:S} is read by a caller of HTTP/1.0")
def when_old_caller_asks(context, path):
    """Send a request of the version before chunks."""
    context.received = context.loop_thread.run(
        ask_for_whole(context.port, path, version="1.0")
    )


@when("{path:S} is read three times on one connection")
def when_asked_again(context, path):
    """Send one request after the other."""

    async def ask():
        caller = await begin_request(context.port, make_request(path, "r-0"))
        context.responses = [await read_response(caller.reader)]
        for number in (1, 2):
            caller.writer.write(make_request(path, f"r-{number}"))
            context.responses.append(await read_response(caller.reader))
        caller.writer.close()

    context.loop_thread.run(ask())


@then("it gets {size:d} bytes in a complete response {form}")
def then_complete(context, size, form):
    """Check the body, and how its length was told."""
    received = context.received
    assert received.head.startswith("http/1.1 200 "), received.head
    assert received.is_complete and received.form == form, received.head
    assert received.body == body_of(size), len(received.body)


@then("it gets an incomplete response")
def then_incomplete(context):
    """Check that the end is missing."""
    assert not context.received.is_complete, context.received.head


@then("it gets an incomplete response of at most {limit:d} MiB")
def then_cut_off(context, limit):
    """Check that the end is missing, and how much came."""
    assert not context.received.is_complete, context.received.head
    assert len(context.received.body) <= limit * MIB, len(context.received.body)


@then("it gets three complete responses of {size:d} bytes")
def then_three(context, size):
    """Check all responses."""
    for number, received in enumerate(context.responses):
        assert f"request-id: r-{number}\r\n" in received.head
        assert received.is_complete and received.body == body_of(size)


@then("the host held at most {kib:d} KiB of bodies for each reader")
def then_held_each(context, kib):
    """Check the peak."""
    most = kib * 1024 * len(context.callers)
    assert 0 < context.peak_bytes <= most, context.peak_bytes


@given(
    "bodies from {min_bytes:d} bytes are forwarded, and whole ones may take "
    "{max_bytes:d}"
)
def given_streams(context, min_bytes, max_bytes):
    """Create what decides on the bodies of a host."""
    context.streams = BodyStreams(
        min_bytes,
        max_bytes,
        BodyMemory(100 * WINDOW_BYTES),
        ResponseMemory(),
        EntryMetrics(),
    )


def make_reader():
    """Return a request whose connection can forward a response as it arrives."""
    req = Request(b"GET", b"/", [], b"", 0.0, 0.0, True)
    req.begin_stream = lambda req, head, length: UnreadStream()
    return req


class UnreadStream:
    """Response that is forwarded to a caller that reads nothing."""

    def grant(self):
        """Take memory."""


def is_forwarded(streams, req, size):
    """Return whether a response of a length is forwarded as it arrives."""
    return streams.open(req, Response(200, [], b""), size, 0) is not None


@when("responses of {size:d} bytes are {kind} until one is forwarded")
def when_announced(context, size, kind):
    """Begin responses until one is not received whole."""
    context.readers = []
    while not is_forwarded(context.streams, req := make_reader(), size):
        context.readers.append(req)
        if kind != "announced":
            context.streams.end_whole(req)
            context.streams.unsent.add(UnreadConnection(size))


class UnreadConnection:
    """Connection whose peer reads nothing."""

    def __init__(self, size):
        self._size = size

    def get_write_buffer_size(self):
        """Return the bytes that wait."""
        return self._size


@then("{count:d} are received whole before it")
def then_whole_count(context, count):
    """Check how many fitted into their part of the memory."""
    assert len(context.readers) == count, len(context.readers)


@then("a response of {size:d} bytes is received whole all the same")
def then_short_whole(context, size):
    """Check that short responses are not asked about."""
    assert size < context.streams.min_response_bytes


@then("a request body is forwarded or received whole")
def then_body_decided(context):
    """Check each row."""
    for row in context.table:
        is_large = context.streams.is_large(int(row["bytes"]), int(row["buffered"]))
        assert is_large == (row["forwarded"] == "yes"), row
