"""Keep the counts that this host sent, to subtract them from sums over all hosts."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEARTBEATS_KEPT = 64
"""Sent heartbeats that are kept; a sum includes the counts of a recent one."""


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    sequence: int
    demand: Mapping[str, float]
    admitted: Mapping[str, int]


class HeartbeatHistory:
    """Keep the counts of the heartbeats that this host sent last."""

    def __init__(self) -> None:
        self._heartbeats: deque[_SentHeartbeat] = deque(maxlen=MAX_HEARTBEATS_KEPT)

    def record(
        self, sequence: int, demand: Mapping[str, float], admitted: Mapping[str, int]
    ) -> None:
        """Record the counts of a heartbeat.

        :param sequence: the heartbeat's sequence number.
        :param demand: requests a second by customer.
        :param admitted: admitted requests by customer, since this host started.
        """
        self._heartbeats.append(_SentHeartbeat(sequence, demand, admitted))

    def subtract_own(
        self,
        sequence: int | None,
        demand: Mapping[str, float],
        admitted: Mapping[str, int],
    ) -> tuple[Mapping[str, float], Mapping[str, int]] | None:
        """Subtract this host's own counts from sums over all hosts.

        :param sequence: sequence number of this host's heartbeat that the sums include,
            or ``None`` when they include none.
        :param demand: requests a second by customer, over all hosts.
        :param admitted: admitted requests by customer, over all hosts.
        :returns: the demand and the admitted requests of the other hosts, or ``None``
            when the heartbeat is no longer kept.
        """
        if sequence is None:
            return demand, admitted
        own = next(
            (item for item in self._heartbeats if item.sequence == sequence), None
        )
        if own is None:
            return None
        other_demand = {
            name: max(0.0, value - own.demand.get(name, 0.0))
            for name, value in demand.items()
        }
        other_admitted = {
            name: value - own.admitted.get(name, 0) for name, value in admitted.items()
        }
        return other_demand, other_admitted
