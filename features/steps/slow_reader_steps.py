"""Steps for callers that read responses slowly, or not at all."""

import socket
from asyncio import create_task, open_connection, sleep, wait_for
from time import monotonic

from behave import then, when
from streaming_steps import Caller, make_request

READ_BUFFER_BYTES = 4096
SEGMENT_BYTES = 1400
"""With longer ones, the kernel takes the whole response from the host on loopback."""
PARTS = 25
END_TIMEOUT_S = 15.0


async def begin_slow(port, data):
    """Send a request on a connection that takes few bytes unread."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.connect(("127.0.0.1", port))
    sock.setblocking(False)
    reader, writer = await open_connection(sock=sock, limit=READ_BUFFER_BYTES)
    writer.write(data)
    return Caller(reader, writer)


async def read_slowly(caller, seconds):
    """Read the whole response within some time, the first half of which passes first.

    The kernel would take more of it if the caller began to read at once.
    """
    length = await caller.read_head()
    await sleep(seconds / 2)
    for _ in range(PARTS):
        await caller.read_body(length // PARTS)
        await sleep(seconds / 2 / PARTS)


@when(
    "the host is stopped while a slow caller reads {size:d} bytes within {seconds:g} s"
)
def when_stopped(context, size, seconds):
    """Stop the host once the caller has the head."""

    async def stop():
        context.caller = await begin_slow(context.port, make_request("/big/1"))
        reading = create_task(read_slowly(context.caller, seconds))
        await sleep(0.2)
        context.cut = await context.host.stop()
        context.unread_at_stop = size - len(context.caller.body)
        await reading

    context.loop_thread.run(stop())


@then("at most {kib:d} KiB of it were unread as the stop ended")
def then_stop_waited(context, kib):
    """Check what the process would have left to the kernel."""
    assert context.unread_at_stop <= kib * 1024, context.unread_at_stop


@when(
    "a slow caller asks for {path:S} and to close the connection, and reads within "
    "{seconds:g} s"
)
def when_closing_read(context, path, seconds):
    """Read the only response of a connection slowly."""

    async def read():
        data = make_request(path, extra="Connection: close\r\n")
        context.caller = await begin_slow(context.port, data)
        await read_slowly(context.caller, seconds)

    context.loop_thread.run(read())


@when("a slow caller asks for {path:S} and to close the connection, and reads nothing")
def when_nothing_read(context, path):
    """Leave the only response of a connection unread until the host ends it."""

    async def wait_for_end():
        data = make_request(path, extra="Connection: close\r\n")
        context.caller = await begin_slow(context.port, data)
        await sleep(0.3)
        began_at = monotonic()
        connections = context.host._ports.callers.connections
        while connections and monotonic() - began_at < END_TIMEOUT_S:
            await sleep(0.05)
        context.ended_after_s = monotonic() - began_at

    context.loop_thread.run(wait_for_end())


@then("the host ends its connection {least:g} to {most:g} s later")
def then_ended(context, least, most):
    """Check when the connection ended."""
    assert least <= context.ended_after_s <= most, context.ended_after_s


@when("the host is stopped while a caller reads nothing of a response")
def when_stopped_unread(context):
    """Stop the host, and measure how long that takes."""

    async def stop():
        context.caller = await begin_slow(context.port, make_request("/big/1"))
        await sleep(0.3)
        began_at = monotonic()
        await wait_for(context.host.stop(), END_TIMEOUT_S)
        context.stop_s = monotonic() - began_at

    context.loop_thread.run(stop())


@then("the stop took {least:g} to {most:g} s")
def then_stop_took(context, least, most):
    """Check the duration of the stop."""
    assert least <= context.stop_s <= most, context.stop_s
