"""Steps for requests that end the servers that run them."""

from asyncio import create_task, gather, sleep
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from entry_harness import make_answer, send_request, wait_until
from entry_steps import port_of, start_host
from msgspec import ValidationError, to_builtins

from damasktally.decisions.crash_suspects import BlockChanges, CrashSuspects
from damasktally.entry.blocked_requests import decode_block, encode_block
from damasktally.entry.fingerprint import fingerprint_of
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.fleet.crash_reports import CrashEntry, CrashReport
from damasktally.fleet.model import Server
from damasktally.http1.messages import Request

BLOCKED_KIND = "damasktally-blocked-requests"
RESTART_S = 1.5
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
        server.end()
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


@when(
    "callers send {path}, which ends servers without a trace, {rate:d} times a second "
    "to all hosts for {seconds:g} s"
)
def when_bad_request_unnoticed(context, path, rate, seconds):
    """Send it to servers whose next processes do not register."""

    restarts = set()

    async def restart(server):
        server.end()
        await sleep(RESTART_S)
        await server.start(server.port)

    def install(server):
        def respond(request):
            if path not in request.line:
                return make_answer("r-1")
            restarts.add(create_task(restart(server)))
            return None

        server.respond = respond

    for server in context.servers:
        install(server)

    async def run():
        for number in range(int(rate * seconds)):
            host = context.hosts[number % len(context.hosts)]
            await send_request(port_of(host._settings, "callers"), path)
            await sleep(1 / rate)
        await gather(*restarts)

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
        assert answer.body == b"ends-servers", answer


@then("{path} is served by every host")
def then_all_serve(context, path):
    """Check that another request is served."""
    statuses = [answer.status for answer in ask_every_host(context, path)]
    assert set(statuses) == {200}, statuses


@then("these losses and answers of a request block it or do not")
def then_blocked_by_cases(context):
    """Play the events of each row, a second apart unless it says otherwise."""
    for row in context.table:
        suspects = CrashSuspects("h")
        now = 0.0
        for event in row["events"].split(", "):
            now += float(event[:-2]) if event.endswith(" s") else 1.0
            suspects.remove_expired(now)
            if event.startswith("loss"):
                suspects.record_loss("f", event[5:], 0, now)
            elif event == "answer":
                suspects.record_answer("f", now)
            elif event.startswith("alive"):
                suspects.record_alive(event[6:], now)
        now += 1.0
        assert (suspects.blocked_s("f", now) > 0) == (row["blocked"] == "yes"), row


@then("a request that was blocked is admitted {seconds:g} s after its first loss")
def then_block_ends(context, seconds):
    """Block a request at 2 s, whose losses count for a limited time each."""
    suspects = CrashSuspects("h")
    for number in range(3):
        suspects.record_loss("f", f"p-{number}", 0, float(number))
    assert suspects.blocked_s("f", 2.0) == 0
    assert suspects.blocked_s("f", 3.0) == seconds - 3.0
    assert suspects.take_block_changes(3.0) == BlockChanges(["f"], [])
    assert suspects.take_block_changes(3.2) == BlockChanges([], [])
    assert suspects.blocked_s("f", seconds + 0.1) == 0
    assert suspects.take_block_changes(seconds + 0.1) == BlockChanges([], ["f"])
    suspects.remove_expired(2 * seconds)
    assert len(suspects) == 0


@then("hosts agree whatever order and repetition their reports have")
def then_hosts_agree(context):
    """Exchange the reports of three hosts at random until nothing changes."""
    for seed in range(50):
        rng = Random(seed)
        hosts = [CrashSuspects("h") for _ in range(3)]
        for number in range(3):
            hosts[number].record_loss("bad", f"p-{number}", 0, number * 0.1)
            hosts[0].record_loss("good", f"q-{number}", 0, number * 0.1)
        hosts[0].record_answer("good", 0.3)
        for step in range(60):
            sender, receiver = rng.sample(hosts, 2)
            for report in sender.reports(0.4 + step * 0.1):
                receiver.merge(report, 0.4 + step * 0.1)
        ends = [round(host.blocked_s("bad", 7.0), 1) for host in hosts]
        assert max(ends) - min(ends) <= 0.1 and min(ends) > 500, (seed, ends)
        assert not any(host.blocked_s("good", 7.0) for host in hosts), seed


def exchange_reports(hosts, now, rounds=2):
    """Pass the reports of each host on to all others."""
    for _ in range(rounds):
        for sender in hosts:
            reports = list(sender.reports(now))
            for receiver in hosts:
                for report in reports:
                    receiver.merge(report, now)


