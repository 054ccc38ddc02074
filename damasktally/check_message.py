"""Describe what a check of settings found."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """Tell what a check found.

    :param id: stable; ``E`` numbers are errors, ``W`` numbers are warnings.
    """

    id: str
    message: str
    hint: str

    @property
    def is_error(self) -> bool:
        """Tell whether a host must not start like this."""
        return ".E" in self.id

    def __str__(self) -> str:
        return f"{self.id}: {self.message} {self.hint}"
