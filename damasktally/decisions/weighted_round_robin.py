"""Deal a route's requests to its services by weight."""

from collections.abc import Sequence

from damasktally.fleet.model import WeightedService


class WeightedRoundRobin:
    """Pick services so that each is never more than one request off its weight.

    Smooth weighted round robin: every pick adds the weights to the credits, and the
    service with the largest credit pays for the pick.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: str, services: Sequence[WeightedService]) -> str:
        """Return the service of the next request of a route."""
        if len(services) == 1:
            return services[0].service
        total = sum(item.weight for item in services)
        if total <= 0:
            return services[0].service
        names = {item.service for item in services}
        credits = self._credits.get(route)
        if credits is None or set(credits) != names:
            credits = self._credits[route] = dict.fromkeys(names, 0.0)
        for item in services:
            credits[item.service] += item.weight / total
        best = max(services, key=lambda item: credits[item.service]).service
        credits[best] -= 1.0
        return best
