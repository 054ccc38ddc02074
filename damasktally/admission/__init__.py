"""Admit requests: check the key that a request carries, and its customer's rate."""

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
