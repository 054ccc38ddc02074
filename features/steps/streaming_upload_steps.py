"""Steps for large request bodies that are forwarded as they arrive."""

from asyncio import create_task, gather, sleep, wait_for
from contextlib import suppress

from behave import given, then, when

from features.steps.entry_harness import wait_until
from features.steps.entry_steps import port_of, servers_by_preference
from features.steps.streaming_servers import PART_BYTES, body_of
from features.steps.streaming_steps import (
    READ_TIMEOUT_S,
    Caller,
    begin_request,
    let_servers,
    make_request,
    watch_held_bytes,
)

FORWARDED_HEADERS = (
    "damasktally-forwarded-by: host-9\r\ndamasktally-service: svc\r\n"
    "damasktally-attempts-left: 2\r\ndamasktally-configuration: 2\r\n"
)


async def begin_upload(
    port: int, path: str, size: int, first: int, request_id="r-1", extra="", key="k-1"
) -> Caller:
    """Send the head of an upload and the first bytes of its body."""
    extra += f"Content-Length: {size}\r\n"
    head = make_request(path, request_id, "POST", extra)
    head = head.replace(b"Key: k-1", b"Key: " + key.encode())
    caller = await begin_request(port, head + body_of(size)[:first])
    caller.upload, caller.sent = body_of(size), first
    return caller


async def send_rest(caller: Caller) -> None:
    """Send the rest of an upload, as far as it is taken."""
    with suppress(ConnectionError):
        while caller.sent < len(caller.upload):
            data = caller.upload[caller.sent : caller.sent + PART_BYTES]
            caller.writer.write(data)
            caller.sent += len(data)
            await caller.writer.drain()


async def send_upload(port: int, path: str, size: int, **fields) -> Caller:
    """Send an upload and read the response, which may come before its end."""
    caller = await begin_upload(port, path, size, 0, **fields)
    task = create_task(send_rest(caller))
    try:
        await caller.read_whole()
    finally:
        task.cancel()
    return caller


def upload_count(context) -> int:
    """Return how many request bodies were forwarded as they arrived."""
    metric = context.host._metrics.streamed_bodies.labels("request")
    return int(metric._value.get())


@given("every server receives bodies and answers")
def given_take(context):
    """Let the servers take whole bodies."""
    let_servers(context, context.conversations.take())


@given("every server receives bodies and answers with {size:d} bytes")
def given_take_and_send(context, size):
    """Let the servers take whole bodies and send large ones."""
    let_servers(context, context.conversations.take(answer_bytes=size))


@given("every server reads nothing of a body for {seconds:g} s")
def given_take_late(context, seconds):
    """Let the servers read late."""
    let_servers(context, context.conversations.take(seconds))


@given(
    "every server answers {status:d} after {first:d} bytes, with {extra}, and {fault}"
)
def given_early(context, status, first, extra, fault):
    """Let the servers answer before they have the whole body."""
    extra = "" if extra == "nothing" else f"{extra}\r\n"
    converse = context.conversations.answer_early(first, status, extra, fault)
    let_servers(context, converse)


@given("the preferred server has ended")
def given_ended(context):
    """End the server without a change of its entry."""

    async def end():
        servers_by_preference(context)[0].end()

    context.loop_thread.run(end())


@given("the preferred server resets connections after the head")
def given_resets(context):
    """Let the server end connections before it has a part of the body."""
    servers_by_preference(context)[0].converse = context.conversations.leave(0)


@given("the preferred server resets connections after a part of the body")
def given_resets_later(context):
    """Let the server end connections when it has a part of the body."""
    servers_by_preference(context)[0].converse = context.conversations.leave(1000)


@when("an upload of {size:d} bytes to {path:S} begins with {first:d} bytes")
def when_begins(context, size, path, first):
    """Send a part of an upload."""
    context.caller = context.loop_thread.run(
        begin_upload(context.port, path, size, first)
    )


