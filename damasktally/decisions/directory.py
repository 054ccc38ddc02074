"""Select the hosts whose addresses a look-up returns to a caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

MAX_ADDRESSES = 64


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """Describe a host that callers may use.

    :param address: where callers connect, as ``host:port``.
    """

    address: str
    region: str
    data_centre: str


def select_addresses(
    entries: Iterable[DirectoryEntry],
    region: str,
    home_regions: frozenset[str],
    rng: Random,
) -> list[str]:
    """Return the addresses of the hosts that a caller may use, in random order.

    These are the hosts of the caller's own region. If it has none, they are the hosts
    of the home regions, and if there are none either, all hosts.

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
    selected = preferred or available
    addresses = [entry.address for entry in selected]
    rng.shuffle(addresses)
    return addresses[:MAX_ADDRESSES]
