"""Select which entries of a table the next message carries.

Few entries change between two messages, so a message carries only the recent changes.
"""

from collections.abc import Mapping

SENDS_PER_CHANGE = 3
"""Messages that carry an entry after it changed, as some of them may be lost."""
MESSAGES_PER_FULL_TABLE = 16
"""Interval, in messages, at which a message carries all entries."""


class DeltaSelector:
    """Record what was sent of a table and when each entry changed."""

    def __init__(self) -> None:
        self._sent: dict[str, float] = {}
        self._changed_at: dict[str, int] = {}
        self._message_count = 0

    def select(
        self, table: Mapping[str, float], force_complete: bool
    ) -> tuple[dict[str, float], bool]:
        """Return the entries for the next message.

        An entry that was removed from the table is sent as zero.

        :param force_complete: send all entries, in a message to a single receiver that
            does not count as one of the messages to all receivers.
        :returns: the entries, and whether they are all.
        """
        self._message_count += not force_complete
        for name in self._sent.keys() - table.keys():
            if self._sent[name] != 0:
                self._record(name, 0)
        sent = self._sent
        changed = [item for item in table.items() if sent.get(item[0]) != item[1]]
        for name, value in changed:
            self._record(name, value)
        if force_complete or self._message_count % MESSAGES_PER_FULL_TABLE == 1:
            return dict(self._sent), True
        recent = {
            name: self._sent[name]
            for name, changed_at in self._changed_at.items()
            if self._message_count - changed_at < SENDS_PER_CHANGE
        }
        return recent, False

    def _record(self, name: str, value: float) -> None:
        self._sent[name] = value
        self._changed_at[name] = self._message_count
