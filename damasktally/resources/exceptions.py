"""Name what can be wrong with an object."""

from damasktally.errors import DamasktallyError


class InvalidObject(DamasktallyError):
    """Tell that an object does not validate."""


class UnknownKind(DamasktallyError):
    """Tell that there is no such kind."""


class InvalidFile(DamasktallyError):
    """Tell that a file of objects cannot be read."""
