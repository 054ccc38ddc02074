"""Steps for servers whose connections carry answers to earlier requests."""

from asyncio import sleep

from behave import given, then, when
from entry_harness import make_answer, read_body, send_request, wait_until

LATE_REJECTION = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
WORK_S = 0.05


@given(
    "every server sends a late rejection without an id when it gets the next request"
)
def given_late_rejections(context):
    """Let each connection carry a rejection before the answer to its second request."""
    context.runs = []

    def make_converse():
        used = set()

        async def converse(request, reader, writer):
            await read_body(reader, request.headers)
            request_id = request.headers["request-id"]
            if writer in used:
                writer.write(LATE_REJECTION)
            used.add(writer)
            context.runs.append(request_id)
            await sleep(WORK_S)
            writer.write(make_answer(request_id, body="done"))
            await writer.drain()
            return True

        return converse

    for server in context.servers:
        server.converse = make_converse()


@when("{count:d} callers read and write by turns")
def when_read_and_write(context, count):
    """Send reads, whose connections are kept, each followed by a write."""

    async def send():
        answers = []
        for number in range(count):
            path, method = (
                (f"/pay/{number}", "POST") if number % 2 else (f"/read/{number}", "GET")
            )
            answers.append(
                await send_request(
                    context.port, path, method, request_id=f"r-{number}", body=b"x"
                )
            )
        return answers

    context.answers = context.loop_thread.run(send())


@then("each write got 200 and ran once")
def then_once(context):
    """Count the runs of each write. Reads may be sent to another server."""
    numbers = range(1, len(context.answers), 2)
    runs = {number: context.runs.count(f"r-{number}") for number in numbers}
    assert set(runs.values()) == {1}, runs
    statuses = [context.answers[number].status for number in numbers]
    assert statuses == [200] * len(statuses), statuses


@then("a server's connection was reset within {limit_s:g} s")
def then_reset(context, limit_s):
    """Wait until a server sees the reset of a connection on which it works."""
    has_reset = lambda: any(server.resets for server in context.servers)
    context.loop_thread.run(wait_until(has_reset, limit_s))
