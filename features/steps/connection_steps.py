"""Steps for attempts to connect to a server or to the store."""

from asyncio import create_task, get_running_loop, new_event_loop, sleep, wait

from behave import then, when

from damasktally.http1.connecting import connect
from damasktally.http1.response_memory import ResponseMemory


@when("a connection attempt is refused and cancelled at each of {count:d} moments")
def when_attempts_cancelled(context, count):
    """Cancel an attempt a number of event loop iterations after it was refused."""
    context.outcomes = []

    async def attempt(iterations: int) -> tuple[bool, bool]:
        loop = get_running_loop()
        gate = loop.create_future()

        async def refuse(*args):
            await gate
            raise ConnectionRefusedError

        loop.create_connection = refuse
        task = create_task(connect(("127.0.0.1", 9), 5.0, ResponseMemory()))
        await sleep(0.01)
        gate.set_result(None)
        for _ in range(iterations):
            await sleep(0)
        was_pending = task.cancel()
        await wait([task])
        return was_pending, task.cancelled()

    for iterations in range(count):
        loop = new_event_loop()
        context.outcomes.append(loop.run_until_complete(attempt(iterations)))
        loop.close()


@then("each attempt that was cancelled before its end was cancelled")
def then_cancelled(context):
    """Check that no attempt went on with the refusal instead."""
    assert any(was_pending for was_pending, _ in context.outcomes)
    for was_pending, is_cancelled in context.outcomes:
        assert was_pending == is_cancelled, context.outcomes
