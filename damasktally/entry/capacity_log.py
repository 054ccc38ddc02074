"""Log the usable capacity of each service when it changes substantially."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktally.events import emit
from damasktally.events.catalogue import SERVICE_CAPACITY
from damasktally.fleet.model import Server
from damasktally.fleet.view import FleetView

MIN_LOGGED_CHANGE_RATIO = 0.1
"""Log a service's slots again when they changed by more than this ratio."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Count the servers and slots of a service.

    :param usable: servers that may receive requests, including those warming up.
    :param warming_up: usable servers that are warming up and receive few requests.
    :param evacuated: servers whose data centre is being evacuated.
    :param slots: concurrent requests that the usable, warmed-up servers can process.
    """

    usable: int = 0
    warming_up: int = 0
    evacuated: int = 0
    slots: int = 0


class CapacityLog:
    """Log each service's capacity when it differs substantially from the last logged.

    :param view: the servers and the evacuated data centres.
    :param report: called with a service, its previously reported capacity (``None`` at
        first) and its current one; writes a log line unless given.
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
        """Log each service whose slots changed substantially since it was last logged.

        :param now: seconds on the event loop's clock.
        """
        current = capacity_by_service(self._view, now)
        for service in sorted(current.keys() | self._reported.keys()):
            capacity = current.get(service, Capacity())
            previous = self._reported.get(service)
            if previous is None or _is_substantial_change(previous, capacity):
                self._reported[service] = capacity
                self._report(service, previous, capacity)


def capacity_by_service(view: FleetView, now: float) -> dict[str, Capacity]:
    """Return the capacity of each service that has servers.

    :param now: seconds on the event loop's clock.
    """
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
        warming_up=len(usable) - len(warm),
        evacuated=len(servers) - len(usable),
        slots=sum(item.slots for item in warm),
    )


def _is_substantial_change(previous: Capacity, capacity: Capacity) -> bool:
    """Return whether the slots changed by more than the ratio that is logged."""
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
        cold=capacity.warming_up,
        evacuated=capacity.evacuated,
    )
