"""Steps for a store that comes back from an older copy."""

from asyncio import gather, sleep

from behave import given, then, when
from boundary_steps import make_view
from entry_harness import (
    DEFAULT_ROUTES,
    StandInServer,
    make_configuration,
    send_request,
    wait_until,
)
from entry_steps import poll_status, servers_by_preference, start_host
from leaving_server_steps import register

from damasktally.fleet.model import compose_revision, era_of
from damasktally.fleet.topics import Topic

FIRST_ERA = 5
MEMBERS_KIND = "damasktally-hosts"


@given("the stand-in store names its era")
def given_era(context):
    """Let all answers of the store carry an era."""
    context.store.era = FIRST_ERA


@given("the order in which three servers are preferred is known")
def given_three(context):
    """Record the order of preference."""
    context.first, context.second, context.third = servers_by_preference(context)


@given("the store is copied")
@when("the store is copied")
def when_copied(context):
    """Keep a copy of what the store holds."""
    context.copy = context.store.make_copy()


@when("the host knows all that was written")
def when_known(context):
    """Wait until the host has the newest revision of each topic."""
    newest = context.store.revision

    async def wait():
        view = context.host._view
        await wait_until(
            lambda: max(r % 2**32 for r in view.revisions.values()) >= newest
        )

    context.loop_thread.run(wait())


@when("the store comes back from the copy")
def when_restored(context):
    """Restore the copy; the era rises by one."""
    context.loop_thread.run(context.store.restore(context.copy))


@when("the store refuses all calls")
def when_store_refuses(context):
    """Answer all calls with 503."""
    context.store.refusal_status = 503


@when("the store refuses no calls after {seconds:g} s")
def when_store_serves(context, seconds):
    """Wait, then answer calls again."""
    context.loop_thread.run(sleep(seconds))
    context.store.refusal_status = 0


@when("the entry of the preferred server is removed")
def when_preferred_removed(context):
    """Remove the entry that the copy brought back."""
    context.loop_thread.run(context.store.write("servers", context.first.id, None))


@then("the first two servers are not usable")
def then_two_not_usable(context):
    """Check the servers that left."""
    assert not is_usable(context, context.first)
    assert not is_usable(context, context.second)


@given("all hosts know the era of the store")
@then("all hosts know the era of the store")
def then_era_known(context):
    """Check that each host's newest state is of the store's era."""

    def is_known():
        return all(
            era_of(max(host._view.revisions.values())) == context.store.era
            for host in context.hosts
        )

    context.loop_thread.run(wait_until(is_known))


@when("a relay of a data centre loses the store")
def when_relay_disconnected(context):
    """Let all calls of one relay to the store fail."""

    async def cut():
        relay = next(
            host for host in context.hosts if host._topology.is_relay(host._loop.time())
        )
        relay._store._address = ("127.0.0.1", 9)
        relay._store_sync.reconnect()

    context.loop_thread.run(cut())


@when(
    "all hosts are killed and start again, "
    "and the store comes back from the copy meanwhile"
)
def when_restart_during_restore(context):
    """Close all hosts, restore the copy, and start others with the same settings."""

    async def restart():
        settings = [host._settings for host in context.hosts]
        await gather(*(host.close() for host in context.hosts))
        context.hosts.clear()
        starts = gather(*(start_host(context, item) for item in settings))
        await context.store.restore(context.copy)
        await starts
        await wait_until(lambda: all(host.is_ready for host in context.hosts))

    context.loop_thread.run(restart())


@then("within {seconds:g} s all hosts are registered again")
def then_registered(context, seconds):
    """Wait for the entries."""
    wait_for_entries(context, seconds)


@when("the store comes back from the copy, and responds late to calls of other kinds")
def when_restored_with_delay(context):
    """Let the host learn of the new era only after it watches the configuration."""

    async def restore():
        for kind in ("servers", "evacuations"):
            context.store.delay_by_kind[kind] = 0.6
        await context.store.restore(context.copy)

    context.loop_thread.run(restore())


