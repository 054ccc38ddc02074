"""Decide when callers who wait are worth a question to peers, and for how long."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damasktally.escrow.hints import HintTable
from damasktally.escrow.lending import MIN_TOKENS, estimate_peer_tokens
from damasktally.escrow.limit_table import LimitTable

MIN_REQUEST_INTERVAL_S = 0.02
"""Seconds between two urgent questions about the same limit."""
UNSENT_SEQUENCE = 0
"""Stands for a question that is not sent yet; messages are numbered from 1."""
UNHINTED_REQUEST_INTERVAL_S = 0.25
"""Seconds after which peers are asked although they are not known to have tokens."""


@dataclass
class UrgentLoanRequests:
    """Decide whether callers who found no token are worth a question to peers.

    :param last_sent_at: when peers were last asked, by limit, in seconds.
    """

    limit_table: LimitTable
    hints: HintTable
    last_sent_at: dict[str, float] = field(default_factory=dict)
    _in_flight: dict[str, set[int]] = field(default_factory=dict)

    def may_succeed(self, limit: str) -> bool:
        """Tell whether peers have tokens, or may have some that are not known of.

        While an answer is awaited they may: what was asked for is subtracted from
        what they are believed to have, but it did not arrive yet.
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
        """Note a question about a limit, unless one was sent just now."""
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
        """Note which messages carry the question that was started about a limit.

        :param sequences: their numbers; none when no peer can be asked.
        """
        with self.limit_table.changed:
            self._in_flight[limit].update(sequences)
        self.record_end(UNSENT_SEQUENCE)

    def record_end(self, sequence: int) -> None:
        """Note that a question was answered, or will not be."""
        with self.limit_table.changed:
            for limit in list(self._in_flight):
                self._in_flight[limit].discard(sequence)
                if not self._in_flight[limit]:
                    del self._in_flight[limit]
            self.limit_table.changed.notify_all()
