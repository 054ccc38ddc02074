"""Steps for a store that answers late, which is not one that is unavailable."""

from asyncio import sleep
from time import sleep as block

from behave import then, when
from eliot import add_destinations, remove_destination
from entry_harness import wait_until
from entry_steps import make_settings, port_of, start_host

from damasktally.decisions.store_calls import StoreCalls
from damasktally.events.catalogue import STORE_OUTAGE_BEGAN, STORE_OUTAGE_ENDED

OUTAGE_EVENTS = {STORE_OUTAGE_BEGAN.number, STORE_OUTAGE_ENDED.number}
STEP_S = 0.05
PROBE_INTERVAL_S = 0.6
CALL_TIMEOUT_S = 1.0


def record_outages(context):
    """Keep the log records of outages from now on.

    The first destination also gets records of before.
    """
    context.outage_records = []

    def keep(record):
        if record.get("event") in OUTAGE_EVENTS:
            context.outage_records.append(record)

    add_destinations(keep)
    context.outage_records.clear()
    context.add_cleanup(lambda: remove_destination(keep))


@when("all calls to the store take {delay_s:g} s since {seconds:g} s")
def when_slow(context, delay_s, seconds):
    """Let the store answer late from now on, and wait."""
    record_outages(context)
    context.store.answer_delay_s = delay_s
    context.loop_thread.run(sleep(seconds))


@when("one in {every:d} calls to the store take {delay_s:g} s since {seconds:g} s")
def when_partly_slow(context, every, delay_s, seconds):
    """Let the store answer some calls late from now on, and wait."""
    context.store.delayed_every = every
    when_slow(context, delay_s, seconds)


@when("all calls to the store take {delay_s:g} s {seconds:g} s, until now")
def when_was_slow(context, delay_s, seconds):
    """Let the store answer late for a time."""
    when_slow(context, delay_s, seconds)
    context.store.answer_delay_s = 0.0


@when("an entry host starts and is ready")
def when_host_starts(context):
    """Start a host and wait until it is ready, which takes several calls."""
    settings = make_settings(context.store.port)
    context.port = port_of(settings, "callers")

    async def begin():
        host = await start_host(context, settings)
        await wait_until(lambda: host.is_ready, 15.0)
        return host

    context.host = context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: [context.loop_thread.run(h.close()) for h in context.hosts]
    )


@when("the host stands still for {pause_s:g} s once")
def when_stands_still(context, pause_s):
    """Block the event loop of the host, and of the stand-ins."""
    when_stands_still_often(context, pause_s, 1)


@when("the host stands still for {pause_s:g} s, {count:d} times in a row")
def when_stands_still_often(context, pause_s, count):
    """Block the event loop several times, with short gaps."""
    record_outages(context)

    async def stand_still():
        for _ in range(count):
            block(pause_s)
            await sleep(0.2)

    context.loop_thread.run(stand_still())


@then("no host logged an outage of the store")
def then_no_outage(context):
    """Check the log records of outages."""
    assert not context.outage_records, context.outage_records[:2]


class CallModel:
    """Calls to a store that responds as a scenario asks, without a network."""

    def __init__(self):
        self.calls = StoreCalls()
        self.now = 0.0

    def wait(self, seconds):
        """Let time pass in steps, as the ticks of a host do."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.calls.update(self.now)

    def respond_after(self, latency_s):
        """Make a call that gets its response after a time."""
        call = self.calls.record_sent(self.now)
        self.wait(latency_s)
        self.calls.record_response(self.now, call)

    def time_out_for(self, seconds):
        """Make calls that get no response, one after the other."""
        until = self.now + seconds
        while self.now < until - STEP_S / 2:
            call = self.calls.record_sent(self.now)
            self.wait(min(CALL_TIMEOUT_S, until - self.now))
            self.calls.record_timeout(call)

    def refuse(self):
        """Make a call that the store refuses."""
        self.calls.record_failure(self.calls.record_sent(self.now), self.now)


def respond_to_all(latency_s):
    """Return a function that makes calls with the same response time."""

    def play(model):
        for _ in range(5):
            model.respond_after(latency_s)
            model.wait(PROBE_INTERVAL_S)
        model.calls.record_sent(model.now)
        model.wait(max(0.0, latency_s - STEP_S))

    return play


def respond_to_every_other(model):
    """Make pairs of calls, one of which is late."""
    for _ in range(4):
        model.respond_after(0.0)
        model.wait(PROBE_INTERVAL_S)
        model.respond_after(3.0)
    model.wait(PROBE_INTERVAL_S)


def suspend(model):
    """Suspend the host between calls and their responses."""
    calls = [model.calls.record_sent(model.now) for _ in range(2)]
    model.now += 3.0
    model.calls.update(model.now)
    model.wait(0.1)
    for call in calls:
        model.calls.record_response(model.now, call)


def time_out_once(model):
    """Make a single call without a response, and no other for a while."""
    model.calls.record_timeout(model.calls.record_sent(model.now))
    model.wait(3.0)


def cancel_all(model):
    """Give up calls before the store could respond."""
    for _ in range(8):
        call = model.calls.record_sent(model.now)
        model.wait(0.4)
        model.calls.record_cancelled(call)


def then_wait(play, seconds):
    """Return a function that lets time pass after calls."""

    def play_and_wait(model):
        play(model)
        model.wait(seconds)

    return play_and_wait


def then_respond(play):
    """Return a function that makes a call with a response after others."""

    def play_and_respond(model):
        play(model)
        model.respond_after(0.0)

    return play_and_respond


def time_out(model):
    """Make calls without a response for a while."""
    model.time_out_for(2.6)


CALLS = {
    "get responses after 4 ms": respond_to_all(0.0),
    "get responses after 1.9 s": respond_to_all(1.9),
    "get responses after 3 s since long": then_wait(respond_to_all(3.0), 0.0),
    "get responses after 3 s, every other one": respond_to_every_other,
    "get a response 3 s late, after a suspension": suspend,
    "get no response to one of them": time_out_once,
    "are cancelled": cancel_all,
    "get no response for 2.6 s": time_out,
    "get no response for 2.6 s, and then one": then_respond(time_out),
    "get no response for 2.6 s, 5.3 s ago": then_wait(time_out, 5.3),
    "are refused": CallModel.refuse,
    "are refused, and then get a response": then_respond(CallModel.refuse),
    "are refused, 5.1 s ago": then_wait(CallModel.refuse, 5.1),
}
"""What happens to calls, by name."""


@then("calls to the store that {calls} show that it is {expected:w}")
def then_calls_show(context, calls, expected):
    """Play the calls after one with a response, and check the conclusion."""
    model = CallModel()
    model.respond_after(0.0)
    model.wait(PROBE_INTERVAL_S)
    CALLS[calls](model)
    is_unavailable = model.calls.show_unavailable(model.now)
    assert is_unavailable == (expected == "unavailable")
