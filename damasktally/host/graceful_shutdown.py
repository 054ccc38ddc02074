"""Graceful shutdown of a host, which lets the requests in flight finish."""

from dataclasses import dataclass
from time import sleep
from typing import TYPE_CHECKING

from pykka import ActorDeadError, Timeout

from damasktally.host.roster_keeper import LeaveRoster

if TYPE_CHECKING:
    from damasktally.host.host import Host

LEAVE_ROSTER_TIMEOUT_S = 5.0
"""Seconds to wait for the write that removes this host from the roster."""
IDLE_CONFIRMATION_S = 0.5
"""Seconds without a request in flight after which a host counts as idle."""


@dataclass(frozen=True, slots=True)
class ShutdownReport:
    """Result of a graceful shutdown.

    :param unfinished_requests: requests that were still in flight when the time to
        wait for them was over.
    :param left_roster: whether this host removed itself from the roster.
    """

    unfinished_requests: int
    left_roster: bool


class GracefulShutdown:
    """Steps of the graceful shutdown of a host, in the order of the methods."""

    def __init__(self, host: "Host") -> None:
        self._host = host

    def wait_for_lookup_expiry(self) -> None:
        """Wait until every look-up response that lists this host has expired."""
        lifetime_s = self._host.view().policy("default").lookup_lifetime_s
        self._host.stopping.wait(lifetime_s)

    def wait_for_requests(self) -> int:
        """Wait until no request was in flight and no slot in use for a while.

        :returns: requests still in flight after ``[forwarding] stop_wait_s`` seconds; 0
            once the host was idle for ``IDLE_CONFIRMATION_S``.
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
        """Stop using this host's shares and remove it from the roster.

        Waits up to ``[membership] fence_s`` seconds for the loans of rates to end. The
        roster records the removal as consented only if nothing is lent any more.

        :returns: whether the roster was changed.
        """
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
            left = self._host.roster_keeper.ask(request, timeout=LEAVE_ROSTER_TIMEOUT_S)
            return bool(left)
        except (ActorDeadError, Timeout):
            # The platform may be down; the other members remove this host later.
            return False
