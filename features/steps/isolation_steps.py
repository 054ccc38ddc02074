"""Steps that partition hosts from the platform and from each other."""

from asyncio import sleep as async_sleep
from time import sleep

from behave import then, when
from common import wait_until
from urllib3.exceptions import HTTPError

from damasktally.clock import seconds_since_boot
from damasktally.demo.callers import CallerClient, Credentials
from damasktally.standins.server import FaultPlan

PATH = "/baskets/1"


def hosts_in_region(context, region):
    """Return the hosts in a region."""
    return [h for h in context.fleet.hosts if h.settings.host.region == region]


def disconnect_platform(context, host):
    """Make all calls of a host to the platform fail, until ``reconnect``."""
    for store in (host._store, host._probe_store):
        original = store._send

        def fail(*args, **kwargs):
            raise HTTPError("cut")

        store._send = fail
        context.reconnections.append(lambda s=store, b=original: setattr(s, "_send", b))


def partition_peers(context, partitioned):
    """Drop every message between some hosts and the others, until ``reconnect``."""
    addresses = {h.settings.peer.address for h in partitioned}
    for host in context.fleet.hosts:
        original = host.network._call
        own = host.settings.peer.address

        async def call(address, method, request, timeout_s, original=original, own=own):
            if (address in addresses) != (own in addresses):
                await async_sleep(timeout_s)
                return None
            return await original(address, method, request, timeout_s)

        host.network._call = call
        context.reconnections.append(
            lambda n=host.network, b=original: setattr(n, "_call", b)
        )


def register_reconnection(context):
    """Register a cleanup that reconnects the hosts, even if the scenario fails."""
    if not hasattr(context, "reconnections"):
        context.reconnections = []
        context.cleanups.append(lambda: reconnect(context))


def reconnect(context):
    """Undo every partition."""
    for undo in reversed(context.reconnections):
        undo()
    context.reconnections.clear()


@when("region {region} is cut off from the platform and from the other hosts")
def partition_region(context, region):
    register_reconnection(context)
    partitioned = hosts_in_region(context, region)
    for host in partitioned:
        disconnect_platform(context, host)
    partition_peers(context, partitioned)


@when("region {region} is disconnected from the platform but not from its peers")
def disconnect_region_from_platform(context, region):
    register_reconnection(context)
    for host in hosts_in_region(context, region):
        disconnect_platform(context, host)


@when("the partition has lasted until the hosts of {region} were removed")
def wait_for_removal(context, region):
    partitioned = {h.settings.host.name for h in hosts_in_region(context, region)}
    others = [h for h in context.fleet.hosts if h.settings.host.name not in partitioned]

    def are_removed():
        members = {m.host for m in others[0].view().roster.members}
        return not members & partitioned

    wait_until(are_removed, 25.0, "the removal")


@when("region {region} is reconnected")
def reconnect_region(context, region):
    reconnect(context)


def isolation_states(hosts):
    """Return the isolation state of each host."""
    return [host.freshness.isolation().value for host in hosts]


@then(
    "within {seconds:d} s the hosts of {region} are isolated "
    "and those of the others connected"
)
def check_partition_states(context, seconds, region):
    partitioned = hosts_in_region(context, region)
    others = [h for h in context.fleet.hosts if h not in partitioned]

    def is_partitioned():
        return set(isolation_states(partitioned)) == {"isolated"} and set(
            isolation_states(others)
        ) == {"connected"}

    wait_until(is_partitioned, seconds, "the isolation")


def send_request(context, host, path=PATH, credentials=None, key=True):
    """Send a request to one host and return the answer."""
    credentials = credentials or context.fleet.credentials["ana"]
    address = host.settings.caller.address
    client = CallerClient(
        [address], "", credentials if key else None, context.fleet.history, 2_000
    )
    return client.send_to(host.settings.host.name, address, "GET", path)


@then("hosts of {region} refuse a keyed request as not run, and answer an open one")
def check_keyed_refused_open_served(context, region):
    for host in hosts_in_region(context, region):
        answer = send_request(context, host)
        assert (answer.reason, answer.outcome) == ("isolated", "not-run"), answer
        # The host is fenced for slots too, so an open route is served only with slots
        # that peers lent before. A refusal for lack of a slot is therefore correct.
        open_answer = send_request(context, host, "/public/menu", key=False)
        assert open_answer.status == 200 or open_answer.outcome == "not-run", (
            open_answer
        )


