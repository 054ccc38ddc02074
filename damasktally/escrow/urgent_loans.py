"""Decide when callers who wait are worth a question to peers, and for how long."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damasktally.escrow.hints import HintTable
from damasktally.escrow.lending import MIN_TOKENS, believed_tokens
from damasktally.escrow.limit_table import LimitTable

URGENT_GAP_S = 0.02
"""Seconds between two urgent questions about the same limit."""
PLANNED = 0
"""Stands for a question that is not sent yet; messages are numbered from 1."""
BLIND_GAP_S = 0.25
"""Seconds after which peers are asked although they are not known to have tokens."""


@dataclass
class UrgentLoanRequests:
    """Decide whether callers who found no token are worth a question to peers.

    :param asked_at: when peers were last asked, by limit, in seconds.
    """

    limit_table: LimitTable
    hints: HintTable
    asked_at: dict[str, float] = field(default_factory=dict)
    _under_way: dict[str, set[int]] = field(default_factory=dict)

    def may_succeed(self, limit: str) -> bool:
        """Tell whether peers have tokens, or may have some that are not known of.

        While an answer is awaited they may: what was asked for is subtracted from
        what they are believed to have, but it did not arrive yet.
        """
        with self.limit_table.changed:
            if limit not in self.limit_table.entries:
                return False
            if self._under_way.get(limit):
                return True
            now = self.limit_table.clock()
            since = now - self.asked_at.get(limit, float("-inf"))
            if since < BLIND_GAP_S:
                return believed_tokens(self.limit_table, self.hints, limit) > MIN_TOKENS
            return bool(self.hints.peers(now))

    def try_start(self, limit: str) -> bool:
        """Note a question about a limit, unless one was sent just now."""
        with self.limit_table.changed:
            now = self.limit_table.clock()
            if now - self.asked_at.get(limit, float("-inf")) < URGENT_GAP_S:
                return False
            self.asked_at[limit] = now
            self._under_way.setdefault(limit, set()).add(PLANNED)
            return True

    def record_sent(self, limit: str, sequences: Iterable[int]) -> None:
        """Note which messages carry the question that was started about a limit.

        :param sequences: their numbers; none when no peer can be asked.
        """
        with self.limit_table.changed:
            self._under_way[limit].update(sequences)
        self.record_end(PLANNED)

    def record_end(self, sequence: int) -> None:
        """Note that a question was answered, or will not be."""
        with self.limit_table.changed:
            for limit in list(self._under_way):
                self._under_way[limit].discard(sequence)
                if not self._under_way[limit]:
                    del self._under_way[limit]
            self.limit_table.changed.notify_all()
