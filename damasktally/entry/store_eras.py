"""Act when the store comes back from an older copy, in a new era."""

from asyncio import Task, create_task
from collections.abc import Callable

from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.registration import Registration
from damasktally.events import emit
from damasktally.events.catalogue import (
    REGISTERED_AGAIN,
    STORE_ERA_INVALID,
    STORE_RESTORED,
)
from damasktally.fleet.model import era_of
from damasktally.fleet.view import FleetView


class EraFollower:
    """Log each new era, and write this host's object again, once for each.

    :param view: its revisions show the era, from the store or from another host.
    :param registration: writes this host's object.
    :param renew_others: writes again what else this host wrote.
    """

    def __init__(
        self,
        view: FleetView,
        registration: Registration,
        renew_others: Callable[[], None],
    ) -> None:
        self._view = view
        self._registration = registration
        self._renew_others = renew_others
        self._era: int | None = None
        self._renewed_era = 0
        self._tasks: set[Task] = set()

    def follow(self) -> None:
        """Compare the era of the view with the known one."""
        newest = max(self._view.revisions.values())
        if not newest:
            return
        era = era_of(newest)
        previous, self._era = self._era, era
        if previous is not None and era > previous:
            emit(STORE_RESTORED, era=era, era_before=previous)
            self._renew_others()
        registered_era = max(self._registration.era, self._renewed_era)
        if self._registration.is_complete and registered_era < era:
            self._renewed_era = era
            task = create_task(self._renew_registration())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _renew_registration(self) -> None:
        await self._registration.renew()
        emit(REGISTERED_AGAIN, era=self._registration.era)

    def close(self) -> None:
        """Cancel what is under way."""
        for task in self._tasks:
            task.cancel()


class EraProblemLog:
    """Count the responses whose era cannot be right, and log them.

    :param metrics: counts every such response.
    """

    def __init__(self, metrics: EntryMetrics) -> None:
        self._metrics = metrics
        self._last_problem = ""

    def record(self, problem: str) -> None:
        """Record a problem; it is logged unless it is the same as the one before."""
        self._metrics.store_era_problems.inc()
        if problem != self._last_problem:
            self._last_problem = problem
            emit(STORE_ERA_INVALID, problem=problem)
