"""Steps for the platform's object API, its client, and the commands that use it."""

from concurrent.futures import ThreadPoolExecutor
from random import Random
from threading import Event
from time import sleep, time
from types import SimpleNamespace

from behave import given, then, when
from common import wait_until
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry
from urllib3 import HTTPHeaderDict

from damasktally import objects as platform_api
from damasktally.clock import seconds_since_boot
from damasktally.demo.fleet import make_host_settings
from damasktally.forwarding.request_records import RequestRecord
from damasktally.host import Host
from damasktally.host.store_watch import StoreWatch
from damasktally.host.view_keeper import (
    PeerChanges,
    PublishedView,
    StoreChanges,
    StoreSnapshot,
    ViewKeeper,
)
from damasktally.http1.limited_client import ReceivedResponse
from damasktally.membership.freshness import Freshness
from damasktally.metrics import HostMetrics
from damasktally.objects import (
    BudgetExceeded,
    ChangeEvent,
    Conflict,
    ObjectPage,
    StoredObject,
    WatchPage,
)
from damasktally.objects.budget import CallBudget
from damasktally.objects.client import HttpStore
from damasktally.resources.commands import Commands
from damasktally.standins.memory import MemoryStore
from damasktally.standins.server import FaultPlan, StandInPlatform

SPEC = {"rate": 10, "burst": 10}


def new_client(platform, calls_per_s=1000.0, timeout_s=0.4):
    """Return a client of a stand-in for the platform.

    :param calls_per_s: the client's budget of calls.
    :param timeout_s: timeout of a call, in seconds.
    """
    budget = CallBudget(calls_per_s, seconds_since_boot, CollectorRegistry())
    return HttpStore(platform.url, timeout_s, budget)


def customer(name="ana", revision=0, nonce="n"):
    """Return the stored object of a customer."""
    return StoredObject(
        kind="Customer", name=name, revision=revision, nonce=nonce, spec=SPEC
    )


@given("a platform stand-in and a client")
def start_platform(context):
    context.platform = StandInPlatform(MemoryStore(history=20))
    context.platform.start()
    context.cleanups.append(context.platform.stop)
    context.client = new_client(context.platform)
    context.client.put(customer("seen"), "test")


FAULTS = {
    "is down": FaultPlan(down=True),
    "is slower than allowed": FaultPlan(delay_s=1.0),
    "loses the answer": FaultPlan(lose_answers=1, lose_only="Customer"),
}


@when("the platform {fault}")
def inject_fault(context, fault):
    if fault == "does not listen":
        context.platform.stop()
        return
    context.platform.faults = FAULTS[fault].model_copy()


@then('the call "{call}" raises "{error}"')
def check_raises(context, call, error):
    client = context.client
    calls = {
        "get": lambda: client.get("Customer", "seen", "test"),
        "list": lambda: client.list_objects(["Customer"], "test"),
        "watch": lambda: client.watch(0, ["Customer"], 0.0),
        "put": lambda: client.put(customer(), "test"),
    }
    try:
        calls[call]()
    except getattr(platform_api, error) as exc:
        assert exc.remedy
        return
    raise AssertionError(f"{call} did not raise {error}")


@when("two operators write the same object from the same version")
def write_concurrently(context):
    before = context.client.get("Customer", "seen", "test")

    def write(nonce):
        try:
            return context.client.put(
                before.model_copy(update={"nonce": nonce}), "test"
            )
        except Conflict:
            return None

    with ThreadPoolExecutor(2) as pool:
        context.written = list(pool.map(write, ("one", "two")))


@then("one gets a conflict, and the other's write stands")
def check_one_write_won(context):
    successful_writes = [obj for obj in context.written if obj is not None]
    assert len(successful_writes) == 1, context.written
    stored = context.client.get("Customer", "seen", "test")
    assert stored.nonce == successful_writes[0].nonce


@when("{count:d} objects are written")
def write_objects(context, count):
    context.start = context.platform.store.revision
    for number in range(count):
        context.client.put(customer(f"c{number}"), "test")


@then("a watch from the start brings {count:d} events and one from the end none")
def check_watch_resumes(context, count):
    page = context.client.watch(context.start, ["Customer"], 0.0)
    assert len(page.events) == count and page.revision == context.start + count
    assert context.client.watch(page.revision, ["Customer"], 0.1).events == []


