"""Keep the counts that this host sent, to subtract them from sums over all hosts."""

from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEARTBEATS_KEPT = 64
"""Sent heartbeats that are kept; a sum includes the counts of a recent one."""


@dataclass(frozen=True, slots=True)
class SentCounts:
    """Hold the counts that a heartbeat carried.

    :param demand: requests a second by customer.
    :param admitted: admitted requests by customer, since this host started.
    """

    demand: Mapping[str, float]
    admitted: Mapping[str, int]


class HeartbeatHistory:
    """Keep the counts of the heartbeats that this host sent last."""

    def __init__(self) -> None:
        self._counts: dict[int, SentCounts] = {}

    def record(
        self, sequence: int, demand: Mapping[str, float], admitted: Mapping[str, int]
    ) -> None:
        """Record the counts of a heartbeat; the tables must not change later.

        :param sequence: the heartbeat's sequence number.
        :param demand: requests a second by customer.
        :param admitted: admitted requests by customer, since this host started.
        """
        self._counts[sequence] = SentCounts(demand, admitted)
        if len(self._counts) > MAX_HEARTBEATS_KEPT:
            del self._counts[next(iter(self._counts))]

    def sent_counts(self, sequence: int) -> SentCounts | None:
        """Return the counts of a heartbeat, or None when it is no longer kept.

        :param sequence: the heartbeat's sequence number.
        """
        return self._counts.get(sequence)
