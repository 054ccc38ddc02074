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
    candidates: Iterable[DirectoryEntry],
    region: str,
    homes: frozenset[str],
    rng: Random,
) -> list[str]:
    """Return the hosts that a caller may use, in random order.

    Hosts of the caller's own region come first. Where it has none, hosts of the
    home regions do, and any host after that.

    :param region: the caller's region.
    :param homes: regions that may serve what the caller asks for; empty allows all.
    """
    known = list(candidates)
    near = [item for item in known if item.region == region]
    if not near and homes:
        near = [item for item in known if item.region in homes]
    chosen = near or known
    addresses = [item.address for item in chosen]
    rng.shuffle(addresses)
    return addresses[:MAX_ADDRESSES]
