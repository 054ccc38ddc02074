"""Tell a store that is unavailable from one that responds late.

A call without a response yet proves nothing: the store may be slow, or this host may
have been suspended. Only an error, or silence on several calls for longer than the
store takes otherwise, shows that the store is unavailable.
"""

from collections import deque
from dataclasses import dataclass
from math import inf

from damasktally.decisions.recent_maximum import RecentMaximum

MIN_SILENCE_S = 2.0
"""Silence after which a store that responded quickly before counts as unavailable."""
SILENCE_LATENCY_RATIO = 1.5
"""The same as a multiple of the latest response times, for a store that is slow."""
MIN_UNANSWERED_CALLS = 2
CONFIRMATION_S = 0.25
"""How long the silence has to be seen to continue: after a suspension of this host, a
response may wait to be read."""
LATENCY_WINDOW_S = 10.0
MAX_LATENCY_S = 4.0
"""Response time beyond which calls are not given more time."""
MAX_LATE_CALLS = 16
"""Calls that timed out, and may still get a response, that are remembered."""
FAILURE_MEMORY_S = 5.0
"""A host that does not call the store any more takes it for unavailable this long."""


@dataclass(frozen=True, slots=True, eq=False)
class StoreCall:
    """Call to the store to which it responds without waiting for a change.

    :param sent_at: seconds on the event loop's clock.
    """

    sent_at: float


class StoreCalls:
    """Track the outcomes of this host's calls to the store.

    Times called ``now`` are in seconds on the event loop's clock. ``responded_at`` is
    when the last response arrived, however late, or ``-inf``.
    """

    def __init__(self) -> None:
        self.responded_at = -inf
        self._pending: set[StoreCall] = set()
        self._late: deque[StoreCall] = deque(maxlen=MAX_LATE_CALLS)
        self._unanswered_count = 0
        self._silent_since: float | None = None
        self._silence_seen_at: float | None = None
        self._sent_at = -inf
        self._failed_at: float | None = None
        self._latencies = RecentMaximum(LATENCY_WINDOW_S)
        self._latency_s = 0.0

    @property
    def latency_s(self) -> float:
        """Return the longest of the latest response times, in seconds."""
        return self._latency_s

    def record_sent(self, now: float) -> StoreCall:
        """Record that a call begins, and return it."""
        call = StoreCall(now)
        self._pending.add(call)
        self._unanswered_count += 1
        self._sent_at = now
        if self._silent_since is None:
            self._silent_since = now
        return call

    def record_response(self, now: float, call: StoreCall | None = None) -> None:
        """Record a response that shows that the store works.

        :param call: the call, or None if it waited for a change.
        """
        if call is not None:
            self._pending.discard(call)
            if call in self._late:
                self._late.remove(call)
            latency_s = min(now - call.sent_at, MAX_LATENCY_S)
            self._latency_s = self._latencies.record(latency_s, now)
        self.responded_at = now
        self._failed_at = None
        self._silence_seen_at = None
        self._unanswered_count = len(self._pending)
        self._silent_since = now if self._pending else None

    def record_failure(self, call: StoreCall, now: float) -> None:
        """Record that the store refused a call or its connection."""
        self._pending.discard(call)
        self._failed_at = now

    def record_timeout(self, call: StoreCall) -> None:
        """Record that the caller waits no longer for the response to a call."""
        self._pending.discard(call)
        self._late.append(call)

    def take_lost_responses(self) -> bool:
        """Return whether calls that timed out still have no response, and forget them.

        Connections that are open for longer may have been lost with them.
        """
        has_lost = bool(self._late)
        self._late.clear()
        return has_lost

    def record_cancelled(self, call: StoreCall) -> None:
        """Record that this host gave up a call, which says nothing of the store."""
        if call not in self._pending:
            return
        self._pending.discard(call)
        self._unanswered_count -= 1
        if self._unanswered_count <= 0:
            self._silent_since = None

    def update(self, now: float) -> None:
        """Note whether the store is silent now; called several times a second."""
        if not self._is_silent(now):
            self._silence_seen_at = None
        elif self._silence_seen_at is None:
            self._silence_seen_at = now

    def _is_silent(self, now: float) -> bool:
        if self._silent_since is None:
            return False
        limit_s = max(MIN_SILENCE_S, SILENCE_LATENCY_RATIO * self._latency_s)
        is_long = now - self._silent_since >= limit_s
        return is_long and self._unanswered_count >= MIN_UNANSWERED_CALLS

    def show_unavailable(self, now: float) -> bool:
        """Return whether the calls show that this host does not reach the store."""
        if self._failed_at is not None and now - self._failed_at <= FAILURE_MEMORY_S:
            return True
        if self._silence_seen_at is None or now - self._sent_at > FAILURE_MEMORY_S:
            return False
        return now - self._silence_seen_at >= CONFIRMATION_S