@when(
    "an upload of {size:d} bytes to {path:S} with an unknown key begins with {first:d} "
    "bytes"
)
def when_begins_unknown(context, size, path, first):
    """Send a part of an upload of an unknown customer."""
    context.caller = context.loop_thread.run(
        begin_upload(context.port, path, size, first, key="k-9")
    )


@when("{count:d} uploads of {size:d} bytes to {path:S} begin with {first:d} bytes")
def when_many_begin(context, count, size, path, first):
    """Send a part of several uploads, and wait for the responses."""

    async def begin():
        context.callers = await gather(
            *(
                begin_upload(context.port, path, size, first, f"u-{n}")
                for n in range(count)
            )
        )
        await gather(*(caller.read_whole() for caller in context.callers))

    context.loop_thread.run(begin())


@then("all uploads are answered with {status:d} and their connections closed")
def then_all_closed(context, status):
    """Check all callers."""
    for caller in context.callers:
        context.caller = caller
        then_answered_and_closed(context, status)


@when("an upload of {size:d} bytes to {path:S} is sent")
def when_upload(context, size, path):
    """Send a whole upload."""
    context.refunds = []
    refund = context.host._quotas.refund
    context.host._quotas.refund = lambda customer: (
        context.refunds.append(customer.name),
        refund(customer),
    )
    context.caller = context.loop_thread.run(send_upload(context.port, path, size))


@when("a chunked upload of {size:d} bytes to {path:S} is sent")
def when_chunked(context, size, path):
    """Send an upload without a length."""

    async def send():
        data = make_chunked_upload(path, size) + b"0\r\n\r\n"
        context.caller = await begin_request(context.port, data)
        await context.caller.read_whole()

    context.loop_thread.run(send())


def make_chunked_upload(path, size):
    """Return a request with a body in chunks, without the last one."""
    extra = "Transfer-Encoding: chunked\r\n"
    chunk = b"%x\r\n%b\r\n" % (size, body_of(size)) if size else b""
    return make_request(path, method="POST", extra=extra) + chunk


@when("a chunked upload to {path:S} breaks off after {size:d} bytes")
def when_chunked_breaks_off(context, path, size):
    """Send a part of an upload without a length, then leave."""

    async def send():
        data = make_chunked_upload(path, size)
        caller = await begin_request(context.port, data)
        await sleep(0.3)
        caller.writer.transport.abort()
        await wait_until(lambda: context.conversations.gone == 1)

    context.loop_thread.run(send())


@then("a server saw the connection end in the body")
def then_body_broken_off(context):
    """Check that no server got all of the body."""
    context.loop_thread.run(wait_until(lambda: context.conversations.gone == 1))
    assert not context.conversations.bodies


@when("the rest of the upload is sent")
def when_rest(context):
    """Send the rest and read the response."""

    async def send():
        task = create_task(send_rest(context.caller))
        await context.caller.read_whole()
        task.cancel()

    context.loop_thread.run(send())


@when("the rest of the upload is sent {seconds:g} s later")
def when_rest_later(context, seconds):
    """Wait, send the rest and read the response."""
    context.loop_thread.run(sleep(seconds))
    when_rest(context)


@when("another upload of {size:d} bytes to {path:S} is sent")
def when_another(context, size, path):
    """Send one more upload on a connection of its own."""
    context.other = context.loop_thread.run(
        send_upload(context.port, path, size, request_id="r-2")
    )


@when("an upload of {size:d} bytes to {path:S} is sent for {seconds:g} s")
def when_sent_for(context, size, path, seconds):
    """Send what is taken within a time."""

    async def send():
        watch = create_task(watch_held_bytes(context))
        context.caller = await begin_upload(context.port, path, size, 0)
        context.sending = create_task(send_rest(context.caller))
        await sleep(seconds)
        watch.cancel()
        context.sent = context.caller.sent
        context.sending.cancel()

    context.loop_thread.run(send())


