"""Admit a request: whose key it carries, and whether the rate allows it."""

from damasktally.admission.controller import (
    AdmissionController,
    OverRate,
    TooManyInFlight,
)
from damasktally.admission.keys import (
    KeyRefused,
    authenticate,
    hash_secret,
    new_secret,
)

__all__ = [
    "AdmissionController",
    "KeyRefused",
    "OverRate",
    "TooManyInFlight",
    "authenticate",
    "hash_secret",
    "new_secret",
]
