"""Limit each customer's rate and its concurrent requests on this host."""

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock

from result import Err, Ok, Result

from damasktally.errors import DamasktallyError
from damasktally.escrow.limit_table import LimitTable, customer_limit_name

MAX_LOAN_WAIT_S = 0.25
"""Seconds that a request waits for a loan before it is refused."""
LOAN_REQUEST_INTERVAL_S = 0.1
"""Seconds after which a request that still waits requests a loan again."""
MIN_RETRY_WAIT_S = 0.001
MAX_LOAN_WAITERS_PER_CUSTOMER = 16
"""Requests of one customer that may wait for a loan on this host."""
MAX_THREAD_FRACTION_PER_CUSTOMER = 0.5
"""Part of the caller port's threads that one customer may occupy."""


class OverRate(DamasktallyError):
    """Report that a customer's rate and burst are used up.

    :param retry_after_s: seconds until this host may have a token.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(
            "The customer's rate and burst are used up.",
            "Send again after the time in Retry-After.",
        )
        self.retry_after_s = retry_after_s


class TooManyInFlight(DamasktallyError):
    """Report that a customer occupies its part of this host's threads."""

    def __init__(self) -> None:
        super().__init__(
            "The customer has too many requests in flight on this host.",
            "Wait until some of them end, or use the other hosts that a look-up "
            "returns.",
        )


@dataclass
class AdmissionController:
    """Admit requests by customer.

    :param limit_table: holds this host's share of each customer's rate.
    :param port_threads: number of threads of the caller port.
    :param request_loan: requests a loan of units of a limit from peers; returns
        whether a peer is assumed to have some to lend.
    :param max_wait_s: seconds that a request waits for a loan at most.
    """

    limit_table: LimitTable
    port_threads: int
    request_loan: Callable[[str, float], bool] = lambda limit, amount: False
    max_wait_s: float = MAX_LOAN_WAIT_S
    _lock: Lock = field(default_factory=Lock)
    _in_flight: dict[str, int] = field(default_factory=dict)
    _loan_waiters: dict[str, int] = field(default_factory=dict)

    def begin_request(self, customer: str) -> Result[None, TooManyInFlight]:
        """Count a request that starts.

        If it is accepted, :meth:`end_request` has to be called when it ends.
        """
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
        """Return how many requests are in flight."""
        with self._lock:
            return sum(self._in_flight.values())

    def admit(self, customer: str, wait_s: float) -> Result[None, OverRate]:
        """Take one token of a customer; wait for a loan if there is none.

        :param wait_s: seconds that the request may wait for a loan.
        """
        limit = customer_limit_name(customer)
        if self.limit_table.take(limit, 1.0):
            return Ok(None)
        if self._take_borrowed(limit, min(wait_s, self.max_wait_s)):
            return Ok(None)
        return Err(OverRate(self.limit_table.retry_after(limit, 1.0)))

    def _take_borrowed(self, limit: str, wait_s: float) -> bool:
        """Wait for a token unless too many requests of the customer already do."""
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
        """Request loans until there is a token, or none can be expected in time.

        :param wait_s: seconds to wait at most.
        :returns: whether a token was taken.
        """
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
