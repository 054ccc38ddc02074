"""Steps for large responses that are forwarded as they arrive."""

import socket
from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    sleep,
    wait_for,
)
from dataclasses import dataclass

from behave import given, then, when
from eliot import add_destinations, remove_destination
from msgspec.structs import replace

from damasktally.entry.checks import run_entry_checks
from damasktally.entry.settings import LimitsSection
from damasktally.http1.body_memory import WINDOW_BYTES, BodyMemory
from features.steps.entry_harness import (
    DEFAULT_ROUTES,
    make_configuration,
    make_route,
    wait_until,
)
from features.steps.entry_steps import (
    count_received,
    make_settings,
    port_of,
    start_host,
)
from features.steps.streaming_servers import Conversations, body_of

LINK_MBPS = 8.0
"""A body of 10 kB takes 10 ms on this link."""
FAST_LINK_MBPS = 1000.0
"""A body of 1.25 MB takes 10 ms on this link."""
SMALL_BUFFER_BYTES = 4096
READ_TIMEOUT_S = 15.0
ROUTES = [
    *DEFAULT_ROUTES,
    make_route("big", "/big/", Timeout="15000ms"),
    make_route("bigpay", "/bigpay/", "non_idempotent", Timeout="15000ms"),
    make_route("short", "/short/", Timeout="600ms"),
]


@dataclass
class Caller:
    """A caller's connection, with what it has read and sent."""

    reader: StreamReader
    writer: StreamWriter
    head: str = ""
    body: bytes = b""
    upload: bytes = b""
    sent: int = 0

    async def read_head(self) -> int:
        """Read a head; return the length that it states."""
        data = await wait_for(self.reader.readuntil(b"\r\n\r\n"), READ_TIMEOUT_S)
        self.head = data.decode()
        lines = self.head.lower().split("\r\n")
        found = [line for line in lines if line.startswith("content-length:")]
        return int(found[0].split(":")[1]) if found else 0

    async def read_body(self, size: int) -> None:
        """Read bytes of the body, or as many as come."""
        try:
            self.body += await wait_for(self.reader.readexactly(size), READ_TIMEOUT_S)
        except IncompleteReadError as exc:
            self.body += exc.partial
        except ConnectionError:
            pass

    async def read_whole(self) -> None:
        """Read the rest of the response."""
        length = await self.read_head() if not self.head else self.length
        await self.read_body(length - len(self.body))

    @property
    def length(self) -> int:
        """Return the length that the head states."""
        return int(self.head.lower().split("content-length:")[1].split("\r\n")[0])