@then("a waiting watch returns as soon as an object is written")
def check_waiting_watch_returns(context):
    after = context.platform.store.revision
    with ThreadPoolExecutor(1) as pool:
        began = seconds_since_boot()
        waiting = pool.submit(context.client.watch, after, ["Customer"], 5.0)
        sleep(0.1)
        context.client.put(customer("late"), "test")
        assert len(waiting.result().events) == 1
        assert seconds_since_boot() - began < 3.0


@then("a watch older than the history raises HistoryGone")
def check_history_expired(context):
    for number in range(30):
        context.client.put(customer(f"more{number}"), "test")
    check_raises(context, "watch", "HistoryGone")


@then("applying a customer succeeds and writes it once")
def check_write_despite_lost_response(context):
    commands = Commands(context.client, "operator")
    written = commands.apply("Customer", "ana", SPEC)
    stored = context.platform.store.get("Customer", "ana")
    assert stored == written and stored.author == "operator"


@when("an operator issues a key, withdraws it and deletes it")
def change_key(context):
    commands = Commands(context.client, "olga")
    context.secret = commands.issue_key("k1", "ana").secret
    commands.withdraw_key("k1")
    commands.delete("Key", "k1")


def audit_specs(context):
    """Return the specs of the audit records, oldest first."""
    page = context.platform.store.list_objects(["AuditRecord"])
    return [obj.spec for obj in sorted(page.items, key=lambda obj: obj.revision)]


@then("the audit trail has three changes with their author and their revisions")
def check_audit(context):
    records = audit_specs(context)
    assert [r["action"] for r in records] == ["write", "write", "delete"], records
    assert {r["author"] for r in records} == {"olga"}
    assert records[1]["from_revision"] == records[0]["to_revision"]


@then("no object and no event on the platform contains the secret")
def check_no_secret_stored(context):
    kinds = ["Key", "AuditRecord", "Customer"]
    page = context.platform.store.list_objects(kinds)
    events = context.platform.store.watch(20, kinds, 0.0).events
    text = page.model_dump_json() + "".join(e.model_dump_json() for e in events)
    assert context.secret not in text


@given("one claim that has expired and one that has not")
def write_claims(context):
    for name, lifetime_s in (("old", -1.0), ("new", 3600.0)):
        spec = {"customer": "ana", "expires_unix_s": time() + lifetime_s}
        context.platform.store.put(StoredObject(kind="Claim", name=name, spec=spec))


@then("within {seconds:d} s only the claim that has not expired is left")
def check_live_claim_left(context, seconds):
    def is_only_live_claim_left():
        page = context.platform.store.list_objects(["Claim"])
        return [claim.name for claim in page.items] == ["new"]

    wait_until(is_only_live_claim_left, seconds, "the deletion of the expired claim")


@given("a host that runs")
def start_host(context):
    settings = make_host_settings("h1", "r", "d", context.platform.url, "r")
    host = Host.from_config(settings)
    host.start()
    context.cleanups.append(host.kill)
    wait_until(lambda: host.fleet.is_member, what="the host's membership")


@when("somebody writes a customer directly to the platform")
def write_without_apply(context):
    direct = customer("direct").model_copy(update={"author": "somebody"})
    context.direct = context.platform.store.put(direct)


@then("within {seconds:d} s the audit trail contains it")
def check_audit_record_added(context, seconds):
    def is_change_recorded():
        return any(
            r["to_revision"] == context.direct.revision and r["author"] == "somebody"
            for r in audit_specs(context)
        )

    wait_until(is_change_recorded, seconds, "the audit record")


@when("a client with a budget of {rate:d} calls a second makes {count:d} calls at once")
def make_calls(context, rate, count):
    client = new_client(context.platform, rate)
    before = context.platform.calls
    context.refused = 0
    for _ in range(count):
        try:
            client.get("Customer", "seen", "test")
        except BudgetExceeded:
            context.refused += 1
    context.reached = context.platform.calls - before


@then("no more than {count:d} reach the platform")
def check_budget(context, count):
    assert 0 < context.reached <= count and context.refused > 0, context.reached