@when("the operator and the servers write their entries again")
def when_rewritten(context):
    """Write the newest configuration and the entries of servers that live."""

    async def write():
        cfg = make_configuration(
            2,
            DEFAULT_ROUTES,
            Tenants=[{"Name": "acme", "ApiKeys": ["k-2"], "RatePerS": 0, "Burst": 0}],
        )
        await context.store.write("config", "main", cfg)
        for server, state in ((context.first, "draining"), (context.third, "ready")):
            await context.store.write("servers", server.id, server.registration(state))
        await context.store.write("servers", context.second.id, None)

    context.loop_thread.run(write())


@then("for {seconds:g} s key k-1 gets 401, and only the third server gets requests")
def then_no_regress(context, seconds):
    """Send requests with the withdrawn key and with the other one."""
    before = {item.id: len(item.received) for item in context.servers}

    async def ask():
        for number in range(int(seconds / 0.05)):
            refused = await send_request(context.port, "/read/1", key="k-1")
            assert refused.status == 401, (number, refused)
            served = await send_request(context.port, "/read/1", key="k-2")
            assert served.body.decode() == context.third.id, (number, served)
            await sleep(0.03)

    context.loop_thread.run(ask())
    for server in (context.first, context.second):
        assert len(server.received) == before[server.id], server.id


@then("within {seconds:g} s a caller with key {key} gets {status:d} for {path}")
def then_status_within(context, seconds, key, status, path):
    """Ask until the status is right; fail when it is not in time."""
    got = context.loop_thread.run(poll_status(context, key, path, 200, seconds))
    assert got == status, got


@when("a fourth server registers")
def when_fourth(context):
    """Start a server and wait until the host knows it."""
    server = context.fourth = StandInServer("s-4")

    async def add():
        await server.start()
        await register(context, server)
        await wait_until(lambda: is_usable(context, server))

    context.loop_thread.run(add())


@when("the fourth server registers again")
def when_fourth_again(context):
    """Write its entry again."""
    context.loop_thread.run(
        context.store.write("servers", "s-4", context.fourth.registration())
    )


def is_usable(context, server):
    """Return whether the host may send requests to a server."""
    return server.id in {item.id for item in context.host._view.servers.usable()}


@then("after {seconds:g} s the fourth server is usable")
def then_usable(context, seconds):
    """Check after a while."""
    context.loop_thread.run(sleep(seconds))
    assert is_usable(context, context.fourth)


@then("after {seconds:g} s the fourth server is not usable")
def then_not_usable(context, seconds):
    """Check after a while."""
    context.loop_thread.run(sleep(seconds))
    assert not is_usable(context, context.fourth)


@then("for {seconds:g} s a caller gets 200")
def then_always_served(context, seconds):
    """Send requests all the while."""

    async def ask():
        for number in range(int(seconds / 0.05)):
            answer = await send_request(context.port, "/read/1")
            assert answer.status == 200, (number, answer)
            await sleep(0.04)

    context.loop_thread.run(ask())


@when("the store is copied and comes back {count:d} times, with a version in between")
def when_several(context, count):
    """Restore copies in a row, while versions are written."""

    async def run():
        for number in range(count):
            copy = context.store.make_copy()
            for step in range(5):
                cfg = make_configuration(10 + 10 * number + step, DEFAULT_ROUTES)
                await context.store.write("config", "main", cfg)
            await sleep(0.1)
            await context.store.restore(copy)
            await sleep(0.1)
        context.last = 10 + 10 * count
        cfg = make_configuration(context.last, DEFAULT_ROUTES)
        await context.store.write("config", "main", cfg)

    context.loop_thread.run(run())


@when("the era of the store is {era}")
def when_era_is(context, era):
    """Let the store send another era, or none."""
    context.store.era = None if era == "missing" else era
    context.host._store.close_idle_connections()


@then("the host has an error of the era in its log")
def then_era_error(context):
    """Check the count of problems, each of which is logged when it begins."""
    counter = context.host._metrics.store_era_problems
    assert counter._value.get() > 0


