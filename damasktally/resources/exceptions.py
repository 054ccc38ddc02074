"""Exceptions raised for invalid objects."""

from damasktally.errors import DamasktallyError


class InvalidObject(DamasktallyError):
    """Raised when the spec of an object does not validate."""


class UnknownKind(DamasktallyError):
    """Raised when a kind does not exist."""


class InvalidFile(DamasktallyError):
    """Raised when a file of objects cannot be read or is malformed."""
