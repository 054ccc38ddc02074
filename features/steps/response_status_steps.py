"""Steps for responses whose status is none."""

from asyncio import start_server

from behave import given, then, when
from endless_steps import _matches
from entry_harness import LoopThread, ignore_disconnects, make_answer, send_request
from entry_steps import servers_by_preference

from damasktally.http1.outbound import AnswerLost

BODIES = {
    "with a length": b"Content-Length: 5\r\n\r\nwrong",
    "without a length": b"\r\nwrong",
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
    "to HEAD": b"Content-Length: 5\r\n\r\n",
}
"""Headers and body of a response by kind."""


@when("the server sends status {status:S} in a response {kind}")
def when_status_sent(context, status, kind):
    """Send a whole response, to a request with another method if need be."""
    if kind == "to HEAD":
        context.conn._pending_response = None
        context.pending = context.conn.send(b"request", _matches, head_only=True)
    head = b"HTTP/1.1 %s X\r\n" % status.encode()
    context.conn.data_received(head + BODIES[kind])


@then("the response is lost")
def then_lost(context):
    """Check that the attempt has failed before the connection ends."""
    assert context.pending.done()
    assert isinstance(context.pending.exception(), AnswerLost)


@given("the preferred server answers with status {status:S}")
def given_status(context, status):
    """Let one server answer all requests so."""
    servers_by_preference(context)[0].respond = lambda request: make_answer(
        request.headers["request-id"], status, body="wrong"
    )


@when("a caller sends {method:w} to {path:S}")
def when_sent(context, method, path):
    """Send a request that the server would get first."""
    body = b"" if method == "GET" else b"x" * 100
    context.answer = context.loop_thread.run(
        send_request(context.port, path, method, body=body)
    )


@then("the caller gets status {status:d} and no bytes of that server")
def then_other_answer(context, status):
    """Check the answer."""
    assert context.answer.status == status, context.answer
    assert b"wrong" not in context.answer.body, context.answer


@given("a server that answers every caller with status {status:S}")
def given_status_server(context, status):
    """Start a server that sends the status and a body with a length."""
    context.threads = LoopThread()
    context.cleanups.append(context.threads.close)
    answer = make_answer("r-1", status, body="wrong")

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        await reader.read()

    async def start() -> int:
        server = await start_server(ignore_disconnects(serve), "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    context.port = context.threads.run(start())


@then("both failed")
def then_both_failed(context):
    """Check the errors of the probe and of the call."""
    assert len(context.failures) == 2, context.failures
