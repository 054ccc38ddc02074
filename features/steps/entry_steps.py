"""Steps that run an entry host against a stand-in store and stand-in servers."""

import json
from asyncio import create_task, gather, open_connection, sleep
from time import monotonic

from behave import given, then, when
from msgspec import convert

from damasktally.decisions.affinity import rank_servers
from damasktally.entry.host import EntryHost
from damasktally.entry.settings import EntrySettings
from damasktally.http1.request_memory import RequestMemory
from damasktally.standins.ports import free_port
from features.steps.entry_harness import (
    BOUNDS,
    CLOSE_MARKER,
    DEFAULT_ROUTES,
    LoopThread,
    StandInServer,
    StandInStore,
    make_answer,
    make_configuration,
    make_route,
    read_answer,
    send_request,
    wait_until,
)


def make_settings(store_port, name="host-1", **extra):
    """Return the settings of a host on free loopback ports."""
    ports = {
        key: f"127.0.0.1:{free_port()}"
        for key in ("callers", "readiness", "directory", "peers", "forwarding")
    }
    sections = {
        "host": {"name": name, "region": "north", "data_centre": "dc-1"},
        "listen": {**ports, "metrics_port": 0},
        "fleet": {"data_centres": json.dumps({"dc-1": "north", "dc-2": "south"})},
        "store": {"address": f"127.0.0.1:{store_port}"},
        "bounds": {"agreed": json.dumps(BOUNDS)},
    }
    sections["fleet"].update(extra)
    return convert(sections, EntrySettings)


def port_of(settings, which):
    """Return one of a host's ports."""
    return int(getattr(settings.listen, which).rpartition(":")[2])


async def start_host(context, settings):
    """Start a host; it is closed after the scenario."""
    host = EntryHost.from_config(settings)
    await host.start()
    context.hosts.append(host)
    return host


async def add_servers(context, count, **fields):
    """Start servers and register them."""
    for _ in range(count):
        server = StandInServer(id=f"s-{len(context.servers) + 1}", **fields)
        await server.start()
        context.servers.append(server)
        await context.store.write("servers", server.id, server.registration())


def servers_by_preference(context):
    """Return the servers in the order of preference for the requests' affinity key."""
    known = [
        record.server
        for record in (
            context.host._view.servers.get(item.id) for item in context.servers
        )
        if record is not None
    ]
    order = rank_servers(b"7", "north", {"north": known}, 2)
    by_id = {server.id: server for server in context.servers}
    return [by_id[name] for name in order]


def count_received(context):
    """Return how many requests the servers received in total."""
    return sum(len(server.received) for server in context.servers)


@given("a stand-in store with a configuration and {count:d} servers")
def given_store(context, count):
    """Start the stand-ins."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts = []
    context.servers = []
    context.store = StandInStore()

    async def begin():
        await context.store.start()
        cfg = make_configuration(1, DEFAULT_ROUTES)
        await context.store.write("config", "main", cfg)
        await add_servers(context, count)

    context.loop_thread.run(begin())


@given("an entry host that is ready")
def given_host(context):
    """Start a host and wait until it is ready."""
    context.settings = make_settings(context.store.port)
    context.port = port_of(context.settings, "callers")

    async def begin():
        host = await start_host(context, context.settings)
        await wait_until(lambda: host.is_ready)
        return host

    context.host = context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: [context.loop_thread.run(h.close()) for h in context.hosts]
    )


@given("an entry host whose store is empty")
def given_empty(context):
    """Start another host on a store without objects."""

    async def begin():
        store = StandInStore()
        await store.start()
        context.settings = make_settings(store.port, "host-2")
        context.host = await start_host(context, context.settings)

    context.loop_thread.run(begin())
    context.port = port_of(context.settings, "callers")


@given("{count:d} more servers")
def given_more(context, count):
    """Register more servers and wait until they are in the host's view."""

    async def add():
        await add_servers(context, count)
        await wait_until(
            lambda: len(context.host._view.servers) == len(context.servers)
        )

    context.loop_thread.run(add())


@given("the preferred server answers 503 without running the request")
def given_not_run(context):
    """Make the preferred server refuse requests without running them."""
    servers_by_preference(context)[0].respond = lambda request: make_answer(
        request.headers["request-id"], 503, extra="Not-Run: 1\r\n"
    )


