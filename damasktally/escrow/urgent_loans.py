"""Decide whether to request loans for waiting callers, and how often."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damasktally.escrow.hints import HintTable
from damasktally.escrow.lending import MIN_TOKENS, estimate_peer_tokens
from damasktally.escrow.limit_table import LimitTable

MIN_REQUEST_INTERVAL_S = 0.02
"""Smallest interval between two urgent requests for the same limit, in seconds."""
UNSENT_SEQUENCE = 0
"""Number of a request that is not sent yet; messages are numbered from 1."""
UNHINTED_REQUEST_INTERVAL_S = 0.25
"""Seconds after which peers are asked even if no tokens of theirs are known."""


@dataclass
class UrgentLoanRequests:
    """Track the urgent loan requests that are in flight, and limit their rate.

    :param limit_table: this host's limits; its lock protects this object.
    :param hints: what the peers last reported.
    :param last_sent_at: when a request was last started, by limit, in seconds.
    """

    limit_table: LimitTable
    hints: HintTable
    last_sent_at: dict[str, float] = field(default_factory=dict)
    _in_flight: dict[str, set[int]] = field(default_factory=dict)

    def may_succeed(self, limit: str) -> bool:
        """Return whether peers have tokens, or may have some that no hint shows.

        They may while a request is in flight: its tokens are already subtracted from
        the hints, but have not arrived. They also may if none was sent for a while.

        :param limit: name of the limit.
        """
        with self.limit_table.changed:
            if limit not in self.limit_table.entries:
                return False
            if self._in_flight.get(limit):
                return True
            now = self.limit_table.clock()
            elapsed_s = now - self.last_sent_at.get(limit, float("-inf"))
            if elapsed_s < UNHINTED_REQUEST_INTERVAL_S:
                return (
                    estimate_peer_tokens(self.limit_table, self.hints, limit)
                    > MIN_TOKENS
                )
            return bool(self.hints.recent_peers(now))

    def try_start(self, limit: str) -> bool:
        """Start a request for a limit, unless one was started just before.

        :returns: whether it was started; :meth:`record_sent` has to follow.
        """
        with self.limit_table.changed:
            now = self.limit_table.clock()
            if (
                now - self.last_sent_at.get(limit, float("-inf"))
                < MIN_REQUEST_INTERVAL_S
            ):
                return False
            self.last_sent_at[limit] = now
            self._in_flight.setdefault(limit, set()).add(UNSENT_SEQUENCE)
            return True

    def record_sent(self, limit: str, sequences: Iterable[int]) -> None:
        """Record which messages contain the request that was started for a limit.

        :param limit: name of the limit.
        :param sequences: numbers of the messages; none if no peer can be asked.
        """
        with self.limit_table.changed:
            self._in_flight[limit].update(sequences)
        self.record_end(UNSENT_SEQUENCE)

    def record_end(self, sequence: int) -> None:
        """Record that a message was answered or has failed, and wake waiting callers.

        :param sequence: number of the message.
        """
        with self.limit_table.changed:
            for limit in list(self._in_flight):
                self._in_flight[limit].discard(sequence)
                if not self._in_flight[limit]:
                    del self._in_flight[limit]
            self.limit_table.changed.notify_all()
