"""Detect outages of the store, in which registrations of healthy servers expire.

The store removes the registration of a server that does not renew it. While nobody can
write to the store, this also happens to healthy servers, which register again soon
after its return. Only what hosts say of the store tells such a removal from that of a
server that has left.
"""

from dataclasses import dataclass
from math import inf

MIN_OUTAGE_S = 1.5
"""A shorter interruption lets no registration expire."""
REREGISTRATION_GRACE_S = 2.4
"""Time after the store's return in which healthy servers register again, and in which
this host learns of it."""
ISOLATION_WINDOW_S = 2.0
"""A host that last heard from the others, and of the store, within this time may have
lost only its own network."""


@dataclass(frozen=True, slots=True)
class StoreObservation:
    """What a host knows of the store at one moment.

    Times are in seconds on the event loop's clock, and ``-inf`` if there was none.

    :param reached_at: when this host, or one whose messages it gets, last reached the
        store.
    :param heard_at: when the last message of another host arrived.
    :param is_unavailable: whether this host's own calls show that the store is
        unavailable, rather than slow.
    :param is_unavailable_to_others: whether another live host says so of its calls.
    """

    reached_at: float
    heard_at: float
    is_unavailable: bool
    is_unavailable_to_others: bool

    @property
    def shows_outage(self) -> bool:
        """Return whether the store itself failed, rather than this host's network.

        Another host has to say so, unless this one was alone before it lost the store.
        """
        if self.is_unavailable_to_others:
            return True
        was_alone = self.reached_at - self.heard_at > ISOLATION_WINDOW_S
        return self.is_unavailable and was_alone


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """Period in which no known host reached the store.

    Times are in seconds on the event loop's clock.
    """

    began_at: float
    ended_at: float

    @property
    def duration_s(self) -> float:
        """Return how long it lasted, in seconds."""
        return self.ended_at - self.began_at


class StoreOutages:
    """Keep track of the present or the last outage of the store.

    What came before any known host reached the store is none: no registration that a
    host knows can have expired in it.

    Times called ``now`` are in seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._reached_at = -inf
        self._shown_at = -inf
        self.last: StoreOutage | None = None

    @property
    def _is_confirmed(self) -> bool:
        """Return whether an outage was shown since a host last reached the store."""
        return self._shown_at > self._reached_at > -inf

    def record(self, observation: StoreObservation, now: float) -> None:
        """Record what this host knows of the store now."""
        if observation.reached_at > self._reached_at:
            outage = StoreOutage(self._reached_at, observation.reached_at)
            if self._is_confirmed and outage.duration_s >= MIN_OUTAGE_S:
                self.last = outage
            self._reached_at = observation.reached_at
        if observation.shows_outage:
            self._shown_at = now

    def is_under_way(self, now: float) -> bool:
        """Return whether the store is away, as far as this host knows."""
        return self._is_confirmed and now - self._reached_at >= MIN_OUTAGE_S

    def away_s(self, now: float) -> float:
        """Return how long ago any known host last reached the store, in seconds."""
        return now - self._reached_at

    def reregistration_deadline(self, now: float) -> float | None:
        """Return until when a server whose registration is removed now stays in use.

        :returns: seconds on the event loop's clock, or None if the registration cannot
            have expired in an outage, so that the server is gone.
        """
        if self.is_under_way(now):
            # The removal shows that the store is back.
            return now + REREGISTRATION_GRACE_S
        if self.last is None:
            return None
        deadline = self.last.ended_at + REREGISTRATION_GRACE_S
        return deadline if now < deadline else None
