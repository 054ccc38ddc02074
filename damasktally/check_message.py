"""Define the message that a check of settings reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """Describe a problem that a check of settings found.

    :param id: stable identifier, such as ``entry.E201``; ``E`` marks an error, ``W`` a
        warning.
    :param message: what is wrong, in one sentence.
    :param hint: how to correct it, in one sentence.
    """

    id: str
    message: str
    hint: str

    @property
    def is_error(self) -> bool:
        """Return whether the problem prevents a host from starting."""
        return ".E" in self.id

    def __str__(self) -> str:
        return f"{self.id}: {self.message} {self.hint}"