def make_request(
    path: str, request_id: str = "r-1", method: str = "GET", extra: str = ""
) -> bytes:
    """Return the bytes of a request without a deadline of its own."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nKey: k-1\r\n"
        f"Request-Id: {request_id}\r\nAffinity-Key: 7\r\n{extra}\r\n"
    ).encode()


async def begin_request(port: int, data: bytes, small_buffer: bool = False) -> Caller:
    """Connect and send a request."""
    sock = socket.socket()
    if small_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect(("127.0.0.1", port))
    sock.setblocking(False)
    reader, writer = await open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
    writer.write(data)
    return Caller(reader, writer)


async def ask(port: int, path: str, **fields) -> Caller:
    """Send a request and read its whole response."""
    caller = await begin_request(port, make_request(path, **fields))
    await caller.read_whole()
    return caller


async def watch_held_bytes(context) -> None:
    """Record the most bytes of bodies that the host held."""
    context.peak_bytes = 0
    while True:
        held = context.host._streams.held_bytes
        context.peak_bytes = max(context.peak_bytes, held)
        await sleep(0.002)


def streamed_count(context) -> int:
    """Return how many responses were forwarded as they arrived."""
    metric = context.host._metrics.streamed_bodies.labels("response")
    return int(metric._value.get())


def request_log(context) -> list[dict]:
    """Return the log entries of requests that ended."""
    return [entry for entry in context.log if "attempts" in entry]


@given("an entry host that forwards bodies of 10 kB or more as they arrive")
def given_streaming_host(context):
    """Start a host on a slow link."""
    start_streaming_host(context, LINK_MBPS)


@given("an entry host that receives bodies of up to 1.2 MB whole")
def given_whole_host(context):
    """Start a host on a fast link."""
    start_streaming_host(context, FAST_LINK_MBPS)


def start_streaming_host(context, link_mbps):
    """Start a host with routes that allow more time than others."""
    limits = LimitsSection(link_mbps=link_mbps)
    context.settings = replace(make_settings(context.store.port), limits=limits)
    context.port = port_of(context.settings, "callers")
    context.log = []
    add_destinations(context.log.append)
    context.add_cleanup(remove_destination, context.log.append)
    context.conversations = None

    async def begin():
        context.conversations = Conversations()
        limits = {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 60_000_000,
            "HeaderTimeout": "500ms",
            "IdleTimeout": "2000ms",
        }
        cfg = make_configuration(2, ROUTES, Limits=limits)
        await context.store.write("config", "main", cfg)
        host = await start_host(context, context.settings)
        await wait_until(lambda: host.is_ready)
        return host

    context.host = context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: [context.loop_thread.run(h.close()) for h in context.hosts]
    )


def let_servers(context, converse) -> None:
    """Give all servers a conversation."""
    for server in context.servers:
        server.converse = converse


@given("every server sends {first:d} of {size:d} bytes and waits for a signal")
def given_paused(context, first, size):
    """Let the servers stop in the middle."""
    let_servers(context, context.conversations.paused(first, size))


@given("every server sends bodies of {size:d} bytes")
def given_whole(context, size):
    """Let the servers send as fast as they can."""
    let_servers(context, context.conversations.whole(size))


@given("every server sends {first:d} of {size:d} bytes and then {fault}")
def given_broken(context, first, size, fault):
    """Let the servers fail in the middle."""
    let_servers(context, context.conversations.broken(first, size, fault))


@given("every server sends a second response after each body of {size:d} bytes")
def given_twice(context, size):
    """Let the servers send more than was asked for."""
    let_servers(context, context.conversations.twice(size))


@given(
    "every server sends a body of {size:d} bytes in {parts:d} parts with {ms:d} ms "
    "between them"
)
def given_parts(context, size, parts, ms):
    """Let the servers send slowly."""
    let_servers(context, context.conversations.slow(size, parts, ms / 1000))


@given("every server sends {size:d} bytes and cuts the connection after {after_s:g} s")
def given_cut(context, size, after_s):
    """Let the servers give up on what is not read."""
    let_servers(context, context.conversations.cut(size, after_s))


@given("every server sends a large response to another request first")
def given_other(context):
    """Let the servers send a response that does not match."""
    let_servers(context, context.conversations.other_first(40_000))


@given("every server answers a large response with {case}")
def given_special(context, case):
    """Let the servers send a response of another form."""
    let_servers(context, context.conversations.special(case, 40_000))


@given("the host has memory for {count:d} body that is forwarded as it arrives")
def given_memory(context, count):
    """Replace the memory of the host."""
    context.memory = BodyMemory(count * WINDOW_BYTES)
    context.host._streams._memory = context.memory


@when("a reader asks for {path:S} and reads {size:d} bytes of the body")
def when_reads_part(context, path, size):
    """Read a part of the response."""

    async def begin():
        context.caller = await begin_request(context.port, make_request(path))
        await context.caller.read_head()
        await context.caller.read_body(size)

    context.loop_thread.run(begin())


@when("a reader asks for {path:S}")
def when_reader_asks(context, path):
    """Send a request and read its head and body, or as much as comes."""
    context.caller = context.loop_thread.run(ask(context.port, path))


@when("a reader asks for {path:S} and to close the connection")
def when_asks_close(context, path):
    """Send a request that ends its connection."""
    extra = "Connection: close\r\n"
    context.caller = context.loop_thread.run(ask(context.port, path, extra=extra))


@when("the servers get the signal")
def when_signal(context):
    """Let the servers send the rest."""

    async def set_signal():
        context.conversations.signal.set()

    context.loop_thread.run(set_signal())


@then("the log shows no end of the request yet")
def then_not_ended(context):
    """Check that the request counts as running."""
    assert not request_log(context)
    assert context.host._ports.busy_connection_count == 1


def _own_loads(context) -> list[int]:
    loads = context.host._candidates.loads
    return sorted(loads._load(server.id).own for server in context.servers)


@then("the load of one server is 1 request")
def then_load(context):
    """Check the load that decisions use."""
    assert _own_loads(context) == [0, 1], _own_loads(context)


@then("no server has a request under way")
def then_no_load(context):
    """Check the load after the end."""

    async def check():
        await wait_until(lambda: _own_loads(context) == [0, 0])
        await wait_until(lambda: len(request_log(context)) == 1)

    context.loop_thread.run(check())
    assert request_log(context)[0]["reason"] == "answered"


@then("the caller gets the whole body of {size:d} bytes")
def then_whole(context, size):
    """Read the rest and check all bytes."""
    context.loop_thread.run(context.caller.read_whole())
    assert context.caller.head.startswith("HTTP/1.1 200 "), context.caller.head
    assert context.caller.body == body_of(size), len(context.caller.body)


@then("a second request is answered on the same connection to the server")
def then_reused(context):
    """Check that no connection was opened for another request."""
    before = sum(server.connections for server in context.servers)
    context.loop_thread.run(ask(context.port, "/big/1", request_id="r-2"))
    assert sum(server.connections for server in context.servers) == before


@then("the caller gets exactly the head that the host sends for {size:d} bytes")
def then_same_head(context, size):
    """Check all bytes of the response."""
    context.loop_thread.run(context.caller.read_whole())
    assert context.caller.head == (
        "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nx-kept: yes\r\n"
        f"content-length: {size}\r\n\r\n"
    ), context.caller.head
    assert context.caller.body == body_of(size)


@then("{count:d} responses were forwarded as they arrived")
def then_streamed(context, count):
    """Check the metric."""
    assert streamed_count(context) == count, streamed_count(context)


@then("the caller's connection ends after less than {size:d} bytes")
def then_cut(context, size):
    """Read until the end of the connection."""
    assert len(context.caller.body) < size
    assert context.caller.length == size

    async def read_end():
        return await wait_for(context.caller.reader.read(1), READ_TIMEOUT_S)

    try:
        assert context.loop_thread.run(read_end()) == b""
    except ConnectionError:
        pass


@then("the request ended as {reason}")
def then_reason(context, reason):
    """Check the log."""
    context.loop_thread.run(wait_until(lambda: request_log(context)))
    reasons = {entry["reason"] for entry in request_log(context)}
    assert reasons == {reason}, reasons


@when("{count:d} requests are sent to {path:S} one after the other")
def when_in_turn(context, count, path):
    """Send requests on one connection each."""

    async def send_all():
        return [
            await ask(context.port, path, request_id=f"r-{n}") for n in range(count)
        ]

    context.callers = context.loop_thread.run(send_all())


@then("each caller gets only the body of its own response")
def then_own_bodies(context):
    """Check heads and bodies, and that nothing follows."""
    for number, caller in enumerate(context.callers):
        assert f"request-id: r-{number}\r\n" in caller.head
        assert caller.body == body_of(40_000)
        context.loop_thread.run(sleep(0.02))
        assert not caller.reader._buffer


@then("each request came on another connection to a server")
def then_new_connections(context):
    """Check that no connection was used again."""
    connections = sum(server.connections for server in context.servers)
    assert connections == count_received(context) == len(context.callers)


@when("a reader asks for {path:S} and reads nothing for {seconds:g} s")
def when_reads_nothing(context, path, seconds):
    """Send a request and leave its response unread."""

    async def begin():
        watch = create_task(watch_held_bytes(context))
        context.caller = await begin_request(context.port, make_request(path), True)
        await sleep(seconds)
        watch.cancel()

    context.loop_thread.run(begin())


@then("a server could not send all of the body meanwhile")
def then_held_up(context):
    """Check that reading from the server was paused."""
    assert context.conversations.sent_all == 0


@then("a server could send all of the body")
def then_sent_all(context):
    """Wait for the end of the body at the server."""
    conversations = context.conversations
    context.loop_thread.run(wait_until(lambda: conversations.sent_all == 1))


@then("the host held at most {kib:d} KiB of bodies")
def then_held(context, kib):
    """Check the peak."""
    assert 0 < context.peak_bytes <= kib * 1024, context.peak_bytes


@when("the caller reads on")
def when_reads_on(context):
    """Read the rest."""
    context.loop_thread.run(context.caller.read_whole())


@when("{count:d} readers ask for {path:S} and read nothing for {seconds:g} s")
def when_many_read_nothing(context, count, path, seconds):
    """Leave many responses unread."""

    async def begin():
        watch = create_task(watch_held_bytes(context))
        requests = [make_request(path, f"m-{n}") for n in range(count)]
        context.callers = await gather(
            *(begin_request(context.port, data, True) for data in requests)
        )
        await sleep(seconds)
        watch.cancel()

    context.loop_thread.run(begin())


@then("all callers get the whole body of {size:d} bytes")
def then_all_whole(context, size):
    """Read all bodies."""

    async def read_all():
        await gather(*(caller.read_whole() for caller in context.callers))

    context.loop_thread.run(read_all())
    bad = [item for item in context.callers if item.body != body_of(size)]
    assert not bad, (len(bad), bad[0].head, len(bad[0].body))


@when("a reader of {path:S} leaves after {size:d} bytes of the body")
def when_leaves(context, path, size):
    """Close the caller's connection in the middle."""

    async def leave():
        caller = await begin_request(context.port, make_request(path))
        await caller.read_head()
        await caller.read_body(size)
        caller.writer.transport.abort()
        await sleep(0.1)

    context.loop_thread.run(leave())


