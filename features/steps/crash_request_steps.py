"""Steps for requests that end the servers that run them."""

from asyncio import create_task, gather, sleep
from random import Random

from behave import then, when
from entry_harness import send_request
from entry_steps import port_of

from damasktally.decisions.crash_suspects import CrashSuspects

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


@then("these losses and answers of a request block it or do not")
def then_blocked_by_cases(context):
    """Play the events of each row, a second apart unless it says otherwise."""
    for row in context.table:
        suspects = CrashSuspects()
        now = 0.0
        for event in row["events"].split(", "):
            now += float(event[:-2]) if event.endswith(" s") else 1.0
            suspects.remove_expired(now)
            if event.startswith("loss"):
                suspects.record_loss("f", event[5:], now)
            elif event == "answer":
                suspects.record_answer("f", now)
        assert (suspects.blocked_s("f", now) > 0) == (row["blocked"] == "yes"), row


@then("a request that was blocked is admitted {seconds:g} s after its first loss")
def then_block_ends(context, seconds):
    """Block a request at 2 s, whose losses count for a limited time each."""
    suspects = CrashSuspects()
    for number in range(3):
        suspects.record_loss("f", f"p-{number}", float(number))
    assert suspects.blocked_s("f", 2.0) == seconds - 2.0
    assert suspects.blocked_s("f", seconds + 0.1) == 0
    suspects.remove_expired(2 * seconds)
    assert len(suspects) == 0


@then("hosts agree whatever order and repetition their reports have")
def then_hosts_agree(context):
    """Exchange the reports of three hosts at random until nothing changes."""
    for seed in range(50):
        rng = Random(seed)
        hosts = [CrashSuspects() for _ in range(3)]
        for number in range(3):
            hosts[number].record_loss("bad", f"p-{number}", number * 0.1)
            hosts[0].record_loss("good", f"q-{number}", number * 0.1)
        hosts[0].record_answer("good", 0.3)
        for step in range(60):
            sender, receiver = rng.sample(hosts, 2)
            for report in sender.reports(0.4 + step * 0.1):
                receiver.merge(report, 0.4 + step * 0.1)
        ends = [round(host.blocked_s("bad", 7.0), 1) for host in hosts]
        assert max(ends) - min(ends) <= 0.1 and min(ends) > 500, (seed, ends)
        assert not any(host.blocked_s("good", 7.0) for host in hosts), seed


@then("a host remembers no more than {count:d} requests, and forgets the oldest first")
def then_bounded(context, count):
    """Record losses of more requests than are remembered."""
    suspects = CrashSuspects()
    for number in range(count + 100):
        for process in range(3):
            suspects.record_loss(f"f-{number}", f"p-{process}", float(number) / 100)
    assert len(suspects) == count
    assert suspects.blocked_s("f-0", 12.0) == 0
    assert suspects.blocked_s(f"f-{count + 99}", 12.0) > 0
