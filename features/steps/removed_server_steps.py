"""Steps for servers whose entries are removed, or expire in an outage of the store."""

import json
from asyncio import create_task, gather, sleep
from math import inf

from behave import given, then, when
from entry_harness import StandInServer, send_request, wait_until
from entry_steps import (
    add_servers,
    make_settings,
    servers_by_preference,
    start_host,
)
from relay_steps import with_location

from damasktally.fleet.store_outages import StoreObservation, StoreOutages

REQUEST_INTERVAL_S = 0.05
TICK_S = 0.25
TURNED_AWAY = "h-05"


def call_changed(store):
    """Wake the watches that wait, so that they notice what the store does now."""
    changed, store._changed = store._changed, type(store._changed)()
    changed.set()


def begin_outage(store, fault):
    """Let the store answer nothing, or 503 to all calls."""
    if fault == "answers nothing":
        store.stop_answering()
    else:
        store.refusal_status = 503
    call_changed(store)


def end_outage(store):
    """Let the store answer again, on the connections of before too."""
    store.refusal_status = 0
    store.is_silent = False
    for writer in list(store._muted):
        writer.transport.abort()


def remove_entries(store, servers):
    """Remove entries in one batch."""
    for server in servers:
        store.objects["servers"].pop(server.id)
        store.revision += 1
        metadata = {"Name": server.id, "Rev": store.revision}
        event = {"Tombstone": True, "Object": {"Metadata": metadata, "Spec": None}}
        store.events.append(("servers", event))
    call_changed(store)


def usable_ids(host):
    """Return the ids of the servers that a host may send requests to."""
    return {server.id for server in host._view.servers.usable()}


def chosen_ids(context):
    """Return the ids of the servers that the scenario removed."""
    return {server.id for server in context.chosen}


async def send_requests(context, answers):
    """Send requests for different objects until it is cancelled."""
    number = 0
    while True:
        number += 1
        call = send_request(context.port, "/read/1", object_key=str(number))
        answers.append(create_task(call))
        await sleep(REQUEST_INTERVAL_S)


@when("the entries of {count:d} servers are removed {how}")
def when_removed(context, count, how):
    """Remove the entries of the last servers that are left."""
    known = [item for item in context.servers if item.id in stored_ids(context)]
    context.chosen = known[-count:]
    context.loop_thread.run(REMOVALS[how](context))


def stored_ids(context):
    """Return the ids of the servers that have an entry."""
    return set(context.store.objects["servers"])


async def remove_at_once(context):
    """Remove the entries in one batch."""
    remove_entries(context.store, context.chosen)


async def remove_one_by_one(context):
    """Remove the entries with short pauses."""
    for server in context.chosen:
        remove_entries(context.store, [server])
        await sleep(0.06)


async def remove_without_history(context):
    """Remove the entries, and let the watches end with status 410."""
    remove_entries(context.store, context.chosen)
    await context.store.compact()


async def remove_after_outage(context):
    """Remove the entries a while after the store returned."""
    begin_outage(context.store, "answers 503")
    await sleep(5.0)
    end_outage(context.store)
    await sleep(3.5)
    remove_entries(context.store, context.chosen)


REMOVALS = {
    "at once": remove_at_once,
    "one after the other": remove_one_by_one,
    "as the history of the store is gone": remove_without_history,
    "3.5 s after the store returned from an outage of 5 s": remove_after_outage,
}


@then("within {seconds:g} s the host uses none of them")
def then_host_uses_none(context, seconds):
    """Wait until the host may send to none of the servers."""
    chosen = chosen_ids(context)
    check = lambda: not chosen & usable_ids(context.host)
    context.loop_thread.run(wait_until(check, seconds))


@then("after {seconds:g} s the host uses none of them")
def then_host_uses_none_later(context, seconds):
    """Wait, and check that the host may send to none of the servers."""
    context.loop_thread.run(sleep(seconds))
    assert not chosen_ids(context) & usable_ids(context.host)


@when(
    "the store {fault} for 4 s, and the entries of {count:d} servers expire meanwhile"
)
def when_expired(context, fault, count):
    """Remove entries during an outage; send requests from the return on."""
    context.chosen = context.servers[:count]
    context.answers = []

    async def lose_store():
        begin_outage(context.store, fault)
        await sleep(4.0)
        remove_entries(context.store, context.chosen)
        end_outage(context.store)
        context.returned_at = context.loop_thread.loop.time()
        context.requests = create_task(send_requests(context, context.answers))

    context.loop_thread.run(lose_store())
    context.add_cleanup(
        lambda: context.loop_thread.loop.call_soon_threadsafe(context.requests.cancel)
    )


