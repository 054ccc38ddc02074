"""Steps for requests and answers that offer another protocol."""

from asyncio import open_connection, sleep, timeout

from behave import given, then, when
from entry_harness import make_answer, read_answer
from entry_steps import count_received

OFFERS = {
    "h2c": (
        "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        "HTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA\r\n"
    ),
    "websocket": (
        "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
    ),
}
OFFER_HEADERS = {"connection", "upgrade", "http2-settings"}
BODY = "week=7;amount=1000"
CHUNKS = f"7\r\n{BODY[:7]}\r\n{len(BODY) - 7:x}\r\n{BODY[7:]}\r\n0\r\n\r\n"
BODIES = {
    "with a length": ("POST", f"Content-Length: {len(BODY)}\r\n", BODY, BODY),
    "in chunks": ("POST", "Transfer-Encoding: chunked\r\n", CHUNKS, BODY),
    "without a body": ("GET", "", "", ""),
    "with an empty body": ("POST", "Content-Length: 0\r\n", "", ""),
    "that awaits an interim answer": (
        "POST",
        f"Expect: 100-continue\r\nContent-Length: {len(BODY)}\r\n",
        BODY,
        BODY,
    ),
}
"""Method, headers, bytes on the wire and content of each body."""
PLAIN_BODY = "plain"


def make_head(method, request_id, extra):
    """Return the head of a request."""
    path = "/read/1" if method == "GET" else "/pay/1"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request_id}\r\n"
        f"Affinity-Key: 7\r\nKey: k-1\r\nDeadline-Ms: 2000\r\n{extra}\r\n"
    )


RAW_REQUESTS = {
    "CONNECT": "CONNECT other.example:443 HTTP/1.1\r\nHost: other.example\r\n\r\n"
    + make_head("GET", "r-2", ""),
    "the preface of HTTP/2": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "an offer with two lengths": make_head(
        "POST",
        "r-1",
        OFFERS["h2c"] + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
    )
    + CHUNKS,
    "an offer with a chunk that is none": make_head(
        "POST", "r-1", OFFERS["h2c"] + "Transfer-Encoding: chunked\r\n"
    )
    + "xyz\r\nnothing\r\n0\r\n\r\n",
}


async def send_parts(writer, parts, is_split):
    """Send some texts, byte by byte if asked to, with a pause between them."""
    for part in parts:
        pieces = part if is_split else [part]
        for piece in pieces:
            writer.write(piece.encode())
            await writer.drain()
            await sleep(0)
        await sleep(0.05)


async def read_final_answer(reader):
    """Read answers until one is not an interim one."""
    while True:
        answer = await read_answer(reader)
        if answer.status >= 200:
            return answer


async def read_rest(reader, seconds):
    """Return the bytes that arrive within some time, and whether the end did."""
    try:
        async with timeout(seconds):
            return await reader.read(), True
    except TimeoutError:
        return bytes(reader._buffer), False


def make_plain_request(request_id):
    """Return a request with a body and without an offer."""
    length = f"Content-Length: {len(PLAIN_BODY)}\r\n"
    return make_head("POST", request_id, length) + PLAIN_BODY


@when(
    "a caller offers {protocol:w} with a request {body}, sent {delivery}, "
    "between two plain ones"
)
def when_offered(context, protocol, body, delivery):
    """Send a request with an offer and others without, on the same connection."""
    method, framing, wire, content = BODIES[body]
    context.expected = [
        ("o-0", PLAIN_BODY.encode()),
        ("o-1", content.encode()),
        ("o-2", PLAIN_BODY.encode()),
    ]
    head = make_head(method, "o-1", OFFERS[protocol] + framing)
    first, last = make_plain_request("o-0"), make_plain_request("o-2")
    parts = [first + head + wire + last]
    if delivery == "with the body in a later one":
        parts = [first + head, wire + last]

    async def run():
        reader, writer = await open_connection("127.0.0.1", context.port)
        await send_parts(writer, parts, delivery == "byte by byte")
        context.answers = [await read_final_answer(reader) for _ in range(3)]
        context.rest, context.is_ended = await read_rest(reader, 0.2)
        writer.close()

    context.loop_thread.run(run())


def received_requests(context):
    """Return the requests that all servers got, by id."""
    return sorted(
        (item for server in context.servers for item in server.received),
        key=lambda item: item.headers["request-id"],
    )