@then("look-ups at the other hosts return no host of {region}")
def check_lookups_omit_region(context, region):
    partitioned = {h.settings.host.name for h in hosts_in_region(context, region)}
    others = [h for h in context.fleet.hosts if h.settings.host.name not in partitioned]

    def are_omitted():
        return not any(
            {e.host for e in host.lookup_handler.entry_hosts()} & partitioned
            for host in others
        )

    wait_until(are_omitted, 5.0, "the look-ups")


@when("a key is withdrawn meanwhile")
def withdraw_key(context):
    fleet = context.fleet
    issued = fleet.commands.issue_key(f"gone-{seconds_since_boot()}", "ana")
    context.withdrawn_credentials = Credentials("ana", issued.name, issued.secret)
    fleet.commands.withdraw_key(issued.name)
    context.withdrawn_at = seconds_since_boot()


@then("no host runs a request with it {seconds:d} s later")
def check_withdrawn_key_refused(context, seconds):
    sleep(max(0.0, context.withdrawn_at + seconds - seconds_since_boot()))
    for host in context.fleet.hosts:
        answer = send_request(context, host, credentials=context.withdrawn_credentials)
        assert answer.outcome == "not-run", answer


@then("within {seconds:d} s every host serves requests with keys")
def check_all_hosts_serve(context, seconds):
    deadline = seconds_since_boot() + seconds
    waiting = {host.settings.host.name: host for host in context.fleet.hosts}
    while waiting and seconds_since_boot() < deadline:
        answers = {name: send_request(context, host) for name, host in waiting.items()}
        waiting = {
            name: waiting[name]
            for name, answer in answers.items()
            if answer.status != 200
        }
        sleep(0.1)
    assert not waiting, {name: answers[name].reason for name in waiting}


@then("the hosts of {region} stay connected for {seconds:d} s")
def check_region_stays_connected(context, region, seconds):
    deadline = seconds_since_boot() + seconds
    while seconds_since_boot() < deadline:
        assert set(isolation_states(hosts_in_region(context, region))) == {"connected"}
        sleep(0.05)


@then("a change reaches the hosts of {region} within {seconds:d} s")
def check_change_relayed(context, region, seconds):
    name = f"new-{int(seconds_since_boot() * 1000)}"
    context.fleet.commands.apply("Customer", name, {"rate": 1, "burst": 1})
    for host in hosts_in_region(context, region):
        wait_until(
            lambda host=host: name in host.view().customers, seconds, "the change"
        )


@when("the platform is down for all hosts")
def stop_platform(context):
    context.fleet.platform.faults = FaultPlan(down=True)


@when("the platform is back")
def restore_platform(context):
    context.fleet.platform.faults = FaultPlan()


@then("within {seconds:d} s every host reports the platform as silent")
def check_store_silent(context, seconds):
    wait_until(
        lambda: set(isolation_states(context.fleet.hosts)) == {"store-silent"},
        seconds,
        "silent platform",
    )


@then("requests with keys are served at every host for {seconds:d} s")
def check_all_hosts_keep_serving(context, seconds):
    deadline = seconds_since_boot() + seconds
    while seconds_since_boot() < deadline:
        for host in context.fleet.hosts:
            answer = send_request(context, host)
            assert answer.status == 200, (host.settings.host.name, answer)
        sleep(0.2)


@then("within {seconds:d} s every host is connected")
def check_all_connected(context, seconds):
    wait_until(
        lambda: set(isolation_states(context.fleet.hosts)) == {"connected"},
        seconds,
        "the connection to the platform",
    )


@then("within {seconds:d} s the hosts of {region} refuse a keyed request as not run")
def check_region_refuses_keyed(context, seconds, region):
    for host in hosts_in_region(context, region):
        wait_until(
            lambda host=host: send_request(context, host).reason == "isolated",
            seconds,
            "the refusal",
        )