@given("every server answers 503 without running the request")
def given_none_runs(context):
    """Make every server refuse requests without running them."""
    for server in context.servers:
        server.respond = lambda request: make_answer(
            request.headers["request-id"], 503, extra="Not-Run: 1\r\n"
        )


@when("a caller of {path} is refused")
def when_refused(context, path):
    """Send a request and check that it was refused."""
    send_and_keep_answer(context, path)
    assert context.answer.status == 503, context.answer


@then("it may return after at most {seconds:g} s")
def then_returns_soon(context, seconds):
    """Check the delay that the refusal names."""
    assert 0 < float(context.answer.headers["retry-after"]) <= seconds


@given("the preferred server answers 421")
def given_misdirected(context):
    """Make the preferred server answer as if another server had its address."""
    context.first = servers_by_preference(context)[0]
    context.first.respond = lambda request: make_answer(
        request.headers["request-id"], 421
    )


@given("the preferred server closes the connection after it received a request")
def given_broken(context):
    """Make the preferred server close the connection without an answer."""
    servers_by_preference(context)[0].respond = lambda request: None


ANSWER_FAULTS = {
    "a body that ends too early": lambda a: make_answer(
        a.headers["request-id"], body="part!", length=50
    ),
    "bytes that are no answer": lambda a: b"\x00\x01garbage\r\n\r\n",
    "an encoded body": lambda a: make_answer(
        a.headers["request-id"], body="x", extra="Content-Encoding: gzip\r\n"
    ),
    "headers without end": lambda a: b"HTTP/1.1 200 X\r\n" + b"A: b\r\n" * 20_000,
    "interim responses without end": lambda a: b"HTTP/1.1 103 X\r\n\r\n" * 100,
    "only another request's id": lambda a: make_answer("other", body="x"),
}


@given("every server answers with {fault}")
def given_fault(context, fault):
    """Make all servers send the same kind of invalid answer."""
    for server in context.servers:
        server.respond = ANSWER_FAULTS[fault]


@given("every server answers without a length and ends the connection")
def given_unframed(context):
    """Make the end of the connection mark the end of an answer."""

    def respond(request):
        request_id = request.headers["request-id"]
        head = f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\n\r\n"
        return head.encode() + b"s-1" + CLOSE_MARKER

    for server in context.servers:
        server.respond = respond


@given("every server sends a second answer after each answer")
def given_extra(context):
    """Make the servers send another answer after each one."""
    for server in context.servers:

        def respond(request, server=server):
            request_id = request.headers["request-id"]
            late = make_answer(request_id, body="late")
            return make_answer(request_id, body=server.id) + late

        server.respond = respond


@given("every server takes {seconds:g} s")
def given_slow(context, seconds):
    """Delay the answers of all servers."""
    for server in context.servers:
        server.delay_s = seconds


@given("the order in which the servers are preferred is known")
def given_order(context):
    """Record the order of preference."""
    context.first, context.second = servers_by_preference(context)


def send_and_keep_answer(context, *args, **fields):
    """Send one request; keep its answer and how long it took."""
    began = monotonic()
    context.answer = context.loop_thread.run(
        send_request(context.port, *args, **fields)
    )
    context.seconds = monotonic() - began


@when('a caller asks for {path} with key "{key}"')
def when_keyed(context, path, key):
    """Send a request with a key."""
    send_and_keep_answer(context, path, key=key)


@when('a caller asks for {path} with key ""')
def when_no_key(context, path):
    """Send a request without a key."""
    send_and_keep_answer(context, path, key=None)


@when("a caller asks for {path} with a customer header of its own")
def when_customer_header_sent(context, path):
    """Send a request whose own header names a customer."""
    send_and_keep_answer(context, path, key=None, extra="Tenant: other\r\n")


@when("a caller asks for {path}")
def when_asks(context, path):
    """Send a request."""
    send_and_keep_answer(context, path)


@when("a caller sends {method:w} /{path}")
def when_sends(context, method, path):
    """Send a request with a method."""
    body = b"x" * 1000 if method == "POST" else b""
    send_and_keep_answer(context, f"/{path}", method=method, body=body)


@when("the operator writes version {version:d} without key k-1 and with route {path}")
def when_version(context, version, path):
    """Write a configuration of another version."""
    tenants = [{"Name": "acme", "ApiKeys": ["k-2"], "RatePerS": 0, "Burst": 0}]
    cfg = make_configuration(
        version, [*DEFAULT_ROUTES, make_route("new", path)], Tenants=tenants
    )
    context.loop_thread.run(context.store.write("config", "main", cfg))


