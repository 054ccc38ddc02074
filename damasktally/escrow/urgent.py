"""Decide when callers who wait are worth a question to peers, and for how long."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damasktally.escrow.hints import HintTable
from damasktally.escrow.ledger import Ledger
from damasktally.escrow.lending import MIN_TOKENS, believed_tokens

URGENT_GAP_S = 0.02
"""Seconds between two urgent questions about the same limit."""
PLANNED = 0
"""Stands for a question that is not sent yet; messages are numbered from 1."""
BLIND_GAP_S = 0.25
"""Seconds after which peers are asked although they are not known to have tokens."""


@dataclass
class UrgentAsks:
    """Decide whether callers who found no token are worth a question to peers.

    :param asked_at: when peers were last asked, by limit, in seconds.
    """

    ledger: Ledger
    hints: HintTable
    asked_at: dict[str, float] = field(default_factory=dict)
    _under_way: dict[str, set[int]] = field(default_factory=dict)

    def worth_it(self, limit: str) -> bool:
        """Tell whether peers have tokens, or may have some that are not known of.

        While an answer is awaited they may: what was asked for is subtracted from
        what they are believed to have, but it did not arrive yet.
        """
        with self.ledger.changed:
            if limit not in self.ledger.entries:
                return False
            if self._under_way.get(limit):
                return True
            now = self.ledger.clock()
            since = now - self.asked_at.get(limit, float("-inf"))
            if since < BLIND_GAP_S:
                return believed_tokens(self.ledger, self.hints, limit) > MIN_TOKENS
            return bool(self.hints.peers(now))

    def start(self, limit: str) -> bool:
        """Note a question about a limit, unless one was sent just now."""
        with self.ledger.changed:
            now = self.ledger.clock()
            if now - self.asked_at.get(limit, float("-inf")) < URGENT_GAP_S:
                return False
            self.asked_at[limit] = now
            self._under_way.setdefault(limit, set()).add(PLANNED)
            return True

    def sent(self, limit: str, sequences: Iterable[int]) -> None:
        """Note which messages carry the question that was started about a limit.

        :param sequences: their numbers; none when no peer can be asked.
        """
        with self.ledger.changed:
            self._under_way[limit].update(sequences)
        self.ended(PLANNED)

    def ended(self, sequence: int) -> None:
        """Note that a question was answered, or will not be."""
        with self.ledger.changed:
            for limit in list(self._under_way):
                self._under_way[limit].discard(sequence)
                if not self._under_way[limit]:
                    del self._under_way[limit]
            self.ledger.changed.notify_all()
