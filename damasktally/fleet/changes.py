"""Short descriptions of configuration changes for the log."""

from collections.abc import Collection
from heapq import nsmallest

from damasktally.fleet.model import Configuration, Customer


def describe_change(old: Configuration | None, new: Configuration) -> str:
    """Describe the differences between two versions of the configuration.

    API keys are secrets, so they are counted and never named. Of many routes or
    customers, only the first are named.

    :param old: the version before, or None for the first one.
    :param new: the version that replaces it.
    """
    if old is None:
        return f"version {new.version}: {len(new.routes)} routes, first one known"
    old_routes = {route.name: route for route in old.routes}
    new_routes = {route.name: route for route in new.routes}
    old_customers = {item.name: item for item in old.customers}
    new_customers = {item.name: item for item in new.customers}
    old_keys = set(old.customer_by_key)
    new_keys = set(new.customer_by_key)
    changed = {
        "routes added": new_routes.keys() - old_routes.keys(),
        "routes removed": old_routes.keys() - new_routes.keys(),
        "routes changed": _changed_names(old_routes, new_routes),
        "customers with other limits": [
            name
            for name in old_customers.keys() & new_customers.keys()
            if _limits_of(old_customers[name]) != _limits_of(new_customers[name])
        ],
    }
    parts = [f"{what} {_name_some(names)}" for what, names in changed.items() if names]
    if old_keys - new_keys:
        parts.append(f"{len(old_keys - new_keys)} keys withdrawn")
    if new_keys - old_keys:
        parts.append(f"{len(new_keys - old_keys)} keys added")
    return f"version {new.version}: {'; '.join(parts) or 'nothing that matters here'}"


MAX_NAMES = 10
"""Routes or customers that are named of each sort of change."""


def _name_some(names: Collection[str]) -> str:
    listed = ", ".join(nsmallest(MAX_NAMES, names))
    left_out = len(names) - MAX_NAMES
    return f"{listed} and {left_out} more" if left_out > 0 else listed


def _changed_names(old: dict, new: dict) -> list[str]:
    return [name for name in old.keys() & new.keys() if old[name] != new[name]]


def _limits_of(customer: Customer) -> tuple:
    return customer.rate, customer.burst, customer.priority, customer.home_regions