@then("the host holds no memory for bodies")
def then_no_memory(context):
    """Check that everything was returned."""
    memory = context.host._streams._memory
    context.loop_thread.run(wait_until(lambda: memory.reserved_bytes == 0))
    assert context.host._streams.held_bytes == 0
    assert not memory._waiting


@when(
    "{count:d} readers of {path:S} read nothing for {seconds:g} s and then all that "
    "comes"
)
def when_late(context, count, path, seconds):
    """Leave responses unread for a while."""

    async def read_late():
        requests = [make_request(path, f"m-{n}") for n in range(count)]
        context.callers = await gather(
            *(begin_request(context.port, data, True) for data in requests)
        )
        await sleep(seconds)
        await gather(*(caller.read_whole() for caller in context.callers))

    context.loop_thread.run(read_late())


@then("they get less than {size:d} bytes each")
def then_less(context, size):
    """Check that each response was cut off."""
    assert all(0 < len(caller.body) < size for caller in context.callers)


@given("every server has {count:d} slots")
def given_slots(context, count):
    """Register the servers again with more slots."""

    async def write():
        known = context.host._view.servers
        for server in context.servers:
            server.slots = count
            spec = server.registration(started=2)
            await context.store.write("servers", server.id, spec)
        for server in context.servers:
            await wait_until(
                lambda name=server.id: known.get(name).server.slots == count
            )

    context.loop_thread.run(write())


