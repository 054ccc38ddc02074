"""Take a request's token from its customer's rate, borrowing when it runs short."""

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock

from result import Err, Ok, Result

from damasktally.errors import DamasktallyError
from damasktally.escrow.limit_table import LimitTable, customer_limit_name

MAX_BORROW_WAIT_S = 0.25
"""Seconds that a request waits for a loan before it is refused."""
ASK_GAP_S = 0.1
"""Seconds after which a request that still waits asks peers again."""
SHORTEST_WAIT_S = 0.001
MAX_WAITERS = 16
"""Requests of one customer that may wait for a loan on this host."""
MAX_THREAD_PART = 0.5
"""Part of the caller port's threads that one customer may hold."""


class OverRate(DamasktallyError):
    """Tell that the customer used up its rate and burst.

    :param retry_after_s: seconds after which a token may be here.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            "The customer's rate and burst are used up.",
            "Send again after the time in Retry-After.",
        )
        self.retry_after_s = retry_after_s


class TooManyInFlight(DamasktallyError):
    """Tell that the customer holds its part of this host's threads."""

    def __init__(self) -> None:
        super().__init__(
            "The customer has too many requests under way on this host.",
            "Wait for some to end, or use the other hosts that the look-up names.",
        )


@dataclass
class AdmissionController:
    """Admit requests by customer.

    :param ledger: this host's part of the rates.
    :param threads: threads of the caller port.
    :param longest_wait_s: seconds that a request waits for a loan at most.
    :param want_loan: asks peers for units of a limit; returns whether any peer is
        believed to have some.
    """

    limit_table: LimitTable
    threads: int
    want_loan: Callable[[str, float], bool] = lambda limit, amount: False
    max_wait_s: float = MAX_BORROW_WAIT_S
    _lock: Lock = field(default_factory=Lock)
    _in_flight: dict[str, int] = field(default_factory=dict)
    _waiting: dict[str, int] = field(default_factory=dict)

    def begin_request(self, customer: str) -> Result[None, TooManyInFlight]:
        """Count a request that starts; :meth:`end_request` must follow when it ends."""
        with self._lock:
            held = self._in_flight.get(customer, 0)
            if held >= max(1, int(self.threads * MAX_THREAD_PART)):
                return Err(TooManyInFlight())
            self._in_flight[customer] = held + 1
        return Ok(None)

    def end_request(self, customer: str) -> None:
        """Count a request that ended."""
        with self._lock:
            held = self._in_flight[customer] - 1
            if held:
                self._in_flight[customer] = held
            else:
                del self._in_flight[customer]

    def in_flight(self) -> int:
        """Return how many requests are under way."""
        with self._lock:
            return sum(self._in_flight.values())

    def admit(self, customer: str, wait_s: float) -> Result[None, OverRate]:
        """Take one token of a customer.

        :param wait_s: seconds that the request may wait for a loan.
        """
        limit = customer_limit_name(customer)
        if self.limit_table.take(limit, 1.0):
            return Ok(None)
        if self._borrow(limit, min(wait_s, self.max_wait_s)):
            return Ok(None)
        return Err(OverRate(self.limit_table.retry_after(limit, 1.0)))

    def _borrow(self, limit: str, wait_s: float) -> bool:
        with self._lock:
            waiting = self._waiting.get(limit, 0)
            if waiting >= MAX_WAITERS:
                return False
            self._waiting[limit] = waiting + 1
        try:
            return self._wait_for_token(limit, wait_s)
        finally:
            with self._lock:
                self._waiting[limit] -= 1

    def _wait_for_token(self, limit: str, wait_s: float) -> bool:
        """Ask for loans until one brings a token, or nobody has any to lend."""
        end = self.limit_table.clock() + wait_s
        asked_at = float("-inf")
        with self.limit_table.changed:
            while True:
                if self.limit_table.retry_take(limit, 1.0):
                    return True
                now = self.limit_table.clock()
                soon = self.limit_table.retry_after(limit, 1.0)
                if now >= end:
                    return False
                if now - asked_at >= ASK_GAP_S:
                    asked_at = now
                    asked = self.want_loan(limit, float(self._waiting[limit]))
                    if not asked and now + soon > end:
                        return False
                wait_s = min(end - now, ASK_GAP_S, max(soon, SHORTEST_WAIT_S))
                self.limit_table.changed.wait(wait_s)