@when("these servers register again {seconds:g} s after the return of the store")
@when("these servers register again {seconds:g} s later")
def when_registered_again(context, seconds):
    """Write the entries again, the last one after the given time."""

    async def register():
        loop = context.loop_thread.loop
        for number, server in enumerate(context.chosen, 1):
            due_at = context.returned_at + seconds * number / len(context.chosen)
            await sleep(max(0.0, due_at - loop.time()))
            await context.store.write("servers", server.id, server.registration())

    context.loop_thread.run(register())


@then("all requests since the return were answered")
def then_all_answered(context):
    """Check the answers so far, of which there are some."""

    async def finish():
        context.requests.cancel()
        return await gather(*context.answers)

    answers = context.loop_thread.run(finish())
    refused = [answer for answer in answers if answer.status != 200]
    assert len(answers) > 20 and not refused, refused


@then("the host uses all servers {seconds:g} s later")
def then_all_used(context, seconds):
    """Wait, and check that the host may send to all servers."""
    context.loop_thread.run(sleep(seconds))
    assert usable_ids(context.host) == {item.id for item in context.servers}


@when("the entries of {count:d} servers become unreadable")
def when_unreadable(context, count):
    """Replace the entries of the last servers by what names no server."""
    context.chosen = context.servers[-count:]

    async def replace():
        for server in context.chosen:
            await context.store.write("servers", server.id, {"State": "?"})

    context.loop_thread.run(replace())


@given("{count:d} more servers that all hosts know")
def given_known(context, count):
    """Register servers and wait until all hosts have them."""
    context.servers = [
        StandInServer(f"i-{number:02d}", zone=f"dc-{number % 2}")
        for number in range(count)
    ]
    expected = {server.id for server in context.servers}

    async def register():
        for server in context.servers:
            await server.start()
            await context.store.write("servers", server.id, server.registration())
        knows_all = lambda: all(expected <= usable_ids(host) for host in context.hosts)
        await wait_until(knows_all, 10.0)

    context.loop_thread.run(register())


@when("the store {conduct} one host for {seconds:g} s")
def when_one_turned_away(context, conduct, seconds):
    """Turn one host away and wait."""

    async def turn_away():
        context.store.turn_away({context.store_ports[TURNED_AWAY]}, conduct)
        await sleep(seconds)

    context.loop_thread.run(turn_away())


@when("the store serves that host again")
def when_served_again(context):
    """Turn nobody away any more, and close the connections that got no answer."""

    async def serve():
        context.store.turn_away(set(), "resets")
        end_outage(context.store)

    context.loop_thread.run(serve())


@then("within {seconds:g} s no host uses them")
def then_no_host_uses(context, seconds):
    """Wait until no host may send to any of the servers."""
    chosen = chosen_ids(context)
    check = lambda: not any(chosen & usable_ids(host) for host in context.hosts)
    context.loop_thread.run(wait_until(check, seconds))


@given("a server in another data centre")
def given_server_elsewhere(context):
    """Register a server in the other data centre and wait until the host has it."""

    async def add():
        await add_servers(context, 1, zone="dc-2")
        knows_all = lambda: len(usable_ids(context.host)) == len(context.servers)
        await wait_until(knows_all)

    context.loop_thread.run(add())


def leave(context, server, how):
    """Return what is written when a server leaves: kind, name and content."""
    writes = {
        "is removed": ("servers", server.id, None),
        "reports to drain": ("servers", server.id, server.registration("draining")),
        "starts again": ("servers", server.id, server.registration(started=2)),
        "is evacuated": ("evacuations", server.zone, {}),
    }
    return writes[how]


@when(
    "the preferred server {how} while a caller's request waits for a connection to it"
)
def when_leaves_meanwhile(context, how):
    """Write into the store between the choice of the server and the connection."""
    context.first = servers_by_preference(context)[0]

    async def ask():
        request = create_task(send_request(context.port, "/pay/1", "POST"))
        await sleep(0.1)
        await context.store.write(*leave(context, context.first, how))
        return await request

    context.answer = context.loop_thread.run(ask())


@then("the preferred server received no request of it")
def then_not_received(context):
    """Check what the server received."""
    assert not context.first.received, context.first.received


@when("the store {fault} for {seconds:g} s to all hosts")
def when_away(context, fault, seconds):
    """Begin an outage and wait."""

    async def lose_store():
        begin_outage(context.store, fault)
        await sleep(seconds)

    context.loop_thread.run(lose_store())


@when("a host starts that knows one seed")
def when_host_starts(context):
    """Start a host, which gets the view from others."""
    seed = context.hosts[0]._settings.listen.peers
    zones = json.dumps({"dc-0": "north", "dc-1": "south"})
    settings = make_settings(context.store.port, seeds=seed, data_centres=zones)
    settings = with_location(settings, "late", 0, 0.5)
    context.loop_thread.run(start_host(context, settings))