@then("the caller could not send all of it")
def then_not_all(context):
    """Check that reading from the caller was paused."""
    assert context.sent < len(context.caller.upload), context.sent


@when("the caller of the upload {breaks} the connection")
def when_breaks(context, breaks):
    """End the caller's connection."""

    async def end():
        writer = context.caller.writer
        writer.transport.abort() if breaks == "resets" else writer.close()

    context.loop_thread.run(end())


@then("a server has received {size:d} bytes")
def then_received(context, size):
    """Wait for the bytes."""
    conversations = context.conversations

    async def check():
        await wait_until(lambda: conversations.received_bytes == size, 1.0)

    context.loop_thread.run(check())


async def is_closed(caller: Caller, timeout_s: float) -> bool:
    """Return whether a caller's connection ends within a time."""
    try:
        return await wait_for(caller.reader.read(1), timeout_s) == b""
    except TimeoutError:
        return False
    except ConnectionError:
        return True


async def read_response(context) -> None:
    """Read the response unless it was read."""
    caller = context.caller
    if not caller.head:
        await caller.read_whole()


@then("the upload is answered with {status:d} and the connection stays open")
def then_answered(context, status):
    """Check the response and the connection."""
    context.loop_thread.run(read_response(context))
    head = context.caller.head
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "connection: close" not in head
    assert not context.loop_thread.run(is_closed(context.caller, 0.05))


@then("the upload is answered with {status:d} and the connection is closed")
def then_answered_and_closed(context, status):
    """Check the response and the connection."""
    context.loop_thread.run(read_response(context))
    head = context.caller.head
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "connection: close" in head
    assert context.loop_thread.run(is_closed(context.caller, 2.0))


@then("the answer names the request and the refusal {reason:S}")
def then_refusal_named(context, reason):
    """Check the headers by which another host recognises a refusal."""
    assert f"\r\ndamasktally-refusal: {reason}\r\n" in context.caller.head
    assert "\r\nrequest-id: r-1\r\n" in context.caller.head


@then("the answer to the upload has a Retry-After header")
def then_retry_after(context):
    """Check the header."""
    assert "\r\nretry-after: " in context.caller.head, context.caller.head


@then("the request was refunded to the customer's quota")
def then_refunded(context):
    """Check the refunds."""
    assert context.refunds == ["acme"], context.refunds


@then("a server received the body of {size:d} bytes")
def then_body(context, size):
    """Check all bytes."""
    bodies = context.conversations.bodies
    bodies = bodies or [server.received[-1].body for server in context.servers]
    assert body_of(size) in bodies, [len(body) for body in bodies]


@then("{count:d} request bodies were forwarded as they arrived")
def then_uploads(context, count):
    """Check the metric."""
    assert upload_count(context) == count, upload_count(context)


@then("an upload of {size:d} bytes that may be repeated uses the same connections")
def then_same_connections(context, size):
    """Send an upload of an idempotent route on the caller's connection."""
    assert count_new_connections(context, "/big/1", "r-2", size) == 0


@then("one that may run once uses a new connection to the server")
def then_new_connection(context):
    """Send an upload like the first one on the caller's connection."""
    assert count_new_connections(context, "/bigpay/1", "r-3", 40_000) == 1


def count_new_connections(context, path, request_id, size):
    """Send an upload, and return how many connections the host opened for it."""
    before = sum(server.connections for server in context.servers)
    extra = f"Content-Length: {size}\r\n"
    send_again(context, make_request(path, request_id, "POST", extra) + body_of(size))
    assert f"request-id: {request_id}" in context.caller.head
    return sum(server.connections for server in context.servers) - before


def send_again(context, data):
    """Send another request on the caller's connection, and receive the response."""
    caller = context.caller

    async def send():
        caller.writer.write(data)
        caller.body = b""
        await caller.read_head()
        await caller.read_body(caller.length)

    context.loop_thread.run(send())


