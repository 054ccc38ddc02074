"""List the hosts of data centres in summaries, and keep lists that did not change."""

from collections.abc import Iterable

from damasktally.fleet.members import MemberRecord
from damasktally.fleet.model import Member
from damasktally.fleet.summaries import DataCentreHosts, HostSummary

SAME_REGION_HOST_LIMIT = 64
"""Maximum number of hosts listed for a data centre of the same region."""
OTHER_REGION_HOST_LIMIT = 8
"""Maximum number of hosts listed for a data centre of another region."""


class HostListings:
    """Build lists of hosts, which are the same objects until a host changes.

    Lists that are the same object are compared and passed on at no cost.

    :param own: this host.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._local = DataCentreHosts(own.region, own.data_centre, [])
        self._truncated: dict[str, tuple[DataCentreHosts, DataCentreHosts]] = {}

    def list_local(
        self,
        ready: bool,
        unreachable_services: tuple[str, ...],
        others: Iterable[MemberRecord],
    ) -> DataCentreHosts:
        """Return the hosts of this data centre.

        :param ready: whether callers may be sent to this host.
        :param unreachable_services: services of which this host reaches no server.
        :param others: records of the other live hosts of this data centre.
        """
        own = self._own
        hosts = [_describe_host(own, ready, unreachable_services)]
        hosts += [
            _describe_host(record.member, record.ready, record.unreachable_services)
            for record in others
        ]
        hosts.sort(key=lambda host: (-host.capacity, host.host))
        hosts = hosts[:SAME_REGION_HOST_LIMIT]
        if hosts != self._local.hosts:
            self._local = DataCentreHosts(own.region, own.data_centre, hosts)
        return self._local

    def truncate(self, listing: DataCentreHosts) -> DataCentreHosts:
        """Return the list of another data centre, as this one's hosts get it."""
        cached = self._truncated.get(listing.data_centre)
        if cached is None or cached[0] is not listing:
            limit = (
                SAME_REGION_HOST_LIMIT
                if listing.region == self._own.region
                else OTHER_REGION_HOST_LIMIT
            )
            truncated = DataCentreHosts(
                listing.region, listing.data_centre, listing.hosts[:limit]
            )
            cached = self._truncated[listing.data_centre] = (listing, truncated)
        return cached[1]


def _describe_host(
    member: Member, ready: bool, unreachable_services: tuple[str, ...]
) -> HostSummary:
    return HostSummary(
        member.host,
        member.started_ms,
        member.caller_address,
        *member.peer_address,
        ready,
        member.capacity,
        member.forwarding_port,
        unreachable_services,
        member.lease_port,
    )