@then(
    "{many:d} losses that one host knows are exonerated by an answer "
    "at another that knows {few:d}"
)
def then_answer_exonerates_all(context, many, few):
    """Let two hosts lose responses of a request, one of which then gets an answer."""
    first, second = CrashSuspects("h"), CrashSuspects("h")
    for number in range(many):
        first.record_loss("f", f"p-{number}", 0, number * 0.01)
    for number in range(few):
        second.record_loss("f", f"p-{number}", 0, number * 0.01)
    assert first.blocked_s("f", 2.0) > 0
    second.record_answer("f", 2.0)
    for number in range(4):
        exchange_reports([first, second], 2.1 + number * 0.5)
    assert first.blocked_s("f", 4.2) == 0
    assert second.blocked_s("f", 4.2) == 0


@then(
    "a host that was cut off for {seconds:g} s learns of the exoneration on its return"
)
def then_late_host_learns(context, seconds):
    """Exonerate a request while a host that blocks it is cut off."""
    cut_off, other, third = CrashSuspects("h"), CrashSuspects("h"), CrashSuspects("h")
    for number in range(3):
        cut_off.record_loss("f", f"p-{number}", 0, 0.0)
    exchange_reports([cut_off, other, third], 1.0)
    other.record_answer("f", 1.1)
    exchange_reports([other, third], 1.2)
    now = 1.2
    while now < seconds:
        now += 1.0
        other.remove_expired(now)
        third.remove_expired(now)
    assert cut_off.blocked_s("f", now) > 0
    exchange_reports([cut_off, other, third], now)
    for host in (cut_off, other, third):
        assert host.blocked_s("f", now) == 0


@then("hosts agree that a request is blocked that ended servers after an answer")
def then_later_losses_count(context):
    """Let a request be answered, and lose its responses at three servers later."""
    hosts = [CrashSuspects("h"), CrashSuspects("h")]
    hosts[0].record_loss("f", "p-0", 0, 0.0)
    exchange_reports(hosts, 0.1)
    hosts[1].record_answer("f", 0.5)
    exchange_reports(hosts, 0.6)
    for number in range(3):
        hosts[number % 2].record_loss("f", f"q-{number}", 0, 5.0 + number * 0.1)
    exchange_reports(hosts, 5.4)
    for host in hosts:
        assert host.blocked_s("f", 7.0) > 0


@then("a host remembers no more than {count:d} requests, and forgets the oldest first")
def then_bounded(context, count):
    """Record losses of more requests than are remembered."""
    suspects = CrashSuspects("h")
    for number in range(count + 100):
        for process in range(3):
            suspects.record_loss(f"f-{number}", f"p-{process}", 0, float(number) / 100)
    assert len(suspects) == count
    assert suspects.blocked_s("f-0", 12.0) == 0
    assert suspects.blocked_s(f"f-{count + 99}", 12.0) > 0


@when("all hosts are killed and start again")
def when_all_restart(context):
    """Close all hosts at once, and start others with the same settings."""

    async def restart():
        await sleep(1.2)
        settings = [host._settings for host in context.hosts]
        await gather(*(host.close() for host in context.hosts))
        context.hosts.clear()
        for item in settings:
            await start_host(context, item)
        await wait_until(lambda: all(host.is_ready for host in context.hosts))
        await sleep(0.5)

    context.loop_thread.run(restart())


@when("the servers forget what they received")
def when_forgotten(context):
    """Begin to count anew."""
    context.received_at.clear()


@then("no server received it")
def then_none_received(context):
    """Check that the request reached no server."""
    assert not context.received_at, context.received_at


@when("the store comes back from a copy without blocked requests")
def when_blocks_lost(context):
    """Block another request, then restore a copy that has no blocked ones."""

    async def restore():
        context.store.era = 1
        suspects = context.hosts[0]._crash_suspects
        reports = context.hosts[0]._blocked_requests._reports
        for number in range(3):
            server = Server(f"x-{number}", "svc", ("h", 1), "dc-0", 4, False, 0.0, 1)
            reports.record_attempt("f", server, Attempt("x", AttemptOutcome.LOST, 0.1))
        now = context.hosts[0]._loop.time
        await wait_until(lambda: suspects.blocked_s("f", now()) > 0)
        await wait_until(lambda: "f" in context.store.objects[BLOCKED_KIND])
        copy = context.store.make_copy()
        copy.objects[BLOCKED_KIND] = {}
        await wait_until(lambda: context.hosts[0]._store.era == 1)
        await sleep(0.5)
        await context.store.restore(copy)

    context.loop_thread.run(restore())


