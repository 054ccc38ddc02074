"""Log how much of each service can be used, when that changes much."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktally.events import emit
from damasktally.events.catalogue import SERVICE_CAPACITY
from damasktally.fleet.model import Server
from damasktally.fleet.view import FleetView

MIN_LOGGED_CHANGE_RATIO = 0.1
"""A service's capacity is told anew when it differs by this part."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Hold how many servers of a service there are.

    :param usable: servers that may get requests, cold ones included.
    :param cold: usable servers that bear few requests.
    :param evacuated: servers whose data centre is being emptied.
    :param slots: requests that the usable servers that are not cold work on at once.
    """

    usable: int = 0
    cold: int = 0
    evacuated: int = 0
    slots: int = 0


class CapacityLog:
    """Remember what was told of each service.

    :param view: servers and evacuations.
    :param tell: takes a service, what was told of it before, and its capacity now.
    """

    def __init__(
        self,
        view: FleetView,
        report: Callable[[str, Capacity | None, Capacity], None] | None = None,
    ) -> None:
        self._view = view
        self._report = report or _emit_capacity
        self._reported: dict[str, Capacity] = {}

    def log_changes(self, now: float) -> None:
        """Tell what changed much since the last call."""
        current = capacity_by_service(self._view, now)
        for service in sorted(current.keys() | self._reported.keys()):
            capacity = current.get(service, Capacity())
            previous = self._reported.get(service)
            if previous is None or _differs_much(previous, capacity):
                self._reported[service] = capacity
                self._report(service, previous, capacity)


def capacity_by_service(view: FleetView, now: float) -> dict[str, Capacity]:
    """Return the capacity of each service that has servers."""
    by_service: dict[str, list[Server]] = {}
    for server in view.servers.usable():
        by_service.setdefault(server.service, []).append(server)
    return {
        service: _capacity_of(view, servers, now)
        for service, servers in by_service.items()
    }


def _capacity_of(view: FleetView, servers: list[Server], now: float) -> Capacity:
    usable = [item for item in servers if item.data_centre not in view.evacuated]
    warm = [item for item in usable if not view.servers.is_warming_up(item.id, now)]
    return Capacity(
        usable=len(usable),
        cold=len(usable) - len(warm),
        evacuated=len(servers) - len(usable),
        slots=sum(item.slots for item in warm),
    )


def _differs_much(previous: Capacity, capacity: Capacity) -> bool:
    return abs(capacity.slots - previous.slots) > MIN_LOGGED_CHANGE_RATIO * max(
        previous.slots, 1
    )


def _emit_capacity(service: str, previous: Capacity | None, capacity: Capacity) -> None:
    emit(
        SERVICE_CAPACITY,
        service=service,
        slots=capacity.slots,
        slots_before=previous.slots if previous is not None else None,
        usable=capacity.usable,
        cold=capacity.cold,
        evacuated=capacity.evacuated,
    )