@when("the operator writes an unreadable configuration")
def when_unreadable(context):
    """Write a configuration without routes, of a newer version."""
    context.loop_thread.run(context.store.write("config", "main", {"Version": "r9"}))


@when("the operator gives customer acme 5 requests a second")
def when_limited(context):
    """Lower a customer's limit."""
    tenants = [{"Name": "acme", "ApiKeys": ["k-1"], "RatePerS": 5, "Burst": 5}]
    cfg = make_configuration(2, DEFAULT_ROUTES, Tenants=tenants)

    async def write():
        await context.store.write("config", "main", cfg)
        await wait_until(lambda: context.host._view.configuration.version == 2)

    context.loop_thread.run(write())


@when("{count:d} callers ask at once")
def when_many(context, count):
    """Send many requests at the same moment."""

    async def ask():
        return await gather(
            *(
                send_request(context.port, "/read/1", request_id=f"m-{i}")
                for i in range(count)
            )
        )

    context.answers = context.loop_thread.run(ask())


@when("{count:d} callers ask one after the other")
def when_in_turn(context, count):
    """Send requests one by one."""

    async def ask():
        return [
            await send_request(context.port, "/read/1", request_id=f"q-{i}")
            for i in range(count)
        ]

    context.answers = context.loop_thread.run(ask())


@when("a caller of {path} disconnects after {seconds:g} s")
def when_caller_disconnects(context, path, seconds):
    """Send a request and close the connection early."""

    async def disconnect():
        task = create_task(send_request(context.port, path, "POST"))
        await sleep(seconds)
        task.cancel()

    context.loop_thread.run(disconnect())


@when("{count:d} callers of {path} disconnect after {seconds:g} s")
def when_callers_disconnect(context, count, path, seconds):
    """Send requests one after the other and close each connection early."""

    async def disconnect_all():
        for _ in range(count):
            task = create_task(send_request(context.port, path))
            await sleep(seconds)
            task.cancel()
            await sleep(0.05)

    context.loop_thread.run(disconnect_all())


@when(
    "{size:d} bytes are sent to {path} by a caller that disconnects after {seconds:g} s"
)
def when_caller_with_body_disconnects(context, size, path, seconds):
    """Send a request with a body and close the connection early."""

    async def disconnect():
        body = b"x" * size
        task = create_task(send_request(context.port, path, "POST", body=body))
        await sleep(seconds)
        task.cancel()

    context.loop_thread.run(disconnect())


@then("the host buffers no bytes once the server has answered")
def then_released_once(context):
    """Wait for the answer and check the counted bytes, which must not be negative."""
    context.loop_thread.run(sleep(0.8))
    assert context.host._ports.callers.memory.total_bytes == 0


@given("the handler of requests raises an error")
def given_failing_handler(context):
    """Replace the handler of the callers' port."""

    async def fail(req):
        raise RuntimeError("handler")

    context.host._ports.callers.handle = fail


@when("the preferred server starts to drain")
def when_server_drains(context):
    """Write the state draining into a server's entry."""
    spec = context.first.registration("draining")

    async def write():
        await context.store.write("servers", context.first.id, spec)
        known = context.host._view.servers
        await wait_until(lambda: known.get(context.first.id).server.is_draining)

    context.loop_thread.run(write())


@when("the entry of the second server is removed")
def when_removed(context):
    """Remove a server's entry."""

    async def write():
        await context.store.write("servers", context.second.id, None)
        known = context.host._view.servers
        await wait_until(lambda: known.get(context.second.id) is None)

    context.loop_thread.run(write())


@when("data centre {name} is evacuated")
def when_evacuated(context, name):
    """Write an evacuation."""

    async def write():
        await context.store.write("evacuations", name, {})
        await wait_until(lambda: name in context.host._view.evacuated)

    context.loop_thread.run(write())


@when("the evacuation of {name} ends")
def when_evacuation_ends(context, name):
    """Remove an evacuation."""

    async def write():
        await context.store.write("evacuations", name, None)
        await wait_until(lambda: name not in context.host._view.evacuated)

    context.loop_thread.run(write())