@given("the kernel holds few bytes of the host's responses")
def given_small_send_buffer(context):
    """Bound the send buffers of all connections that callers open."""
    for sock in context.host._ports._servers[0].sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


@then("the server's connection is closed within {seconds:g} s")
def then_server_gone(context, seconds):
    """Check that the server noticed that the caller has left."""
    conversations = context.conversations
    context.loop_thread.run(wait_until(lambda: conversations.gone == 1, seconds))
    assert conversations.sent_all == 0


@when("a reader sends {method} for {path:S}")
def when_method(context, method, path):
    """Send a request with another method."""
    extra = "Content-Length: 0\r\n" if method == "POST" else ""

    async def send():
        data = make_request(path, method=method, extra=extra)
        context.caller = await begin_request(context.port, data)
        length = await context.caller.read_head()
        if method != "HEAD":
            await context.caller.read_body(length)

    context.loop_thread.run(send())


@then("the caller gets status {status:d} and {size:d} bytes")
def then_status_and_size(context, status, size):
    """Check the response."""
    assert context.caller.head.startswith(f"HTTP/1.1 {status} "), context.caller.head
    assert len(context.caller.body) == size, context.caller.body[:100]


@then("the response states a length of {size:d} bytes")
def then_states_length(context, size):
    """Check the header."""
    assert context.caller.length == size, context.caller.head


@when("a reader sends {count:d} requests to {path:S} in one packet")
def when_pipelined(context, count, path):
    """Send several requests at once on one connection."""
    data = b"".join(make_request(path, f"p-{n}") for n in range(count))
    context.caller = context.loop_thread.run(begin_request(context.port, data))


@then("it gets {count:d} bodies of {size:d} bytes in order")
def then_in_order(context, count, size):
    """Read the responses one by one."""

    async def read_all():
        for number in range(count):
            length = await context.caller.read_head()
            assert f"request-id: p-{number}\r\n" in context.caller.head
            context.caller.body = b""
            await context.caller.read_body(length)
            assert context.caller.body == body_of(size)

    context.loop_thread.run(read_all())