@then("within {seconds:g} s the store has the blocked request again")
def then_block_stored(context, seconds):
    """Wait until a host wrote it again."""
    store = context.store
    context.loop_thread.run(
        wait_until(lambda: "f" in store.objects.get(BLOCKED_KIND, {}), seconds)
    )


class SimulatedCrashes:
    """A fleet that blocks requests which lost responses at the same servers.

    The first request ends each server that it reaches.

    :param seed: names the hosts.
    """

    def __init__(self, seed, host_count, request_count):
        self.hosts = [CrashSuspects(f"h-{seed}-{n}") for n in range(host_count)]
        self.names = [f"f-{seed}-{n}" for n in range(request_count)]
        self.ended = 0
        for number, host in enumerate(self.hosts[:3]):
            for name in self.names:
                host.record_loss(name, f"p-{number}", 0, number * 0.1)
        exchange_reports(self.hosts, 0.4)
        self.served_at = {name: 0.0 for name in self.names[1:]}

    def run(self, rate, seconds):
        """Send each request to each host, and pass reports on twice a second."""
        steps = int(seconds * rate)
        for step in range(steps):
            now = 1.0 + step / rate
            for host in self.hosts:
                for name in self.names:
                    self._send(host, name, now)
            exchange_reports(self.hosts, now + 0.3, rounds=1)

    def _send(self, host, name, now):
        if host.blocked_s(name, now) > 0 and not host.take_trial(name, now):
            self.served_at.pop(name, None)
            return
        if name == self.names[0]:
            self.ended += 1
            host.record_loss(name, f"q-{self.ended}", 1, now)
            return
        host.record_answer(name, now)
        self.served_at.setdefault(name, now)


@given(
    "{hosts:d} hosts that block {requests:d} requests, lost at the same servers, "
    "1 of which ends servers"
)
def given_blocked_together(context, hosts, requests):
    """Simulate 50 fleets without network."""
    context.fleets = [SimulatedCrashes(seed, hosts, requests) for seed in range(50)]


@when(
    "callers send both requests to every host {rate:d} times a second for {seconds:g} s"
)
def when_sent_to_simulated(context, rate, seconds):
    """Let each fleet run."""
    for fleet in context.fleets:
        fleet.run(rate, seconds)


@then("within {seconds:g} s every host serves the one that ends no server")
def then_served_again(context, seconds):
    """Check since when no host refused it."""
    for fleet in context.fleets:
        served_at = fleet.served_at.get(fleet.names[1])
        assert served_at is not None and served_at <= seconds, fleet.served_at


@then("the other one ends at most {count:d} more servers, in each of {fleets:d} fleets")
def then_few_more_ended(context, count, fleets):
    """Count the servers that trials ended."""
    ended = [fleet.ended for fleet in context.fleets]
    assert len(ended) == fleets and max(ended) <= count, ended


@given("the host blocked {good} and {bad}, which ends servers, {seconds:g} s ago")
def given_blocked_earlier(context, good, bad, seconds):
    """Record the losses of both, as of requests without a customer."""
    suspects = context.host._crash_suspects
    context.received = []

    def install(server):
        def respond(request):
            context.received.append(request.line.split(" ")[1])
            return None if bad in request.line else server.default_answer(request)

        server.respond = respond

    async def block():
        now = context.host._loop.time() - seconds
        for path in (good, bad):
            headers = [(b"host", b"shop.example")]
            request = Request(b"GET", path.encode(), headers, b"", 0.0, 0.0, True)
            fingerprint = fingerprint_of(request, SimpleNamespace(name="acme"))
            for number in range(3):
                suspects.record_loss(fingerprint, f"p-{number}", 0, now)
            assert suspects.blocked_s(fingerprint, now + seconds) > 0

    for server in context.servers:
        install(server)
    context.loop_thread.run(block())


@when("each of them is sent {count:d} times, the latter first")
def when_both_sent(context, count):
    """Send them in turn, and keep the statuses by path."""
    context.statuses = {"/read/bad": [], "/read/1": []}

    async def run():
        for _ in range(count):
            for path, statuses in context.statuses.items():
                answer = await send_request(context.port, path)
                statuses.append(answer.status)

    context.loop_thread.run(run())


@then("{path} was answered each time")
def then_answered_each_time(context, path):
    """Check the statuses."""
    assert set(context.statuses[path]) == {200}, context.statuses


@then("{path} was sent to 1 server and refused each other time")
def then_tried_once(context, path):
    """Check that the trial was not repeated at another server."""
    assert context.received.count(path) == 1, context.received
    assert sorted(context.statuses[path]) == [502, 503, 503], context.statuses


