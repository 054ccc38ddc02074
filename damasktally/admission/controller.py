"""Take a request's token from its customer's rate, borrowing when it runs short."""

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock

from result import Err, Ok, Result

from damasktally.errors import DamasktallyError
from damasktally.escrow.limit_table import LimitTable, customer_limit_name

MAX_LOAN_WAIT_S = 0.25
"""Seconds that a request waits for a loan before it is refused."""
LOAN_REQUEST_INTERVAL_S = 0.1
"""Seconds after which a request that still waits asks peers again."""
MIN_RETRY_WAIT_S = 0.001
MAX_LOAN_WAITERS_PER_CUSTOMER = 16
"""Requests of one customer that may wait for a loan on this host."""
MAX_THREAD_FRACTION_PER_CUSTOMER = 0.5
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
    port_threads: int
    request_loan: Callable[[str, float], bool] = lambda limit, amount: False
    max_wait_s: float = MAX_LOAN_WAIT_S
    _lock: Lock = field(default_factory=Lock)
    _in_flight: dict[str, int] = field(default_factory=dict)
    _loan_waiters: dict[str, int] = field(default_factory=dict)

    def begin_request(self, customer: str) -> Result[None, TooManyInFlight]:
        """Count a request that starts; :meth:`end_request` must follow when it ends."""
        with self._lock:
            count = self._in_flight.get(customer, 0)
            if count >= max(
                1, int(self.port_threads * MAX_THREAD_FRACTION_PER_CUSTOMER)
            ):
                return Err(TooManyInFlight())
            self._in_flight[customer] = count + 1
        return Ok(None)

    def end_request(self, customer: str) -> None:
        """Count a request that ended."""
        with self._lock:
            count = self._in_flight[customer] - 1
            if count:
                self._in_flight[customer] = count
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
        if self._take_borrowed(limit, min(wait_s, self.max_wait_s)):
            return Ok(None)
        return Err(OverRate(self.limit_table.retry_after(limit, 1.0)))

    def _take_borrowed(self, limit: str, wait_s: float) -> bool:
        with self._lock:
            waiters = self._loan_waiters.get(limit, 0)
            if waiters >= MAX_LOAN_WAITERS_PER_CUSTOMER:
                return False
            self._loan_waiters[limit] = waiters + 1
        try:
            return self._wait_for_token(limit, wait_s)
        finally:
            with self._lock:
                self._loan_waiters[limit] -= 1

    def _wait_for_token(self, limit: str, wait_s: float) -> bool:
        """Ask for loans until one brings a token, or nobody has any to lend."""
        deadline = self.limit_table.clock() + wait_s
        last_request_at = float("-inf")
        with self.limit_table.changed:
            while True:
                if self.limit_table.retry_take(limit, 1.0):
                    return True
                now = self.limit_table.clock()
                retry_after_s = self.limit_table.retry_after(limit, 1.0)
                if now >= deadline:
                    return False
                if now - last_request_at >= LOAN_REQUEST_INTERVAL_S:
                    last_request_at = now
                    may_arrive = self.request_loan(
                        limit, float(self._loan_waiters[limit])
                    )
                    if not may_arrive and now + retry_after_s > deadline:
                        return False
                wait_s = min(
                    deadline - now,
                    LOAN_REQUEST_INTERVAL_S,
                    max(retry_after_s, MIN_RETRY_WAIT_S),
                )
                self.limit_table.changed.wait(wait_s)