@when(
    "the host is stopped while a caller reads the body, and the signal comes "
    "{seconds:g} s later"
)
def when_stopped_midway(context, seconds):
    """Stop the host while a response is under way."""

    async def stop():
        context.caller = await begin_request(context.port, make_request("/big/1"))
        await context.caller.read_head()
        task = create_task(context.host.stop())
        await sleep(seconds)
        context.conversations.signal.set()
        await context.caller.read_whole()
        context.cut = await task

    context.loop_thread.run(stop())


@when("the host is stopped while a caller reads {size:d} bytes within {seconds:g} s")
def when_stopped_slow_reader(context, size, seconds):
    """Stop the host while its caller reads slowly."""

    async def stop():
        data = make_request("/big/1")
        context.caller = await begin_request(context.port, data, True)
        length = await context.caller.read_head()
        assert length == size
        task = create_task(context.host.stop())
        for _ in range(20):
            await context.caller.read_body(size // 20)
            await sleep(seconds / 20)
        context.cut = await task

    context.loop_thread.run(stop())


@then("the host closes the connection")
def then_closes(context):
    """Check that the connection ends after the response."""

    async def read_end():
        return await wait_for(context.caller.reader.read(1), 0.5)

    assert "connection: close\r\n" in context.caller.head
    assert context.loop_thread.run(read_end()) == b""


@when("another host forwards a request for {path:S}")
def when_forwarded(context, path):
    """Send a request as another host does."""
    extra = (
        "damasktally-forwarded-by: host-9\r\ndamasktally-service: svc\r\n"
        "damasktally-attempts-left: 2\r\ndamasktally-configuration: 2\r\n"
    )
    port = port_of(context.settings, "forwarding")
    context.caller = context.loop_thread.run(ask(port, path, extra=extra))


@when("{count:d} readers ask for {path:S} at once")
def when_callers_ask(context, count, path):
    """Send several requests, one shortly after the other."""

    async def begin():
        context.callers = []
        for number in range(count):
            data = make_request(path, f"m-{number}")
            context.callers.append(await begin_request(context.port, data))
            await sleep(0.05)

    context.loop_thread.run(begin())


@then("the host reserves memory for {count:d} body and {waiting:d} wait")
def then_reserved(context, count, waiting):
    """Check the windows."""
    memory = context.memory

    async def check():
        await wait_until(lambda: len(memory._waiting) == waiting)

    context.loop_thread.run(check())
    assert memory.reserved_bytes == count * WINDOW_BYTES


@given("memory for {count:d} bodies")
def given_windows(context, count):
    """Create a memory and bodies that record what they get."""
    context.memory = BodyMemory(count * WINDOW_BYTES)
    context.granted = []
    context.bodies = {
        name: lambda name=name: context.granted.append(name) for name in "abcd"
    }


@when("bodies a, b, c and d ask for memory")
def when_bodies_ask(context):
    """Ask in this order."""
    for name in "abcd":
        context.memory.request(context.bodies[name])


@then("a and b have it")
def then_a_b(context):
    """Check the first grants."""
    assert context.granted == ["a", "b"]


@when("c leaves and a ends twice")
def when_c_leaves(context):
    """Release a body that waits, and one that has memory."""
    for name in "caa":
        context.memory.release(context.bodies[name])


@then("b and d have it")
def then_b_d(context):
    """Check who came next."""
    assert context.granted == ["a", "b", "d"]
    assert context.memory.reserved_bytes == 2 * WINDOW_BYTES


@when("b and d end")
def when_b_d_end(context):
    """Release the rest."""
    for name in "bd":
        context.memory.release(context.bodies[name])


@then("no memory is reserved")
def then_none_reserved(context):
    """Check that all was returned."""
    assert context.memory.reserved_bytes == 0


@then('a host with {memory} MB of memory gets the messages "{messages}"')
def then_messages(context, memory, messages):
    """Run the checks of the settings."""
    limits = LimitsSection(memory_mb=float(memory))
    found = run_entry_checks(replace(context.settings, limits=limits))
    errors = [message for message in found if message.is_error]
    assert [message.id for message in errors] == messages.split(), found
    assert all(message.hint for message in errors)


@then('a host with {memory} MB of memory gets the messages ""')
def then_no_messages(context, memory):
    """Run the checks of the settings."""
    then_messages(context, memory, "")
