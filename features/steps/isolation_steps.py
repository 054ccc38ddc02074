"""Steps that cut hosts off from the platform and from each other."""

from asyncio import sleep as async_sleep
from time import sleep

from behave import then, when
from common import wait_until
from urllib3.exceptions import HTTPError

from damasktally.clock import seconds_since_boot
from damasktally.demo.callers import CallerClient, Credentials
from damasktally.standins.server import FaultPlan

PATH = "/baskets/1"


def hosts_of(context, region):
    """Return the hosts of a region."""
    return [h for h in context.fleet.hosts if h.settings.host.region == region]


def cut_store(context, host):
    """Let a host's calls to the platform fail."""
    for store in (host._store, host._probe):
        before = store._send

        def fail(*args, **kwargs):
            raise HTTPError("cut")

        store._send = fail
        context.joins.append(lambda s=store, b=before: setattr(s, "_send", b))


def cut_peers(context, inside):
    """Lose every message between some hosts and the others."""
    addresses = {h.settings.peer.address for h in inside}
    for host in context.fleet.hosts:
        before = host.network._call
        own = host.settings.peer.address

        async def call(address, method, request, timeout_s, before=before, own=own):
            if (address in addresses) != (own in addresses):
                await async_sleep(timeout_s)
                return None
            return await before(address, method, request, timeout_s)

        host.network._call = call
        context.joins.append(lambda n=host.network, b=before: setattr(n, "_call", b))


def start_cut(context):
    """Prepare to undo what is cut, also when the scenario fails."""
    if not hasattr(context, "joins"):
        context.joins = []
        context.cleanups.append(lambda: join(context))


def join(context):
    """Undo every cut."""
    for undo in reversed(context.joins):
        undo()
    context.joins.clear()


@when("region {region} is cut off from the platform and from the other hosts")
def cut_region(context, region):
    start_cut(context)
    inside = hosts_of(context, region)
    for host in inside:
        cut_store(context, host)
    cut_peers(context, inside)


@when("region {region} loses the platform but not its peers")
def cut_platform(context, region):
    start_cut(context)
    for host in hosts_of(context, region):
        cut_store(context, host)


@when("the cut has lasted until the hosts of {region} were removed")
def wait_for_removal(context, region):
    inside = {h.settings.host.name for h in hosts_of(context, region)}
    others = [h for h in context.fleet.hosts if h.settings.host.name not in inside]

    def removed():
        members = {m.host for m in others[0].view().roster.members}
        return not members & inside

    wait_until(removed, 25.0, "the removal")


@when("region {region} is joined again")
def join_region(context, region):
    join(context)


def states(hosts):
    """Return what hosts know of the platform."""
    return [host.freshness.isolation().value for host in hosts]


@then(
    "within {seconds:d} s the hosts of {region} are isolated "
    "and those of the others connected"
)
def check_states(context, seconds, region):
    inside = hosts_of(context, region)
    others = [h for h in context.fleet.hosts if h not in inside]

    def split():
        return set(states(inside)) == {"isolated"} and set(states(others)) == {
            "connected"
        }

    wait_until(split, seconds, "the isolation")


def ask(context, host, path=PATH, credentials=None, key=True):
    """Send a request to one host."""
    held = credentials or context.fleet.credentials["ana"]
    entry = host.settings.caller.address
    client = CallerClient(
        [entry], "", held if key else None, context.fleet.history, 2_000
    )
    return client.send_to(host.settings.host.name, entry, "GET", path)


@then("hosts of {region} refuse a keyed request as not run, and answer an open one")
def check_refusal_and_open(context, region):
    for host in hosts_of(context, region):
        answer = ask(context, host)
        assert (answer.reason, answer.outcome) == ("isolated", "not-run"), answer
        # Slots are fenced as well, so an open route lives on what was lent; a refusal
        # for want of a slot is as true as an answer.
        public = ask(context, host, "/public/menu", key=False)
        assert public.status == 200 or public.outcome == "not-run", public


@then("look-ups at the other hosts name no host of {region}")
def check_lookups(context, region):
    inside = {h.settings.host.name for h in hosts_of(context, region)}
    others = [h for h in context.fleet.hosts if h.settings.host.name not in inside]

    def unnamed():
        return not any(
            {e.host for e in host.lookups.entry_hosts()} & inside for host in others
        )

    wait_until(unnamed, 5.0, "the look-ups")


@when("a key is withdrawn meanwhile")
def withdraw_meanwhile(context):
    fleet = context.fleet
    issued = fleet.commands.issue_key(f"gone-{seconds_since_boot()}", "ana")
    context.gone = Credentials("ana", issued.name, issued.secret)
    fleet.commands.withdraw_key(issued.name)
    context.gone_at = seconds_since_boot()


@then("no host ever runs a request with it {seconds:d} s later")
def check_gone(context, seconds):
    sleep(max(0.0, context.gone_at + seconds - seconds_since_boot()))
    for host in context.fleet.hosts:
        answer = ask(context, host, credentials=context.gone)
        assert answer.outcome == "not-run", answer


@then("within {seconds:d} s every host serves requests with keys")
def check_serving(context, seconds):
    end = seconds_since_boot() + seconds
    waiting = {host.settings.host.name: host for host in context.fleet.hosts}
    while waiting and seconds_since_boot() < end:
        answers = {name: ask(context, host) for name, host in waiting.items()}
        waiting = {n: waiting[n] for n, a in answers.items() if a.status != 200}
        sleep(0.1)
    assert not waiting, {name: answers[name].reason for name in waiting}


@then("the hosts of {region} stay connected for {seconds:d} s")
def check_stay(context, region, seconds):
    end = seconds_since_boot() + seconds
    while seconds_since_boot() < end:
        assert set(states(hosts_of(context, region))) == {"connected"}
        sleep(0.05)


@then("a change reaches the hosts of {region} within {seconds:d} s")
def check_relayed(context, region, seconds):
    name = f"new-{int(seconds_since_boot() * 1000)}"
    context.fleet.commands.apply("Customer", name, {"rate": 1, "burst": 1})
    for host in hosts_of(context, region):
        wait_until(
            lambda host=host: name in host.view().customers, seconds, "the change"
        )


@when("the platform goes down for everyone")
def platform_down(context):
    context.fleet.platform.faults = FaultPlan(down=True)


@when("the platform is back")
def platform_back(context):
    context.fleet.platform.faults = FaultPlan()


@then("within {seconds:d} s every host finds the platform silent")
def check_silent(context, seconds):
    wait_until(
        lambda: set(states(context.fleet.hosts)) == {"store-silent"}, seconds, "silence"
    )


@then("requests with keys are served at every host for {seconds:d} s")
def check_served_during(context, seconds):
    end = seconds_since_boot() + seconds
    while seconds_since_boot() < end:
        for host in context.fleet.hosts:
            answer = ask(context, host)
            assert answer.status == 200, (host.settings.host.name, answer)
        sleep(0.2)


@then("within {seconds:d} s every host is connected")
def check_connected(context, seconds):
    wait_until(
        lambda: set(states(context.fleet.hosts)) == {"connected"}, seconds, "the return"
    )


@then("within {seconds:d} s the hosts of {region} refuse a keyed request as not run")
def check_region_refuses(context, seconds, region):
    for host in hosts_of(context, region):
        wait_until(
            lambda host=host: ask(context, host).reason == "isolated",
            seconds,
            "the refusal",
        )
