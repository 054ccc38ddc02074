"""Select the hosts whose addresses a look-up returns to a caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

MAX_ADDRESSES = 64
MIN_REACHING_FRACTION = 1 / 3
"""Fewer hosts than this fraction would not bear the load of all, so that all are
named."""
MIN_RELATIVE_CAPACITY = 0.5
"""Capacity, relative to that of the largest host, from which a host counts as large. A
caller picks one of the addresses at random, so a host with a thin link or a slow
processor would get as many requests as a large one, and pass them on more slowly."""
MIN_CAPACITY_FRACTION = 1 / 3
"""Fraction of the capacity of all hosts that the large ones need to be named alone."""
MIN_LARGE_HOSTS = 2
"""Large hosts that are needed to name them alone: callers need a second address."""


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """Describe a host that callers may use.

    :param address: where callers connect, as ``host:port``.
    :param reaches_servers: whether it reaches servers of any service itself.
    :param capacity: capacity in cores, bounded by its network link.
    """

    address: str
    region: str
    data_centre: str
    reaches_servers: bool = True
    capacity: float = 1.0


def select_addresses(
    entries: Iterable[DirectoryEntry],
    region: str,
    home_regions: frozenset[str],
    rng: Random,
) -> list[str]:
    """Return the addresses of the hosts that a caller may use, in random order.

    These are the hosts of the caller's own region. If it has none, they are the hosts
    of the home regions, and if there are none either, all hosts. Of these, the ones
    that reach servers are taken, if they are not too few, and of these the largest.

    :param entries: the hosts that are ready.
    :param region: the caller's region.
    :param home_regions: regions that may serve the requests; empty allows all.
    :param rng: shuffles the addresses.
    :returns: at most :data:`MAX_ADDRESSES` addresses.
    """
    available = list(entries)
    preferred = [entry for entry in available if entry.region == region]
    if not preferred and home_regions:
        preferred = [entry for entry in available if entry.region in home_regions]
    selected = _select_large(_select_reaching(preferred or available))
    addresses = [entry.address for entry in selected]
    rng.shuffle(addresses)
    return addresses[:MAX_ADDRESSES]


def _select_reaching(entries: list[DirectoryEntry]) -> list[DirectoryEntry]:
    reaching = [entry for entry in entries if entry.reaches_servers]
    enough = len(reaching) >= MIN_REACHING_FRACTION * len(entries)
    return reaching if enough else entries


def _select_large(entries: list[DirectoryEntry]) -> list[DirectoryEntry]:
    """Return the large hosts, or all hosts if the large ones are too few."""
    largest = max((entry.capacity for entry in entries), default=0.0)
    large = [
        entry for entry in entries if entry.capacity >= MIN_RELATIVE_CAPACITY * largest
    ]
    total = sum(entry.capacity for entry in entries)
    large_total = sum(entry.capacity for entry in large)
    is_enough = large_total >= MIN_CAPACITY_FRACTION * total
    return large if is_enough and len(large) >= MIN_LARGE_HOSTS else entries