@when("an upload of {size:d} bytes to {path:S} waits for 100 Continue")
def when_waits_for_continue(context, size, path):
    """Send the head, and the body after the interim response."""

    async def send():
        extra = "Expect: 100-continue\r\n"
        caller = await begin_upload(context.port, path, size, 0, extra=extra)
        await caller.read_head()
        context.interim = caller.head
        caller.head = ""
        await send_rest(caller)
        await caller.read_whole()
        context.caller = caller

    context.loop_thread.run(send())


@when("an upload of {size:d} bytes with an unknown key waits for 100 Continue")
def when_unknown_waits(context, size):
    """Send the head alone."""
    context.caller = context.loop_thread.run(
        begin_upload(
            context.port, "/big/1", size, 0, extra="Expect: 100-continue\r\n", key="k-9"
        )
    )


@then("the caller gets 100 Continue before the answer")
def then_continue(context):
    """Check both responses."""
    assert context.interim == "HTTP/1.1 100 Continue\r\n\r\n", context.interim
    assert context.caller.head.startswith("HTTP/1.1 200 ")


@then("the other upload is answered with {status:d} and a Retry-After header")
def then_other(context, status):
    """Check the other caller's response."""
    head = context.other.head
    assert head.startswith(f"HTTP/1.1 {status} "), head
    assert "\r\nretry-after: " in head


@then("{count:d} request was refused for memory")
def then_refused_for_memory(context, count):
    """Check the metric."""
    assert context.host._metrics.refused_for_memory._value.get() == count


@when("{count:d} uploads of {size:d} bytes and 3 small requests are sent in one packet")
def when_pipelined_uploads(context, count, size):
    """Send large and small requests in turn on one connection."""
    data = b""
    for number in range(count):
        extra = f"Content-Length: {size}\r\n"
        data += make_request("/bigpay/1", f"p-{2 * number}", "POST", extra)
        data += body_of(size)
        extra = "Content-Length: 3\r\n"
        data += make_request("/bigpay/1", f"p-{2 * number + 1}", "POST", extra)
        data += b"abc"
    context.caller = context.loop_thread.run(begin_request(context.port, data))


@then("{count:d} responses arrive in order")
def then_responses_in_order(context, count):
    """Read the responses one by one."""

    async def read_all():
        for number in range(count):
            length = await context.caller.read_head()
            await context.caller.read_body(length)
            assert f"request-id: p-{number}\r\n" in context.caller.head

    context.loop_thread.run(read_all())
    assert len(context.conversations.bodies) == count


@when("a reader sends a request to {path:S} and bytes that are no head behind it")
def when_malformed_behind(context, path):
    """Send a request and nonsense in one packet."""
    data = make_request(path) + b"\0\0 nonsense\r\n\r\n"
    context.caller = context.loop_thread.run(begin_request(context.port, data))


@then("the next response on the connection is {status:d}")
def then_next_response(context, status):
    """Read another head."""
    context.loop_thread.run(context.caller.read_head())
    assert context.caller.head.startswith(f"HTTP/1.1 {status} ")
    assert context.loop_thread.run(is_closed(context.caller, 2.0))


@when("the host is stopped, and the rest of the upload is sent {seconds:g} s later")
def when_stopped_upload(context, seconds):
    """Stop the host while an upload is under way."""

    async def stop():
        task = create_task(context.host.stop())
        await sleep(seconds)
        await send_rest(context.caller)
        await context.caller.read_whole()
        context.cut = await wait_for(task, READ_TIMEOUT_S)

    context.loop_thread.run(stop())


@when("another host forwards an upload of {size:d} bytes")
def when_forwarded_upload(context, size):
    """Send an upload as another host does."""
    port = port_of(context.settings, "forwarding")
    context.caller = context.loop_thread.run(
        send_upload(port, "/bigpay/1", size, extra=FORWARDED_HEADERS)
    )
