"""Select the hosts whose addresses a look-up returns to a caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

MAX_ADDRESSES = 64
MIN_REACHING_FRACTION = 1 / 3
"""Fewer hosts than this fraction would not bear the load of all, so that all are
named."""


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """Describe a host that callers may use.

    :param address: where callers connect, as ``host:port``.
    :param reaches_servers: whether it reaches servers of any service itself.
    """

    address: str
    region: str
    data_centre: str
    reaches_servers: bool = True


def select_addresses(
    entries: Iterable[DirectoryEntry],
    region: str,
    home_regions: frozenset[str],
    rng: Random,
) -> list[str]:
    """Return the addresses of the hosts that a caller may use, in random order.

    These are the hosts of the caller's own region. If it has none, they are the hosts
    of the home regions, and if there are none either, all hosts. Of these, the ones
    that reach servers are taken, if they are not too few.

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
    selected = _select_reaching(preferred or available)
    addresses = [entry.address for entry in selected]
    rng.shuffle(addresses)
    return addresses[:MAX_ADDRESSES]


def _select_reaching(entries: list[DirectoryEntry]) -> list[DirectoryEntry]:
    reaching = [entry for entry in entries if entry.reaches_servers]
    enough = len(reaching) >= MIN_REACHING_FRACTION * len(entries)
    return reaching if enough else entries