@then("all three requests run with their whole bodies and are answered in order")
def then_all_run(context):
    """Compare what the servers and the caller got."""
    received = [
        (item.headers["request-id"], item.body) for item in received_requests(context)
    ]
    assert received == context.expected, received
    statuses = [item.status for item in context.answers]
    names = [item.headers.get("request-id") for item in context.answers]
    assert statuses == [200, 200, 200], context.answers
    assert names == ["o-0", "o-1", "o-2"], context.answers


@then("no more bytes follow the answers")
def then_nothing_follows(context):
    """Check that the connection is open and silent."""
    assert not context.rest and not context.is_ended, context.rest


@then("the servers get nothing of the offer")
def then_no_offer(context):
    """Check the headers that were passed on."""
    for item in received_requests(context):
        assert not OFFER_HEADERS & item.headers.keys(), item.headers


async def exchange(context, parts, is_split):
    """Send some texts on a connection; keep the answer and whether the end follows."""
    reader, writer = await open_connection("127.0.0.1", context.port)
    try:
        await send_parts(writer, parts, is_split)
    except ConnectionError:
        # The host may have closed the connection after its answer.
        pass
    context.answer = await read_answer(reader)
    context.rest, context.is_ended = await read_rest(reader, 1.0)
    writer.close()


@when('a caller offers h2c with a request with a length and "Connection: close"')
def when_last(context):
    """Offer a protocol with the last request of a connection."""
    method, framing, wire, _ = BODIES["with a length"]
    offer = OFFERS["h2c"].replace("Connection: ", "Connection: close, ")
    text = make_head(method, "r-1", offer + framing) + wire
    context.loop_thread.run(exchange(context, [text], False))


@when("a caller sends {request} in one packet")
def when_sent_at_once(context, request):
    """Send a request that cannot be handled."""
    context.loop_thread.run(exchange(context, [RAW_REQUESTS[request]], False))


@when("a caller sends {request} byte by byte")
def when_sent_in_bytes(context, request):
    """Send a request that cannot be handled, byte by byte."""
    context.loop_thread.run(exchange(context, [RAW_REQUESTS[request]], True))


@then("it is answered with {status:d}, and the connection ends")
def then_answered_and_ended(context, status):
    """Check the only answer."""
    assert context.answer.status == status, context.answer
    assert not context.rest and context.is_ended, context.rest


@when("a caller offers h2c with half of a body and leaves")
def when_half(context):
    """End the connection in the middle of a body."""
    method, framing, wire, _ = BODIES["with a length"]
    text = make_head(method, "r-1", OFFERS["h2c"] + framing) + wire[:5]

    async def run():
        _, writer = await open_connection("127.0.0.1", context.port)
        await send_parts(writer, [text], False)
        writer.close()
        await sleep(0.2)

    context.loop_thread.run(run())
    assert count_received(context) == 0


FIRST_ANSWERS = {
    "an interim answer with hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "an interim answer with an offer": (
        "HTTP/1.1 102 Processing\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    ),
    "a switch to another protocol": (
        "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
        "Upgrade: h2c\r\n\r\n"
    ),
}


@given("every server sends {answer} before its answer")
def given_first_answer(context, answer):
    """Send another answer first."""
    for server in context.servers:
        server.respond = lambda request, server=server: (
            FIRST_ANSWERS[answer].encode() + server.default_answer(request)
        )


@given("every server offers another protocol with its answer, {framing}")
def given_offering_servers(context, framing):
    """Offer a protocol with each answer."""
    offer = "Connection: Upgrade\r\nUpgrade: h2c\r\n"

    def respond(server, request):
        request_id = request.headers["request-id"]
        if framing == "with a length":
            return make_answer(request_id, body=server.id, extra=offer)
        return (
            f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\n{offer}"
            f"Transfer-Encoding: chunked\r\n\r\n{len(server.id):x}\r\n{server.id}\r\n"
            "0\r\n\r\n"
        ).encode()

    for server in context.servers:
        server.respond = lambda request, server=server: respond(server, request)


@then("the answer has no offer")
def then_answer_without_offer(context):
    """Check the headers of the caller's answer."""
    assert not {"upgrade"} & context.answer.headers.keys(), context.answer