MALFORMED_ENTRIES = {
    "with an unknown state": {
        "Addr": "127.0.0.1:1",
        "Info": {"Service": "svc", "Zone": "dc-1", "Slots": 4},
        "Status": {"State": "happy"},
    },
    "without an address": {
        "Info": {"Service": "svc", "Zone": "dc-1", "Slots": 4},
        "Status": {"State": "ready"},
    },
    "with a text for its slots": {
        "Addr": "127.0.0.1:1",
        "Info": {"Service": "svc", "Zone": "dc-1", "Slots": "many"},
        "Status": {"State": "ready"},
    },
    "that is a number": 7,
}


@when("a server entry {entry} is written")
def when_malformed_entry_written(context, entry):
    """Write a malformed server entry."""

    async def write():
        await context.store.write("servers", "forged", MALFORMED_ENTRIES[entry])
        await sleep(0.2)

    context.loop_thread.run(write())


@when(
    "the stand-in store answers nothing for {seconds:g} s and never on old connections"
)
def when_store_stops_answering(context, seconds):
    """Suppress all answers for a while, and on open connections for good."""

    async def suppress_answers():
        context.store.stop_answering()
        await sleep(seconds)
        context.store.is_silent = False

    context.loop_thread.run(suppress_answers())


@when("the stand-in store never answers on old connections")
def when_connections_go_stale(context):
    """Suppress answers on open connections while new ones work."""
    context.store.stop_answering()
    context.store.is_silent = False


@when("the stand-in store {fault}")
def when_store_fails(context, fault):
    """Make the store fail, or work again."""
    if fault == "works again":
        context.store.refusal_status = 0
        return
    if fault.startswith("answers"):
        context.store.refusal_status = int(fault.split()[1])
    context.loop_thread.run(context.store.compact())


@when("another {seconds:g} s pass")
def when_pass(context, seconds):
    """Wait."""
    context.loop_thread.run(sleep(seconds))


@when("the host is stopped while a caller waits for {path}")
def when_stopped(context, path):
    """Stop the host during a request."""

    async def stop():
        task = create_task(send_request(context.port, path, "POST"))
        await sleep(0.2)
        cut = await context.host.stop()
        return cut, await task

    context.cut, context.answer = context.loop_thread.run(stop())


async def send_raw(port, data, pause_s=0.0):
    """Send bytes and read one answer."""
    reader, writer = await open_connection("127.0.0.1", port)
    writer.write(data)
    await sleep(pause_s)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


LONG_HEADER = "X-Long: " + "a" * 5000 + "\r\n"
RAW_REQUESTS = {
    "a head that is too long": f"GET /read/1 HTTP/1.1\r\n{LONG_HEADER}\r\n",
    "a body that is too long": "POST /pay/1 HTTP/1.1\r\nContent-Length: 200000\r\n\r\n",
    "bytes that are no head": "\x00\x00 nonsense\r\n\r\n",
    "half a head and waits": "GET /read/1 HTT",
}


@when("the raw bytes of {case} are sent")
def when_raw_bytes_sent(context, case):
    """Send a request that violates a limit."""
    context.answer = context.loop_thread.run(
        send_raw(context.port, RAW_REQUESTS[case].encode())
    )


@when("a caller sends two requests in one packet")
def when_pipelined(context):
    """Send two requests without waiting for the first answer."""

    async def send():
        reader, writer = await open_connection("127.0.0.1", context.port)
        for name in ("p-1", "p-2"):
            writer.write(
                f"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {name}\r\n"
                "Affinity-Key: 7\r\nKey: k-1\r\n\r\n".encode()
            )
        answers = [await read_answer(reader), await read_answer(reader)]
        writer.close()
        return answers

    context.answers = context.loop_thread.run(send())


@then("the caller gets {status:d} with the body of a server")
def then_served(context, status):
    """Check a whole answer."""
    assert context.answer.status == status, context.answer
    ids = {server.id for server in context.servers}
    body = context.answer.body.decode().rstrip("!")
    assert body in ids, body
    assert context.answer.headers["request-id"] == "r-1"


@then("the caller gets {status:d} with a Retry-After header")
def then_refused(context, status):
    """Check a refusal."""
    assert context.answer.status == status, context.answer
    assert 0 < float(context.answer.headers["retry-after"]) < 2


@then("the caller gets {status:d} after {seconds:g} s")
def then_timed(context, status, seconds):
    """Check when an answer came."""
    assert context.answer.status == status, context.answer
    assert seconds - 0.1 <= context.seconds <= seconds + 0.4, context.seconds


@then("the caller gets {status:d} within {seconds:g} s")
def then_in_time(context, status, seconds):
    """Check that an answer came early enough."""
    assert context.answer.status == status, context.answer
    assert context.seconds <= seconds, context.seconds