@given("three servers lost their responses to a request, which is stored")
def given_stored_block(context):
    """Let the host block a request, and copy the store with its object."""

    async def block():
        suspects = context.host._crash_suspects
        for number in range(3):
            suspects.record_loss("f", f"p-{number}", 0, context.host._loop.time())
        await wait_until(lambda: "f" in context.store.objects.get(BLOCKED_KIND, {}))
        context.store_copy = context.store.make_copy()

    context.loop_thread.run(block())


@when("a server answers the request")
def when_answered(context):
    """Record an answer, as if it had been sent before the block was known."""
    context.host._crash_suspects.record_answer("f", context.host._loop.time())


@when(
    "the store refuses calls for {seconds:g} s, and a server answers the request "
    "meanwhile"
)
def when_answered_in_silence(context, seconds):
    """Let the store refuse calls before and after the answer."""

    async def refuse():
        context.store.refusal_status = 503
        context.host._crash_suspects.record_answer("f", context.host._loop.time())
        await sleep(seconds)
        context.store.refusal_status = 0

    context.loop_thread.run(refuse())


@when("the store comes back from the copy that has the blocked request, twice")
def when_block_restored(context):
    """Restore the copy; the host learns of each new era."""

    async def restore():
        context.store.era = 1
        await wait_until(lambda: context.host._store.era == 1)
        for _ in range(2):
            await context.store.restore(context.store_copy)
            await sleep(1.0)

    context.loop_thread.run(restore())


@then("within {seconds:g} s the store has no blocked request")
def then_no_block_stored(context, seconds):
    """Wait until the host removed it."""
    store = context.store
    context.loop_thread.run(
        wait_until(lambda: not store.objects.get(BLOCKED_KIND), seconds)
    )


@then("a block that is stored survives a host's clock that is wrong by {seconds:g} s")
def then_survives_clock(context, seconds):
    """Encode at one time, and decode at clocks that differ."""
    entries = tuple(CrashEntry(f"p-{n}", 0, 1.0, False) for n in range(3))
    spec = to_builtins(encode_block(CrashReport("f", entries), 1000.0))
    for difference in (-seconds, 0.0, seconds):
        suspects = CrashSuspects("h")
        suspects.merge(decode_block("f", spec, 1000.0 + difference), 50.0)
        assert suspects.blocked_s("f", 51.0) > 0, difference


@then("an expired or malformed object blocks nothing")
def then_expired_ignored(context):
    """Decode objects that must not block."""
    entries = tuple(CrashEntry(f"p-{n}", 0, 1.0, False) for n in range(3))
    spec = to_builtins(encode_block(CrashReport("f", entries), 1000.0))
    assert not decode_block("f", spec, 1600.0).entries
    for malformed in (
        {},
        {"lost_ms": {"p": 1}},
        {"lost_ms": 3},
        {"lost_ms": {"p": "soon"}},
        [],
        None,
    ):
        try:
            decode_block("f", malformed, 1000.0)
        except ValidationError:
            continue
        raise AssertionError(malformed)


@given("another request has lost a response")
def given_other_loss(context):
    """Record the loss of a response to a request that nobody sends."""
    context.host._crash_suspects.record_loss("other", "p", 0, context.host._loop.time())


@then("no request is suspected but that one")
def then_none_suspected(context):
    """Check what the host remembers."""
    assert len(context.host._crash_suspects) == 1, (
        context.host._crash_suspects._suspects
    )


@when("the servers lose all answers to {path}, and serve others, for {seconds:g} s")
def when_answers_lost(context, path, seconds):
    """Send one request whose answers are lost, and many others."""

    def install(server):
        server.respond = lambda request: (
            None if path in request.line else server.default_answer(request)
        )

    for server in context.servers:
        install(server)

    async def run():
        for number in range(int(seconds / 0.02)):
            host = context.hosts[number % len(context.hosts)]
            port = port_of(host._settings, "callers")
            target = path if number % 10 == 0 else f"/read/{number}"
            key = f"{number % 61}"
            await send_request(port, target, request_id=f"l-{number}", object_key=key)
            await sleep(0.01)

    context.loop_thread.run(run())


@then("{path} is not blocked at any host")
def then_not_blocked(context, path):
    """Check the answers and what the hosts remember."""
    for answer in ask_every_host(context, path):
        assert answer.body != b"ends-servers", answer
    for host in context.hosts:
        assert not host._crash_suspects.blocked_count(host._loop.time())
