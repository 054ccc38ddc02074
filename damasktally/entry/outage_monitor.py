"""Watch for outages of the store, and log them."""

from damasktally.entry.store_topology import StoreTopology
from damasktally.events import emit
from damasktally.events.catalogue import STORE_OUTAGE_BEGAN, STORE_OUTAGE_ENDED
from damasktally.fleet.staleness import NEVER_CONFIRMED_AGE_S
from damasktally.fleet.store_outages import StoreOutage, StoreOutages


class OutageMonitor:
    """Derive outages of the store from what this host and the others say of it.

    Times called ``now`` are in seconds on the event loop's clock.

    :param topology: tells who reached the store.
    """

    def __init__(self, topology: StoreTopology) -> None:
        self._topology = topology
        self._outages = StoreOutages()
        self._is_logged = False
        self._last_logged: StoreOutage | None = None

    def update(self, now: float) -> None:
        """Record who reaches the store now, and log if an outage began or ended."""
        observation = self._topology.observe_store(now)
        self._outages.record(observation, now)
        is_under_way = self._outages.is_under_way(now)
        if is_under_way and not self._is_logged:
            emit(
                STORE_OUTAGE_BEGAN,
                away_s=_rounded(self._outages.away_s(now)),
                own_calls_show_it=observation.is_unavailable,
                others_say_so=observation.is_unavailable_to_others,
            )
        self._is_logged = is_under_way
        last = self._outages.last
        if last is not self._last_logged:
            self._last_logged = last
            emit(
                STORE_OUTAGE_ENDED,
                away_s=_rounded(last.duration_s),
                back_s=_rounded(now - last.ended_at),
            )

    def reregistration_deadline(self, now: float) -> float | None:
        """Return until when a server whose registration is removed now stays in use.

        :returns: seconds on the event loop's clock, or None if the server is gone.
        """
        self.update(now)
        return self._outages.reregistration_deadline(now)


def _rounded(seconds: float) -> float:
    """Return a duration for the log; it is infinite if the store was never reached."""
    return round(min(seconds, NEVER_CONFIRMED_AGE_S), 2)
