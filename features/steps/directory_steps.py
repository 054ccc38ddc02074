"""Steps about the hosts that a look-up names."""

from dataclasses import replace
from random import Random

from behave import given, then

from damasktally.decisions.directory import DirectoryEntry, select_addresses


def entries_of(prefix, count, capacity):
    """Return hosts of the same capacity."""
    return [
        DirectoryEntry(f"{prefix}-{number}:1", "north", "dc", capacity=capacity)
        for number in range(count)
    ]


def named_hosts(context):
    """Return the addresses that a caller of the region gets."""
    return select_addresses(context.entries, "north", frozenset(), Random(1))


@given(
    "a region with {large:d} hosts of capacity {large_capacity:g} and {small:d} of "
    "capacity {small_capacity:g}"
)
def given_hosts(context, large, large_capacity, small, small_capacity):
    context.entries = entries_of("large", large, large_capacity)
    context.entries += entries_of("small", small, small_capacity)


@given("a region with {count:d} hosts of capacities between {low:g} and {high:g}")
def given_similar_hosts(context, count, low, high):
    step = (high - low) / (count - 1)
    context.entries = [
        replace(entry, capacity=low + step * number)
        for number, entry in enumerate(entries_of("host", count, low))
    ]


@given("one of the large hosts reaches no servers")
def given_cut_host(context):
    context.entries[0] = replace(context.entries[0], reaches_servers=False)


@then("a look-up names {large:d} large and {small:d} small hosts")
def then_named(context, large, small):
    named = named_hosts(context)
    counts = [sum(a.startswith(kind) for a in named) for kind in ("large", "small")]
    assert counts == [large, small], counts


@then("a look-up names all of them")
def then_all_named(context):
    assert len(named_hosts(context)) == len(context.entries)
