"""Steps for requests that end the servers that run them."""

from asyncio import create_task, gather, sleep

from behave import then, when
from entry_harness import send_request
from entry_steps import port_of

RESTART_S = 1.0
"""How long a server that ended is away."""


@when(
    "callers send {path}, which ends servers, {rate:d} times a second "
    "to all hosts for {seconds:g} s"
)
def when_bad_request(context, path, rate, seconds):
    """Send the same request again and again, besides others to all hosts.

    A server that received it closes its connections, is away for a while, and returns
    as another process.
    """
    loop = context.loop_thread.loop
    context.ended_at = []
    context.received_at = []
    restarts = set()

    async def restart(server):
        server.server.close()
        await sleep(RESTART_S)
        server.started = getattr(server, "started", 1) + 1
        await server.start()
        await context.store.write(
            "servers", server.id, server.registration(started=server.started)
        )

    def install(server):
        def respond(request):
            if path not in request.line:
                return server.default_answer(request)
            context.received_at.append(loop.time())
            context.ended_at.append(loop.time())
            restarts.add(create_task(restart(server)))
            return None

        server.respond = respond

    for server in context.servers:
        install(server)

    async def send(number, target):
        host = context.hosts[number % len(context.hosts)]
        await send_request(
            port_of(host._settings, "callers"), target, request_id=f"{target}/{number}"
        )

    async def run():
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(create_task(send(number, path)))
            tasks.append(create_task(send(number, f"/read/{number % 5}")))
            await sleep(1 / rate)
        await gather(*tasks, *restarts)

    context.loop_thread.run(run())


@then(
    "at most {count:d} servers receive it later than {seconds:g} s "
    "after it ended the third"
)
def then_stopped(context, count, seconds):
    """Count the requests that reached servers after hosts should know."""
    assert len(context.ended_at) >= 3, context.ended_at
    known_at = sorted(context.ended_at)[2] + seconds
    late = sum(at > known_at for at in context.received_at)
    assert late <= count, (late, len(context.received_at))


def ask_every_host(context, path):
    """Send a request to each host and return the answers."""

    async def run():
        return await gather(
            *(
                send_request(port_of(host._settings, "callers"), path)
                for host in context.hosts
            )
        )

    return context.loop_thread.run(run())


@then("{path} gets {status:d} with a Retry-After header from every host")
def then_refused(context, path, status):
    """Check that each host refuses the request at once."""
    for answer in ask_every_host(context, path):
        assert answer.status == status, answer
        assert "retry-after" in answer.headers, answer


@then("{path} is served by every host")
def then_all_serve(context, path):
    """Check that another request is served."""
    statuses = [answer.status for answer in ask_every_host(context, path)]
    assert set(statuses) == {200}, statuses