@then("none of the servers is paused")
def then_none_paused(context):
    """Check that outlier detection pauses no server."""
    detector = context.host._candidates.outlier_detector
    now = context.host._loop.time()
    assert all(detector.is_usable(item.id, now) for item in context.servers)


@then("one of the servers is paused")
def then_paused(context):
    """Check that outlier detection pauses a server that failed requests."""
    detector = context.host._candidates.outlier_detector
    now = context.host._loop.time()
    assert not all(detector.is_usable(item.id, now) for item in context.servers)


@then("the caller gets {status:d}")
def then_status(context, status):
    """Check a status."""
    assert context.answer.status == status, context.answer


@then("the server got customer acme, the server's own id, no key and at most 1000 ms")
def then_headers(context):
    """Check the headers that were forwarded."""
    server = next(item for item in context.servers if item.received)
    headers = server.received[0].headers
    assert headers["tenant"] == "acme"
    assert headers["expect-instance"] == server.id
    assert "key" not in headers
    assert 0 < int(headers["deadline-ms"]) <= 1000
    assert headers["request-id"] == "r-1"


@then("the server got no customer")
def then_no_customer(context):
    """Check that a customer header of the caller is not forwarded."""
    server = next(item for item in context.servers if item.received)
    assert "tenant" not in server.received[0].headers


@then("no server got a request")
def then_nothing(context):
    """Check that nothing was forwarded."""
    assert count_received(context) == 0


@then("each server got {count:d} request")
def then_each(context, count):
    """Check how many requests each server received."""
    assert [len(server.received) for server in context.servers] == [count] * len(
        context.servers
    )


@then("the servers got {count:d} requests together")
@then("the servers got {count:d} request together")
def then_together(context, count):
    """Check how many requests the servers received in total."""
    assert count_received(context) == count, count_received(context)


@then("the preferred server received {count:d} requests")
@then("the preferred server received {count:d} request")
def then_first(context, count):
    """Check how many requests the preferred server received."""
    assert len(context.first.received) == count, len(context.first.received)


async def poll_status(context, key, path, status, limit_s):
    """Send requests until one gets a status or a time limit passes; return the last."""
    deadline = monotonic() + limit_s
    while True:
        got = await send_request(context.port, path, key=key)
        if got.status == status or monotonic() > deadline:
            return got.status
        await sleep(0.05)


@then("a caller with key {key} gets {status:d} within {seconds:g} s")
def then_within(context, key, status, seconds):
    """Check how soon a change takes effect."""
    got = context.loop_thread.run(poll_status(context, key, "/read/1", status, seconds))
    assert got == status, got


@then("a caller with key {key} gets {status:d} for {path}")
def then_gets(context, key, status, path):
    """Check the status of requests within half a second."""
    got = context.loop_thread.run(poll_status(context, key, path, status, 0.5))
    assert got == status, got


@then("each caller gets the answer to its own request")
def then_own_answers(context):
    """Check that no caller got the answer to another request."""
    for index, got in enumerate(context.answers):
        assert got.status == 200, got
        assert got.headers["request-id"] == f"q-{index}", got
        assert got.body != b"late", got


@then("a server's connection is closed within {seconds:g} s")
def then_cancelled(context, seconds):
    """Check that a request was cancelled at a server."""
    context.loop_thread.run(
        wait_until(
            lambda: any(server.early_disconnects for server in context.servers), seconds
        )
    )


@then("no server's connection is closed within {seconds:g} s")
def then_not_cancelled(context, seconds):
    """Check that the request was not cancelled."""
    context.loop_thread.run(sleep(seconds))
    assert not any(server.early_disconnects for server in context.servers)
    assert count_received(context) == 1


@then("that caller gets {status:d} and a header that ends the connection")
def then_ended(context, status):
    """Check the answer to a request in flight during a stop."""
    assert context.answer.status == status, context.answer
    assert context.answer.headers["connection"] == "close"


@then("the host aborted no request")
def then_none_aborted(context):
    """Check that a planned stop aborts nothing."""
    assert context.cut == 0


async def get_from_port(port, target):
    """Send a GET request to a port of the host and return the answer."""
    reader, writer = await open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    try:
        return await read_answer(reader)
    finally:
        writer.close()


