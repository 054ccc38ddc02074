"""Admit a request: whose key it carries, and whether the rate allows it."""

from damasktally.admission.admit import Admission, OverRate, TooManyInFlight
from damasktally.admission.keys import (
    KeyRefused,
    authenticate,
    digest_of,
    new_secret,
)

__all__ = [
    "Admission",
    "KeyRefused",
    "OverRate",
    "TooManyInFlight",
    "authenticate",
    "digest_of",
    "new_secret",
]