@when("{seconds:g} s later the store returns without the entries of {count:d} servers")
def when_returns_without(context, seconds, count):
    """End the outage, and record from then on which servers each host gives up."""
    context.chosen = context.servers[:count]
    chosen = chosen_ids(context)
    context.given_up = set()

    async def record_given_up():
        while True:
            context.given_up |= {
                (host._own.host, server)
                for host in context.hosts
                for server in chosen - usable_ids(host)
            }
            await sleep(0.02)

    async def return_without():
        await sleep(seconds)
        knows_all = lambda: all(chosen <= usable_ids(host) for host in context.hosts)
        await wait_until(knows_all, 0.5)
        remove_entries(context.store, context.chosen)
        end_outage(context.store)
        context.returned_at = context.loop_thread.loop.time()
        context.recording = create_task(record_given_up())

    context.loop_thread.run(return_without())


@then("no host gave one of them up meanwhile, the last host included")
def then_none_given_up(context):
    """Wait until all hosts know the registrations, and check what was recorded."""
    context.loop_thread.run(sleep(1.5))
    context.recording.cancel()
    assert not context.given_up, sorted(context.given_up)[:5]
    pending = [
        (host._own.host, server.id)
        for host in context.hosts
        for server in context.chosen
        if host._view.servers.get(server.id).remove_at is not None
    ]
    assert not pending, pending


@when("another {seconds:g} s pass for the hosts")
def when_pass_for_hosts(context, seconds):
    """Wait."""
    context.loop_thread.run(sleep(seconds))


def observe(age_s=0.1, heard_s=0.1, lost=False, lost_by_others=False):
    """Return a function that makes an observation of a moment."""
    return lambda now: StoreObservation(
        now - age_s, now - heard_s, lost, lost_by_others
    )


def lost(since, heard_s=0.1, by_others=False):
    """Return a function that makes an observation of a host that lost the store."""
    return lambda now: StoreObservation(since, now - heard_s, True, by_others)


HISTORIES = {
    "5 s in which all hosts lost the store": (5.0, lost(0.0, by_others=True), 0.0),
    "5 s in which all hosts lost the store, 2.3 s ago": (
        5.0,
        lost(0.0, by_others=True),
        2.3,
    ),
    "5 s in which all hosts lost the store, 2.5 s ago": (
        5.0,
        lost(0.0, by_others=True),
        2.5,
    ),
    "1 s in which all hosts lost the store": (1.0, lost(0.0, by_others=True), 0.0),
    "5 s in which this host lost the store and others reached it": (
        5.0,
        observe(age_s=0.3, lost=True),
        0.0,
    ),
    "5 s in which this host lost the store and heard of no other host": (
        5.0,
        lambda now: StoreObservation(0.0, 0.0, True, False),
        0.0,
    ),
    "5 s in which this host lost the store, 9 s after the last other one": (
        5.0,
        lambda now: StoreObservation(0.0, -9.0, True, False),
        0.0,
    ),
    "5 s in which a host without others lost the store": (
        5.0,
        lost(0.0, heard_s=inf),
        0.0,
    ),
    "5 s in which this host stood still": (5.0, None, 0.0),
    "5 s in which all hosts lost the store, but for the last 0.5 s": (
        5.0,
        lambda now: StoreObservation(0.01 * now, now - 0.1, now < 4.6, now < 4.6),
        0.0,
    ),
    "5 s before any host reached the store": (
        5.0,
        lambda now: StoreObservation(-inf, now - 0.1, True, True),
        0.0,
    ),
    "5 s of which nobody says anything": (
        5.0,
        lambda now: StoreObservation(0.0, now - 0.1, False, False),
        0.0,
    ),
}
"""How long a period was, what was known in it, and how long ago it ended, by name."""


@then("a registration that is removed after {history} counts as {expected:w}")
def then_counts_as(context, history, expected):
    """Record the period in steps of a tick, then the store's return."""
    duration_s, observation, ago_s = HISTORIES[history]
    outages = StoreOutages()
    alone = observation is not None and observation(0.0).heard_at < -1.0
    reached_at = min(0.0, observation(0.0).reached_at) if observation else 0.0
    heard_at = -9.0 if alone else 0.0
    outages.record(StoreObservation(reached_at, heard_at, False, False), 0.0)
    if observation is not None:
        for step in range(1, round(duration_s / TICK_S) + 1):
            outages.record(observation(step * TICK_S), step * TICK_S)
    back_at = duration_s + 0.01
    outages.record(StoreObservation(back_at, back_at, False, False), back_at)
    now = back_at + ago_s
    outages.record(StoreObservation(now, now, False, False), now)
    deadline = outages.reregistration_deadline(now)
    assert (deadline is not None) == (expected == "expired"), deadline
