"""Steps for fleets of which the store turns some hosts away."""

from asyncio import gather, sleep
from json import dumps

from behave import given, then, when
from entry_harness import (
    LoopThread,
    wait_until,
)
from entry_steps import make_settings, start_host
from msgspec.structs import replace
from relay_steps import gather_all, start_store, store_followers

from damasktally.decisions.relays import (
    RelayCandidate,
    choose_relays,
    choose_store_followers,
)
from damasktally.decisions.store_reach import LOSS_MEMORY_S, StoreReach
from damasktally.entry.settings import HostSection, LimitsSection

RELAY_COUNT = 6


@then(
    "relays that do not reach the store are replaced by two each while there are some"
)
def then_followers_replaced(context):
    """Choose the followers of three data centres with two relays each."""
    relays = {(name, name): [f"{name}.p", f"{name}.s"] for name in "abc"}
    cases = {
        (): ["a.p", "b.p", "c.p", "a.s"],
        ("b.p",): ["a.p", "c.p", "a.s", "b.s", "c.s"],
        ("a.p", "b.p", "c.p", "a.s"): ["b.s", "c.s"],
        ("a.p", "b.p", "c.p", "a.s", "b.s", "c.s"): ["a.p", "b.p", "c.p", "a.s"],
        ("other",): ["a.p", "b.p", "c.p", "a.s"],
    }
    for cut_off, expected in cases.items():
        assert choose_store_followers(relays, cut_off) == expected, cut_off


@then("a host that calls the store no more counts as cut off for a while")
def then_loss_expires(context):
    """Check what a host tells the others after calls that failed."""
    reach, losses = StoreReach(), []
    reach.on_lost = lambda: losses.append(1)
    assert not reach.is_lost(0.0)
    reach.record_failure(1.0)
    reach.record_failure(2.0)
    assert reach.is_lost(2.0 + LOSS_MEMORY_S) and len(losses) == 1
    assert not reach.is_lost(2.1 + LOSS_MEMORY_S)
    reach.record_failure(20.0)
    reach.record_success()
    assert not reach.is_lost(20.0) and len(losses) == 2


def host_in_own_way(number, store_port):
    """Return the settings of a host of three data centres with a port of the store.

    The first six, two in each data centre, have the most cores.
    """
    zones = {"dc-0": "north", "dc-1": "south", "dc-2": "west"}
    settings = make_settings(store_port, data_centres=dumps(zones))
    data_centre = f"dc-{number % 3}"
    return replace(
        settings,
        host=HostSection(f"h-{number:02d}", zones[data_centre], data_centre),
        limits=LimitsSection(cores=3.0 if number < RELAY_COUNT else 0.5),
    )


@given(
    "{count:d} hosts in 3 data centres, each of which reaches the store in its own way"
)
def given_fleet_with_ports(context, count):
    """Start the fleet; the store listens on a port for each host."""
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    context.hosts = []
    context.version = 1
    context.store_ports = {}

    async def begin():
        await start_store(context)
        settings = []
        for number in range(count):
            port = await context.store.listen()
            settings.append(host_in_own_way(number, port))
            context.store_ports[settings[-1].host.name] = port
        await gather(*(start_host(context, item) for item in settings))

    context.loop_thread.run(begin())
    context.add_cleanup(
        lambda: context.loop_thread.run(gather_all([h.close() for h in context.hosts]))
    )


@then(
    "within {seconds:g} s only 4 relays follow the store, "
    "and all hosts have the configuration"
)
def then_four_follow(context, seconds):
    """Wait until the fleet has settled."""
    relays = {f"h-{number:02d}" for number in range(RELAY_COUNT)}

    def settled():
        followers = store_followers(context)
        is_configured = all(host._view.configuration for host in context.hosts)
        return len(followers) == 4 and followers <= relays and is_configured

    context.loop_thread.run(wait_until(settled, seconds))


@when("the store {conduct} the callers among the hosts that follow it")
def when_followers_turned_away(context, conduct):
    """Turn away those that follow the store now."""
    turn_away(context, store_followers(context), conduct)


@when("the store {conduct} the callers among all relays")
def when_relays_turned_away(context, conduct):
    """Turn away the relays of all data centres."""
    turn_away(context, {f"h-{number:02d}" for number in range(RELAY_COUNT)}, conduct)


def turn_away(context, hosts, conduct):
    """Let the store turn some hosts away."""
    ports = {context.store_ports[host] for host in hosts}
    context.loop_thread.loop.call_soon_threadsafe(
        context.store.turn_away, ports, conduct
    )


@then("after {seconds:g} s more at most {count:d} hosts follow the store")
def then_few_follow(context, seconds, count):
    """Check that no more hosts than necessary call the store."""
    context.loop_thread.run(sleep(seconds))
    followers = store_followers(context)
    assert len(followers) <= count, sorted(followers)


@when("both relays of the first data centre fall silent")
def when_relays_silent(context):
    """Let both relays of the first data centre lose power."""
    fall_silent(context, {"h-00", "h-03"})


@when("all hosts that follow the store fall silent")
def when_followers_silent(context):
    """Let the hosts lose power that follow the store now."""
    fall_silent(context, store_followers(context))


@when("six hosts of a data centre, relays first fall silent")
def when_relays_and_next_silent(context):
    """Let those lose power that would be relays one after the other."""
    local = [host._own for host in context.hosts if host._own.data_centre == "dc-0"]
    candidates = [RelayCandidate(item.host, item.capacity) for item in local]
    silent = []
    while len(silent) < 6:
        chosen = choose_relays("dc-0", candidates)
        silent += chosen
        candidates = [item for item in candidates if item.host not in chosen]
    fall_silent(context, set(silent))


def fall_silent(context, names):
    """End some hosts without a last message."""
    silent = [host for host in context.hosts if host._own.host in names]
    context.hosts = [host for host in context.hosts if host not in silent]

    async def silence():
        for host in silent:
            host._peer_protocol._transport.abort()
            await host.close()

    context.loop_thread.run(silence())


@when("the store refuses the callers among all hosts for {seconds:g} s")
def when_all_refused(context, seconds):
    """Let the store refuse everyone for a while."""
    turn_away(context, set(context.store_ports), "refuses")
    context.loop_thread.run(sleep(seconds))
    turn_away(context, set(), "refuses")


@then(
    "in the {seconds:g} s after that "
    "at most {count:d} hosts follow the store at any time"
)
def then_no_rush(context, seconds, count):
    """Sample which hosts follow the store."""
    samples = []

    async def observe():
        for _ in range(int(seconds / 0.05)):
            samples.append(len(store_followers(context)))
            await sleep(0.05)

    context.loop_thread.run(observe())
    assert max(samples) <= count, samples
