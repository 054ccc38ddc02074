"""What a new relay knows of other data centres by the relay before it."""

from math import inf

from damasktally.fleet.members import HEARTBEAT_TIMEOUT_S
from damasktally.fleet.summaries import (
    DataCentreHosts,
    SummaryRecord,
    SummaryTable,
)

NEW_RELAY_TIME_S = 4.0
"""A relay that began to build summaries longer ago has heard of all data centres."""


class RelayTakeover:
    """Find the last summary of the relay before, as long as this host needs it.

    A new relay has no summaries of some other data centres yet. It goes by the earlier
    relay's for a short time only, so that two new relays do not keep up for ever what
    neither of them hears.

    :param own_data_centre: data centre of this host.
    :param summaries: the last summaries of relays.
    """

    def __init__(self, own_data_centre: str, summaries: SummaryTable) -> None:
        self._own_data_centre = own_data_centre
        self._summaries = summaries
        self._began_at = -inf
        self._built_at = -inf

    def record_summary(self, now: float) -> None:
        """Record that this host builds a summary of the fleet, as relays do.

        :param now: seconds on the event loop's clock.
        """
        if now - self._built_at > HEARTBEAT_TIMEOUT_S:
            self._began_at = now
        self._built_at = now

    def earlier_record(self, now: float) -> SummaryRecord | None:
        """Return the earlier relay's record, or None if this host needs none.

        :param now: seconds on the event loop's clock.
        """
        if now - self._began_at > NEW_RELAY_TIME_S:
            return None
        earlier = self._summaries.latest_fleet_record(now)
        if earlier is None or not self.missing_data_centres(earlier):
            return None
        return earlier

    def missing_data_centres(self, earlier: SummaryRecord) -> list[DataCentreHosts]:
        """Return the data centres of a record that sent this host no summary."""
        known = {self._own_data_centre, *self._summaries.data_centres()}
        return [
            listing
            for listing in earlier.data_centre_hosts
            if listing.data_centre not in known
        ]
