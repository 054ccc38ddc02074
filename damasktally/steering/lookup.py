"""Rank the entry hosts for a caller, and find the data centre of its address."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from ipaddress import ip_address, ip_network

from damasktally.resources.kinds import DataCentre, SteeringPolicy

NO_DATA_CENTRE = -1
"""Index of an address range that belongs to no data centre."""
MAX_IPV4_ADDRESS = 2**32 - 1
MIN_PREFERRED_HEADROOM = 0.1
"""Free part of a host's slots below which it is ranked after the others."""


@dataclass(frozen=True, slots=True)
class EntryHost:
    """Describe a host that callers can be directed to.

    :param address: the address of its caller port.
    :param headroom: free part of its slots, from 0 to 1.
    """

    host: str
    address: str
    region: str
    data_centre: str
    headroom: float


class ClientTable:
    """Find the data centre that a client's address is assigned to.

    Address blocks become disjoint ranges in sorted arrays: six bytes a range for
    IPv4 and one bisection a look-up. When blocks nest, the longest prefix wins.

    :param blocks: pairs of an address block and a data centre's name.
    """

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self._names: list[str] = []
        index_by_name: dict[str, int] = {}
        v4: list[tuple[int, int, int]] = []
        v6: list[tuple[int, int, int]] = []
        for block, name in blocks:
            index = index_by_name.setdefault(name, len(index_by_name))
            network = ip_network(block)
            start = int(network.network_address)
            row = (start, start + network.num_addresses, index)
            (v4 if network.version == 4 else v6).append(row)
        self._names = list(index_by_name)
        starts, indexes = _to_disjoint_ranges(v4)
        # The end of the highest block can lie past what the array's type holds.
        if starts and starts[-1] > MAX_IPV4_ADDRESS:
            starts.pop()
            indexes.pop()
        self._v4_starts = array("I", starts)
        self._v4_indexes = array("h", indexes)
        self._v6_starts, self._v6_indexes = _to_disjoint_ranges(v6)

    @classmethod
    def from_data_centres(cls, centres: Mapping[str, DataCentre]) -> "ClientTable":
        """Build the table from the client blocks of the configuration."""
        return cls(
            (block, name)
            for name, centre in centres.items()
            for block in centre.client_blocks
        )

    def find(self, address: str) -> str | None:
        """Return the data centre of an address.

        :returns: ``None`` when no block holds the address, or it is not valid.
        """
        try:
            parsed = ip_address(address)
        except ValueError:
            return None
        number = int(parsed)
        if parsed.version == 4:
            at = bisect_right(self._v4_starts, number) - 1
            index = self._v4_indexes[at] if at >= 0 else NO_DATA_CENTRE
        else:
            at = bisect_right(self._v6_starts, number) - 1
            index = self._v6_indexes[at] if at >= 0 else NO_DATA_CENTRE
        return self._names[index] if index != NO_DATA_CENTRE else None


def rank_hosts(
    hosts: Sequence[EntryHost],
    region: str,
    data_centre: str,
    customer: str,
    latency_ms: Mapping[str, float],
    policy: SteeringPolicy,
) -> list[EntryHost]:
    """Order entry hosts for a caller, the best first.

    Hosts of the caller's region come first, then the others by latency. Within a
    region, hosts that are nearly full come last. The rest is ordered by a hash of
    the customer and the host (rendezvous hashing): the callers of one customer are
    directed to few hosts, so that its tokens need not be moved between hosts.

    :param region: the caller's region; empty when it is not known.
    :param data_centre: the caller's data centre; empty when it is not known.
    :param latency_ms: one-way latency from the caller's region to each other one.
    """

    def key(host: EntryHost) -> tuple[bool, float, bool, bytes, bool]:
        is_remote = bool(region) and host.region != region
        distance_ms = latency_ms.get(host.region, 0.0) if is_remote else 0.0
        is_nearly_full = host.headroom < MIN_PREFERRED_HEADROOM
        is_same_centre = host.data_centre == data_centre
        return (
            is_remote,
            distance_ms,
            is_nearly_full,
            _rendezvous_hash(customer, host.host),
            not is_same_centre,
        )

    return sorted(hosts, key=key)[: policy.lookup_hosts]


def _rendezvous_hash(customer: str, host: str) -> bytes:
    return blake2b(f"{customer}|{host}".encode(), digest_size=8).digest()


def _to_disjoint_ranges(
    rows: list[tuple[int, int, int]],
) -> tuple[list[int], list[int]]:
    """Turn nested ranges into disjoint ones.

    :param rows: start, end (exclusive) and index of each range; sorted in place.
    :returns: the starts of the disjoint ranges, and for each the index of the
        innermost range that holds it, or ``NO_DATA_CENTRE``.
    """
    rows.sort(key=lambda row: (row[0], -row[1]))
    starts: list[int] = []
    indexes: list[int] = []
    open_ranges: list[tuple[int, int]] = []

    def start_range(at: int, index: int) -> None:
        if starts and starts[-1] == at:
            indexes[-1] = index
        elif not indexes or indexes[-1] != index:
            starts.append(at)
            indexes.append(index)

    def close_until(at: int) -> None:
        while open_ranges and open_ranges[-1][0] <= at:
            end, _ = open_ranges.pop()
            start_range(end, open_ranges[-1][1] if open_ranges else NO_DATA_CENTRE)

    for start, end, index in rows:
        close_until(start)
        start_range(start, index)
        open_ranges.append((end, index))
    # Beyond the last IPv6 address: closes every range that is still open.
    close_until(2**129)
    return starts, indexes
