"""Answer which entry hosts a caller should use: pure functions and a table."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from ipaddress import ip_address, ip_network

from damasktally.resources.kinds import DataCentre, SteeringPolicy

NOWHERE = -1
LAST_IPV4 = 2**32 - 1
FULL_HEADROOM = 0.1
"""Free part of a host's slots below which it is named after the others."""


@dataclass(frozen=True, slots=True)
class EntryHost:
    """Describe a host that callers may be sent to.

    :param address: where it listens for callers.
    :param headroom: free part of its slots, from 0 to 1.
    """

    host: str
    address: str
    region: str
    data_centre: str
    headroom: float


class ClientTable:
    """Find the data centre next to a client's address.

    Blocks become disjoint ranges in sorted arrays: six bytes a range for IPv4 and
    one bisection a look-up. When blocks nest, the longest prefix wins.

    :param blocks: pairs of a block and a data centre's name.
    """

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self._names: list[str] = []
        index: dict[str, int] = {}
        v4: list[tuple[int, int, int]] = []
        v6: list[tuple[int, int, int]] = []
        for block, name in blocks:
            number = index.setdefault(name, len(index))
            network = ip_network(block)
            start = int(network.network_address)
            row = (start, start + network.num_addresses, number)
            (v4 if network.version == 4 else v6).append(row)
        self._names = list(index)
        starts, owners = _flatten(v4)
        if starts and starts[-1] > LAST_IPV4:
            starts.pop()
            owners.pop()
        self._v4_starts = array("I", starts)
        self._v4_owners = array("h", owners)
        self._v6_starts, self._v6_owners = _flatten(v6)

    @classmethod
    def from_data_centres(cls, centres: Mapping[str, DataCentre]) -> "ClientTable":
        """Build the table from the configuration."""
        return cls(
            (block, name)
            for name, centre in centres.items()
            for block in centre.client_blocks
        )

    def find(self, address: str) -> str | None:
        """Return the data centre of an address, or nothing."""
        try:
            parsed = ip_address(address)
        except ValueError:
            return None
        number = int(parsed)
        if parsed.version == 4:
            at = bisect_right(self._v4_starts, number) - 1
            owner = self._v4_owners[at] if at >= 0 else NOWHERE
        else:
            at = bisect_right(self._v6_starts, number) - 1
            owner = self._v6_owners[at] if at >= 0 else NOWHERE
        return self._names[owner] if owner != NOWHERE else None


def rank_hosts(
    hosts: Sequence[EntryHost],
    region: str,
    data_centre: str,
    customer: str,
    latency_ms: Mapping[str, float],
    policy: SteeringPolicy,
) -> list[EntryHost]:
    """Order entry hosts for a caller, the best first.

    Hosts of the caller's region come first. Among them each customer has an order
    of its own, so that its callers meet at few hosts and its tokens need not be
    moved about; a host that is nearly full steps back.

    :param region: the caller's region; empty when it is not known.
    :param latency_ms: one way from the caller's region to each other.
    """

    def key(host: EntryHost) -> tuple[bool, float, bool, bytes, bool]:
        far = bool(region) and host.region != region
        distance = latency_ms.get(host.region, 0.0) if far else 0.0
        full = host.headroom < FULL_HEADROOM
        same_centre = host.data_centre == data_centre
        return (far, distance, full, _order(customer, host.host), not same_centre)

    return sorted(hosts, key=key)[: policy.lookup_hosts]


def _order(customer: str, host: str) -> bytes:
    return blake2b(f"{customer}|{host}".encode(), digest_size=8).digest()


def _flatten(rows: list[tuple[int, int, int]]) -> tuple[list[int], list[int]]:
    """Turn nested ranges into disjoint ones that name the innermost owner."""
    rows.sort(key=lambda row: (row[0], -row[1]))
    starts: list[int] = []
    owners: list[int] = []
    open_ranges: list[tuple[int, int]] = []

    def begin(at: int, owner: int) -> None:
        if starts and starts[-1] == at:
            owners[-1] = owner
        elif not owners or owners[-1] != owner:
            starts.append(at)
            owners.append(owner)

    def close_until(at: int) -> None:
        while open_ranges and open_ranges[-1][0] <= at:
            end, _ = open_ranges.pop()
            begin(end, open_ranges[-1][1] if open_ranges else NOWHERE)

    for start, end, owner in rows:
        close_until(start)
        begin(start, owner)
        open_ranges.append((end, owner))
    close_until(2**129)
    return starts, owners
