"""Distribute a route's requests over its services by weight."""

from collections.abc import Sequence

from damasktally.fleet.model import WeightedService


class WeightedRoundRobin:
    """Pick services so that each one's count deviates at most by one from its weight.

    This is smooth weighted round robin: every pick adds to each service's credit its
    weight as a ratio of all weights. The service with the largest credit is picked, and
    1 is subtracted from its credit.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: str, services: Sequence[WeightedService]) -> str:
        """Return the name of the service for the next request of a route.

        :param route: name of the route.
        :param services: its services; not empty.
        """
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