@then("{count:d} random answers raise StoreUnavailable or parse")
def check_random_responses(context, count):
    client = context.client
    json_fragments = [
        b'{"revision": 1',
        b'"items": []',
        b"}",
        b", ",
        b'"events": [{}]',
        b"null",
    ]
    bodies = st.binary() | st.lists(st.sampled_from(json_fragments)).map(b"".join)

    @seed(1)
    @settings(max_examples=count, database=None, deadline=None)
    @for_all(bodies)
    def check_body(body):
        client._send = lambda *args: ReceivedResponse(200, HTTPHeaderDict(), body)
        for call in (
            lambda: client.list_objects(["Customer"], "test"),
            lambda: client.watch(0, ["Customer"], 0.0),
        ):
            try:
                assert call().revision >= 0
            except platform_api.StoreUnavailable as exc:
                assert exc.remedy

    check_body()


class StaleStore:
    """Store that lists the newest revision but serves watches from a stale replica."""

    def __init__(self, listed, stale):
        self._listed = listed
        self._stale = stale

    def list_objects(self, kinds, purpose):
        """Return an empty list."""
        return ObjectPage(revision=self._listed, items=[])

    def watch(self, after, kinds, wait_s):
        """Return no events, as of an older revision."""
        sleep(0.05)
        return WatchPage(revision=self._stale, events=[])


@given("a store that lists revision {listed:d} and answers watches with {old:d}")
def make_stale_store(context, listed, old):
    context.stale = StaleStore(listed, old)


@when("a host follows that store for {seconds:g} s")
def follow_stale_store(context, seconds):
    context.sent_messages = []
    view_keeper = SimpleNamespace(tell=context.sent_messages.append)
    silent = lambda at: None
    watch = StoreWatch(
        context.stale,
        context.stale,
        view_keeper,
        seconds_since_boot,
        0.1,
        Random(1),
        silent,
    )
    stopping = Event()
    watch.start(stopping)
    sleep(seconds)
    stopping.set()


@then("the view keeper received the list and no other message")
def check_only_list_sent(context):
    assert [type(message) for message in context.sent_messages] == [StoreSnapshot], (
        context.sent_messages
    )


@when("{count:d} customers' requests are observed")
def observe_requests(context, count):
    context.metrics = HostMetrics()
    for number in range(count):
        record = RequestRecord("r", "GET", customer=f"c{number}", outcome="answered")
        context.metrics.record_request(record)


@then("at most {most:d} customer labels exist, and no sample holds a secret")
def check_customer_labels(context, most):
    samples = [s for m in context.metrics.registry.collect() for s in m.samples]
    customers = {s.labels["customer"] for s in samples if "customer" in s.labels}
    assert 1 < len(customers) <= most, len(customers)
    assert not any({"key", "secret"} & set(s.labels) for s in samples)


@given("a view keeper whose view came from a peer at revision {revision:d}")
def make_view_keeper(context, revision):
    context.published = PublishedView()
    context.freshness = Freshness(3.0, seconds_since_boot)
    context.view_keeper = ViewKeeper.start(
        context.published, context.freshness, seconds_since_boot, lambda view: None
    )
    context.cleanups.append(context.view_keeper.stop)
    event = ChangeEvent(object=customer("ana", revision))
    context.view_keeper.ask(PeerChanges((event,), False, revision, float("-inf")))


@when("a list and a watch of revision {revision:d} arrive")
def apply_old_list_and_watch(context, revision):
    now = seconds_since_boot()
    context.view_keeper.ask(StoreSnapshot(ObjectPage(revision=revision, items=[]), now))
    context.view_keeper.ask(StoreChanges(WatchPage(revision=revision, events=[]), now))


@when("a watch of revision {revision:d} arrives")
def apply_watch(context, revision):
    page = WatchPage(revision=revision, events=[])
    context.view_keeper.ask(StoreChanges(page, seconds_since_boot()))


@then("the view is still at revision {revision:d} and nothing is confirmed")
def check_view_unchanged(context, revision):
    assert context.published.view.revision == revision
    assert "ana" in context.published.view.customers
    assert context.freshness.confirmed_age_s() == -1.0


@then("the view is confirmed")
def check_view_confirmed(context):
    assert context.freshness.confirmed_age_s() >= 0