@given("all hosts are registered")
def given_registered(context):
    """Wait until the store has an entry of each host, in the era that it names.

    Hosts that registered before it named one write their entries once more.
    """
    wait_for_entries(context, 15.0)
    era = context.store.era or 0
    context.loop_thread.run(
        wait_until(
            lambda: all(host._registration.era == era for host in context.hosts), 15.0
        )
    )


@when("the store loses all entries of hosts and comes back")
def when_entries_lost(context):
    """Restore a copy without the entries of hosts."""
    copy = context.store.make_copy()
    copy.objects[MEMBERS_KIND] = {}
    context.store.calls.clear()
    context.loop_thread.run(context.store.restore(copy))


@then("within {seconds:g} s all hosts are registered again, each with one call")
def then_registered_again(context, seconds):
    """Wait for the entries, and count the calls that wrote them."""
    wait_for_entries(context, seconds)
    context.loop_thread.run(sleep(1.0))
    written = [call for call in context.store.calls if not call.startswith("GET")]
    assert len(written) == len(context.hosts), written


def wait_for_entries(context, seconds):
    """Wait until the store has an entry of each host."""
    store = context.store
    context.loop_thread.run(
        wait_until(
            lambda: len(store.objects.get(MEMBERS_KIND, {})) == len(context.hosts),
            seconds,
        )
    )


@then(
    "a view of the newer era keeps what a view of the older era "
    "with a higher revision has"
)
def then_newer_era_keeps(context):
    """Offer the older era's state to a view of the newer era."""
    view = make_view(compose_revision(2, 40))
    cfg = make_configuration(9, DEFAULT_ROUTES)
    offered = compose_revision(1, 900)
    assert not view.replace(Topic.CONFIGURATION, offered, {"main": cfg}, "h-2", 0.0)
    assert not view.apply(Topic.CONFIGURATION, offered, [("main", cfg)], "h-2", 0.0)
    assert view.configuration.version == 5


@then("a view of the older era takes the state of the newer era, whatever its revision")
def then_older_era_takes(context):
    """Offer the newer era's state, at a lower revision, to a view of the older one."""
    view = make_view(compose_revision(1, 900))
    cfg = make_configuration(9, DEFAULT_ROUTES)
    offered = compose_revision(2, 40)
    assert view.replace(Topic.CONFIGURATION, offered, {"main": cfg}, "h-2", 0.0)
    assert view.configuration.version == 9


@then("edits are not passed on from one era to the next")
def then_no_edits(context):
    """Ask for the edits since a revision of the era before."""
    view = make_view(compose_revision(1, 900))
    cfg = make_configuration(6, DEFAULT_ROUTES)
    later = compose_revision(1, 901)
    view.apply(Topic.CONFIGURATION, later, [("main", cfg)], "store", 0.0)
    assert view.edits_since(Topic.CONFIGURATION, compose_revision(1, 900))
    view.replace(
        Topic.CONFIGURATION, compose_revision(2, 40), {"main": cfg}, "store", 0.0
    )
    assert view.edits_since(Topic.CONFIGURATION, later) is None
    assert not view.apply(
        Topic.CONFIGURATION, compose_revision(3, 1), [("main", cfg)], "h-2", 0.0
    )


@when("a peer sends a configuration of the next era")
def when_peer_is_ahead(context):
    """Put the state of a later era into the view, as a transfer would."""
    host = context.host
    revision = compose_revision(FIRST_ERA + 1, 3)
    specs = {"main": make_configuration(7, DEFAULT_ROUTES)}

    async def put():
        for topic in Topic:
            objects = dict(host._view.snapshot(topic)[1])
            objects.update(specs if topic is Topic.CONFIGURATION else {})
            host._view.replace(topic, revision, objects, "h-2", host._loop.time())
        host._store_sync.reconnect()
        context.store.calls.clear()

    context.loop_thread.run(put())


@then("the host makes at most {count:d} calls to the store in {seconds:g} s")
def then_few_store_calls(context, count, seconds):
    """Count the calls."""
    context.loop_thread.run(sleep(seconds))
    assert len(context.store.calls) <= count, len(context.store.calls)
