"""Define the base class of the errors that this package raises."""

import msgspec


class DamasktallyError(Exception):
    """Base class of all errors, with a message and a remedy.

    :param message: what happened, in one sentence.
    :param remedy: what the operator can do about it, in one sentence.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy


DECODING_ERRORS = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    UnicodeError,
    ValueError,
)
"""What decoders raise for bytes from elsewhere: malformed text, values of another type,
numbers that are too large, and values that are nested too deeply."""
