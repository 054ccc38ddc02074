"""Steps for the view of the desired state and the validation of specs."""

from json import loads
from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from damasktally.errors import DamasktallyError
from damasktally.objects import ChangeEvent, StoredObject
from damasktally.resources.kinds import KINDS, parse_spec
from damasktally.resources.view import View
from damasktally.standins.memory import MemoryStore

SPECS = {
    "Customer": {"rate": 10, "burst": 10},
    "Link": {"source": "a", "target": "b", "cap_mbit": 10},
    "BackendServer": {
        "pool": "p",
        "address": "127.0.0.1:1",
        "region": "r",
        "data_centre": "d",
    },
    "Route": {"prefix": "/x", "pool": "p"},
    "Key": {"customer": "ana", "digest": "0" * 64},
}


def make_customer(name, revision, rate=10.0):
    """Return a customer as stored at a revision."""
    spec = {"rate": rate, "burst": 10.0}
    return StoredObject(kind="Customer", name=name, revision=revision, spec=spec)


@given("{count:d} random changes of {names:d} customers, seed {number:d}")
def make_changes(context, count, names, number):
    rng = Random(number)
    context.rng = rng
    context.store = MemoryStore()
    for _ in range(count):
        name = f"c{rng.randrange(names)}"
        known = {o.name: o for o in context.store.list_objects(["Customer"]).items}
        if name in known and rng.random() < 0.3:
            context.store.delete("Customer", name, known[name].revision)
            continue
        revision = known[name].revision if name in known else 0
        context.store.put(make_customer(name, revision, rng.uniform(1, 100)))


@when("they arrive shuffled in small groups, some of them twice")
def apply_shuffled(context):
    events = context.store.watch(0, ["Customer"], 0.0).events
    groups = [events[i : i + 5] for i in range(0, len(events), 5)]
    groups += context.rng.sample(groups, len(groups) // 2)
    context.rng.shuffle(groups)
    context.view = View()
    context.revisions = []
    for group in groups:
        context.view = context.view.apply(group)
        context.revisions.append(context.view.revision)


@then("the view equals the store's last state")
def check_view_matches_store(context):
    stored = {o.name: o.spec for o in context.store.list_objects(["Customer"]).items}
    known = {n: c.model_dump() for n, c in context.view.customers.items()}
    assert {n: s["rate"] for n, s in stored.items()} == {
        n: s["rate"] for n, s in known.items()
    }


@then("its revision never decreased")
def check_revision_never_fell(context):
    assert context.revisions == sorted(context.revisions)


@given("a view at revision {revision:d} with customer ana")
def make_view(context, revision):
    context.view = View().apply([ChangeEvent(object=make_customer("ana", revision))])


@when("a list of revision {revision:d} without ana arrives")
def apply_list(context, revision):
    context.view = context.view.apply_snapshot([], revision)


@when("ana is written with a rate of {rate:g} at revision {revision:d}")
def apply_write(context, rate, revision):
    event = ChangeEvent(object=make_customer("ana", revision, rate))
    context.view = context.view.apply([event])


@when("ana's deletion at revision {revision:d} arrives, then her write of revision 11")
def apply_deletion_then_write(context, revision):
    events = [
        ChangeEvent(deleted=True, object=make_customer("ana", revision)),
        ChangeEvent(object=make_customer("ana", 11)),
    ]
    for event in events:
        context.view = context.view.apply([event])


@then("ana is still in the view")
def check_present(context):
    assert "ana" in context.view.customers


@then("ana is not in the view")
def check_absent(context):
    assert "ana" not in context.view.customers


@then("ana's rate is still {rate:g}, and the view reports the problem")
def check_last_valid_kept(context, rate):
    assert context.view.customers["ana"].rate == rate
    assert "rate" in context.view.problems()[0]


@then("ana's rate is {rate:g}, and the view reports no problem")
def check_rate(context, rate):
    assert context.view.customers["ana"].rate == rate
    assert context.view.problems() == []


@when("{kind} is checked with {name} set to {value}")
def check_spec(context, kind, name, value):
    spec = {**SPECS[kind], name: loads(value)}
    context.error = None
    try:
        parse_spec(StoredObject(kind=kind, name="x", spec=spec))
    except DamasktallyError as exc:
        context.error = exc


@then("it is refused, and the message names {name} and a remedy")
def check_refusal(context, name):
    assert context.error is not None
    assert name in context.error.message and context.error.remedy


@then(
    "{count:d} random specs of every kind either validate or are refused with a remedy"
)
def check_random_specs(context, count):
    leaves = st.none() | st.booleans() | st.floats() | st.integers() | st.text()
    values = st.recursive(
        leaves, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
    )
    names = sorted({n for model in KINDS.values() for n in model.model_fields})
    specs = st.dictionaries(st.sampled_from(names) | st.text(), values)

    @seed(1)
    @settings(max_examples=count, database=None, deadline=None)
    @for_all(st.sampled_from(sorted(KINDS)), specs)
    def validates(kind, spec):
        try:
            parse_spec(StoredObject(kind=kind, name="x", spec=spec))
        except DamasktallyError as exc:
            assert exc.remedy

    validates()
