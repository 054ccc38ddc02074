"""Remember what this host told of its own counts, to take it off sums of all hosts."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEARTBEATS_KEPT = 64
"""Heartbeats that are remembered; a sum includes one of the last few."""


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    sequence: int
    demand: Mapping[str, float]
    admitted: Mapping[str, int]


class HeartbeatHistory:
    """Keep the counts that went out with each heartbeat."""

    def __init__(self) -> None:
        self._heartbeats: deque[_SentHeartbeat] = deque(maxlen=MAX_HEARTBEATS_KEPT)

    def record(
        self, sequence: int, demand: Mapping[str, float], admitted: Mapping[str, int]
    ) -> None:
        """Note what a heartbeat says."""
        self._heartbeats.append(_SentHeartbeat(sequence, demand, admitted))

    def subtract_own(
        self,
        sequence: int | None,
        demand: Mapping[str, float],
        admitted: Mapping[str, int],
    ) -> tuple[Mapping[str, float], Mapping[str, int]] | None:
        """Return what sums of all hosts hold besides this host's part.

        :param sequence: number of the heartbeat that they include, or nothing when
            they include none.
        :returns: demand and admitted requests by customer, or nothing when the
            heartbeat is not remembered.
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