@then("a look-up from region {region} returns this host")
def then_lookup(context, region):
    """Check a look-up."""
    port = port_of(context.settings, "directory")
    target = f"/resolve?Name=shop.example&Region={region}&Zone=dc-1"
    got = context.loop_thread.run(get_from_port(port, target))
    wire = json.loads(got.body)
    assert wire["Addrs"] == [context.settings.listen.callers], wire
    assert wire["Ttl"] == "2000ms"


@then("the host reports that it is ready")
def then_ready(context):
    """Check readiness."""
    port = port_of(context.settings, "readiness")
    assert context.loop_thread.run(get_from_port(port, "/readyz")).status == 200


@then("the host reports that it is not ready")
def then_not_ready(context):
    """Check readiness without a configuration."""
    port = port_of(context.settings, "readiness")
    assert context.loop_thread.run(get_from_port(port, "/readyz")).status == 503


@then("it gets both answers in order")
def then_both(context):
    """Check pipelined answers."""
    assert [got.headers["request-id"] for got in context.answers] == ["p-1", "p-2"]


@then("at least {count:d} of them get 429 with a Retry-After header")
def then_limited(context, count):
    """Check how many requests exceeded the customer's rate."""
    refused = [got for got in context.answers if got.status == 429]
    assert len(refused) >= count, len(refused)
    assert all(float(got.headers["retry-after"]) > 0 for got in refused)


@given("the host may buffer {count:d} bytes of bodies")
def given_body_limit(context, count):
    """Lower the host's limit on the memory of requests, of which none is small."""
    context.host._ports.callers.memory = RequestMemory(count, small_bytes=0)


@when("3 callers begin bodies of 1000 bytes and finish them later")
def when_bodies(context):
    """Send several bodies at once that are completed later."""

    async def send(number):
        reader, writer = await open_connection("127.0.0.1", context.port)
        head = (
            f"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: b-{number}\r\n"
            "Affinity-Key: 7\r\nKey: k-1\r\nContent-Length: 1000\r\n\r\n"
        )
        writer.write(head.encode() + b"x" * 900)
        await sleep(0.3)
        writer.write(b"x" * 100)
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def send_all():
        return await gather(*(send(number) for number in range(3)))

    context.answers = context.loop_thread.run(send_all())


@then("at least one of them gets 503 with a Retry-After header")
def then_bodies_refused(context):
    """Check that some bodies were refused instead of buffered."""
    refused = [got for got in context.answers if got.status == 503]
    assert refused, context.answers
    assert all(float(got.headers["retry-after"]) > 0 for got in refused)


@then("the host buffers no bytes afterwards")
def then_released(context):
    """Check that the buffers of refused and answered bodies are released."""
    context.loop_thread.run(
        wait_until(lambda: context.host._ports.callers.memory.total_bytes == 0)
    )


@when("the operator writes {count:d} versions in {seconds:g} s")
def when_versions_written(context, count, seconds):
    """Write versions in quick succession."""

    async def write():
        context.store.calls.clear()
        for version in range(2, 2 + count):
            cfg = make_configuration(version, DEFAULT_ROUTES)
            await context.store.write("config", "main", cfg)
            await sleep(seconds / count)

    context.last = 1 + count
    context.loop_thread.run(write())


@then("the last of them is in effect within {seconds:g} s")
def then_in_force(context, seconds):
    """Check that the last version takes effect."""
    view = context.host._view
    check = lambda: view.configuration.version == context.last
    context.loop_thread.run(wait_until(check, seconds))


@then("the host made at most {count:d} watch calls for them")
def then_few_calls(context, count):
    """Count the watch calls for the configuration."""
    watches = [line for line in context.store.calls if "/config?Watch" in line]
    assert len(watches) <= count, watches


@when('route /read/ has homes "{route_homes}" and customer acme has homes "{homes}"')
@when('route /read/ has homes "" and customer acme has homes "{homes}"')
@when('route /read/ has homes "{route_homes}" and customer acme has homes ""')
@when('route /read/ has homes "" and customer acme has homes ""')
def when_homes(context, route_homes="", homes=""):
    """Set the home regions of a route and a customer."""
    tenants = [{"Name": "acme", "ApiKeys": ["k-1"], "HomeRegions": homes.split()}]
    routes = [make_route("read", "/read/", HomeRegions=route_homes.split())]
    cfg = make_configuration(2, routes, Tenants=tenants)

    async def write():
        await context.store.write("config", "main", cfg)
        await wait_until(lambda: context.host._view.configuration.version == 2)

    context.loop_thread.run(write())
