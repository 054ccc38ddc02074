"""Tell callers which hosts to use."""

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
    """Return the hosts that a caller may use, in random order.

    Hosts of the caller's own region come first. Where it has none, hosts of the
    home regions do, and any host after that.

    :param region: the caller's region.
    :param homes: regions that may serve what the caller asks for; empty allows all.
    """
    available = list(entries)
    preferred = [entry for entry in available if entry.region == region]
    if not preferred and home_regions:
        preferred = [entry for entry in available if entry.region in home_regions]
    selected = preferred or available
    addresses = [entry.address for entry in selected]
    rng.shuffle(addresses)
    return addresses[:MAX_ADDRESSES]
