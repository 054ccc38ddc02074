"""Take a host out of service step by step, without cutting a request."""

from dataclasses import dataclass
from time import sleep
from typing import TYPE_CHECKING

from pykka import ActorDeadError, Timeout

from damasktally.host.roster_updater import LeaveRoster

if TYPE_CHECKING:
    from damasktally.host.host import Host

LEAVE_ROSTER_TIMEOUT_S = 5.0
IDLE_CONFIRMATION_S = 0.5
"""Seconds without work after which a host counts as idle."""


@dataclass(frozen=True, slots=True)
class ShutdownReport:
    """Tell how a planned stop went.

    :param cut: requests that were still under way when the wait was over.
    """

    unfinished_requests: int
    left_roster: bool


class GracefulShutdown:
    """Do the steps of a planned stop of a host."""

    def __init__(self, host: "Host") -> None:
        self._host = host

    def wait_for_lookup_expiry(self) -> None:
        """Wait until no look-up answer that names this host is in use."""
        lifetime_s = self._host.view().policy("default").lookup_lifetime_s
        self._host.stopping.wait(lifetime_s)

    def wait_for_requests(self) -> int:
        """Wait until no request was under way for a while.

        :returns: requests that were still under way when the time was over.
        """
        deadline = self._host.clock() + self._host.settings.forwarding.stop_wait_s
        idle_since = self._host.clock()
        while self._host.clock() < deadline:
            if self._host.admission.in_flight() or self._host.dispatcher.headroom() < 1:
                idle_since = self._host.clock()
            elif self._host.clock() - idle_since >= IDLE_CONFIRMATION_S:
                return 0
            sleep(0.02)
        return self._host.admission.in_flight()

    def release_shares(self) -> bool:
        """Stop spending; the roster is left with consent once nothing is lent."""
        deadline = self._host.clock() + self._host.settings.membership.fence_s
        while (
            self._host.clock() < deadline
            and self._host.limit_table.has_outstanding_loans()
        ):
            sleep(0.05)
        with self._host.dispatcher.lock:
            slots_lent = self._host.dispatcher.slots.has_outstanding_loans(
                self._host.clock()
            )
        consented = (
            not self._host.limit_table.has_outstanding_loans() and not slots_lent
        )
        self._host.limit_table.start_incarnation(self._host.fleet.identity)
        self._host.dispatcher.start_incarnation()
        request = LeaveRoster(consented)
        try:
            left = self._host.roster_updater.ask(
                request, timeout=LEAVE_ROSTER_TIMEOUT_S
            )
            return bool(left)
        except (ActorDeadError, Timeout):
            # The platform may be down; the others remove this host later.
            return False
