"""Generate secrets, and find the customer whose key a request carries."""

from collections.abc import Iterable
from hashlib import sha256
from secrets import token_urlsafe

from result import Err, Ok, Result

from damasktally.errors import DamasktallyError
from damasktally.resources.view import View

SECRET_BYTES = 32
MAX_SECRET_CHARS = 256
"""Longer secrets are refused without being hashed."""
KEY_HEADERS = ("authorization", "x-api-key")
BEARER_PREFIX = "bearer "


class KeyRefused(DamasktallyError):
    """Report why a request's key is not accepted.

    :param reason_code: code of the refusal.
    """

    def __init__(self, reason_code: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.reason_code = reason_code


def new_secret() -> str:
    """Return a secret with 256 random bits."""
    return token_urlsafe(SECRET_BYTES)


def hash_secret(secret: str) -> str:
    """Return the digest that is stored in place of a secret.

    A plain hash is enough, since the secret is as random as the digest is long.
    """
    return sha256(secret.encode()).hexdigest()


def find_secret(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return the secret in a request's headers, or ``None``.

    :param headers: names, in lower case, and values.
    """
    for name, value in headers:
        if name == "x-api-key":
            return value
        if (
            name == "authorization"
            and value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
        ):
            return value[len(BEARER_PREFIX) :].strip()
    return None


def authenticate(view: View, secret: str | None) -> Result[str, KeyRefused]:
    """Return the customer that a secret belongs to."""
    if not secret:
        return Err(
            KeyRefused(
                "no-key",
                "The request carries no key.",
                "Send it as 'Authorization: Bearer KEY'.",
            )
        )
    key = None
    if len(secret) <= MAX_SECRET_CHARS:
        key = view.keys_by_digest.get(hash_secret(secret))
    if key is None or key.customer not in view.customers:
        return Err(
            KeyRefused("unknown-key", "The key is not known.", "Ask for a new key.")
        )
    if key.withdrawn:
        return Err(
            KeyRefused("withdrawn-key", "The key was withdrawn.", "Ask for a new key.")
        )
    return Ok(key.customer)
