"""Divert objects from servers that stay overloaded to others of their rankings.

Rendezvous hashing spreads objects evenly, but not their requests: among a hundred
servers, some win several of the objects that are requested most. Such a server is
overloaded while most others are idle. Its queue never empties, since its requests
arrive as fast as it processes them. Sending single requests elsewhere does not
help, because each host knows little of its load when it chooses.

Therefore a fraction of a server's objects is diverted while its load stays well above
that of its service. Objects are selected by hash, so all hosts divert the same ones and
the next server warms up for them. The fraction grows and falls slowly, which keeps the
requests from moving back and forth, and the regions' shares from changing abruptly.
"""

from collections.abc import Mapping, Sequence

from damasktally.decisions.affinity import uniform_score

OVERLOAD_MARGIN = 0.5
"""Load above the mean of the service, as a ratio of a server's slots, from which the
diverted fraction grows."""
MIN_OVERLOAD = 1.0
"""Load, as a ratio of a server's slots, below which the diverted fraction never
grows."""
RECOVERED_LOAD = 0.7
"""Load, as a ratio of a server's slots, below which the diverted fraction falls."""
RISE_PER_S = 0.2
"""Growth of the diverted fraction of an overloaded server in a second."""
FALL_PER_S = 0.02
"""Fall of the diverted fraction in a second. It is slow, as the objects that return
make the server busy again."""
MAX_FRACTION = 0.9
DIVERSION_KEY = b"diversion:"
"""Prefix of an object's key, so that the selection does not depend on its ranking."""
MAX_STEP_S = 1.0
"""Longest time between two updates that counts, as the host may be suspended."""


class Diversions:
    """Track which fraction of each server's objects is diverted, by service."""

    def __init__(self) -> None:
        self._fractions: dict[str, dict[str, float]] = {}
        self._updated_at: dict[str, float] = {}
        self._mean_loads: dict[str, float] = {}

    def update(
        self, service: str, loads: Mapping[str, float], server_count: int, now: float
    ) -> None:
        """Adjust the fractions of a service's servers to their loads.

        :param loads: outstanding requests of each server, as a ratio of its slots;
            servers that are idle or whose load is unknown may be missing.
        :param server_count: number of servers of the service.
        :param now: time of the event loop in seconds.
        """
        elapsed_s = min(MAX_STEP_S, now - self._updated_at.get(service, now))
        self._updated_at[service] = now
        fractions = self._fractions.get(service, {})
        mean_load = sum(loads.values()) / max(1, server_count)
        self._mean_loads[service] = mean_load
        limit = max(MIN_OVERLOAD, mean_load + OVERLOAD_MARGIN)
        rise, fall = RISE_PER_S * elapsed_s, FALL_PER_S * elapsed_s
        changed = {
            server: value - fall if loads.get(server, 0.0) < RECOVERED_LOAD else value
            for server, value in fractions.items()
        }
        for server, load in loads.items():
            if load > limit:
                changed[server] = min(MAX_FRACTION, changed.get(server, 0.0) + rise)
        self._fractions[service] = {
            server: value for server, value in changed.items() if value > 0
        }

    def fraction(self, service: str, server: str) -> float:
        """Return the fraction of a server's objects that is diverted, from 0 to 1."""
        return self._fractions.get(service, {}).get(server, 0.0)

    def is_service_full(self, service: str) -> bool:
        """Return whether its servers have as many requests as slots on average."""
        return self._mean_loads.get(service, 0.0) >= 1.0

    def diverted_count(self) -> int:
        """Return the number of servers from which objects are diverted."""
        return sum(len(fractions) for fractions in self._fractions.values())

    def reorder(self, service: str, ranked: Sequence[str], key: bytes) -> Sequence[str]:
        """Move the servers from which an object is diverted behind the next one.

        They remain the second choice, as they are likely to be warm for the object.

        :param ranked: ids of the servers that the object prefers, the best first.
        :param key: identifies the object.
        """
        fractions = self._fractions.get(service)
        if not fractions:
            return ranked
        diverted = []
        for position, server in enumerate(ranked):
            fraction = fractions.get(server, 0.0)
            if uniform_score(server, DIVERSION_KEY + key) >= fraction:
                return [server, *diverted, *ranked[position + 1 :]]
            diverted.append(server)
        return ranked
