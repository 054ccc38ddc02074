"""Pick what is worth sending of a table that changes little."""

from collections.abc import Mapping

SENDS_PER_CHANGE = 3
"""Messages that carry an entry after it changed, as some of them are lost."""
MESSAGES_A_WHOLE = 16
"""Every so many messages carry all entries."""


class DeltaSelector:
    """Remember what was sent of a table, and when each entry changed."""

    def __init__(self) -> None:
        self._sent: dict[str, float] = {}
        self._changed: dict[str, int] = {}
        self._count = 0

    def select(
        self, table: Mapping[str, float], whole: bool
    ) -> tuple[dict[str, float], bool]:
        """Return the entries for the next message.

        An entry that left the table is sent as zero.

        :param whole: send all of them, besides the messages that go to everyone.
        :returns: the entries, and whether they are all.
        """
        self._count += not whole
        for name in self._sent.keys() - table.keys():
            self._note(name, 0)
        for name, value in table.items():
            self._note(name, value)
        if whole or self._count % MESSAGES_A_WHOLE == 1:
            return dict(self._sent), True
        recent = {
            name: self._sent[name]
            for name, when in self._changed.items()
            if self._count - when < SENDS_PER_CHANGE
        }
        return recent, False

    def _note(self, name: str, value: float) -> None:
        if self._sent.get(name) != value:
            self._sent[name] = value
            self._changed[name] = self._count
