"""Reserve idempotency keys in the platform, so that a retry does not run twice.

The platform's store is shared by all hosts, so a key that one host reserved is refused
by every other host.
"""

from collections.abc import Callable
from enum import Enum
from hashlib import sha256
from secrets import token_hex

from damasktally.objects import (
    Conflict,
    NotFound,
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreError,
)

CLAIM_LIFETIME_S = 86_400.0
MAX_IDEMPOTENCY_KEY_CHARS = 200
MAX_READ_BACK_ATTEMPTS = 3


class ClaimState(Enum):
    """Result of an attempt to reserve an idempotency key.

    ``OURS``: this request reserved it. ``TAKEN``: an earlier request did.
    ``UNAVAILABLE``: the platform did not confirm the reservation.
    """

    OURS = "ours"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


def claim_name(customer: str, key: str) -> str:
    """Return the name of the object that stores an idempotency key."""
    digest = sha256(f"{customer}\0{key}".encode()).hexdigest()
    return digest[:40]


class IdempotencyClaims:
    """Create and delete claims, the stored reservations of idempotency keys.

    :param store: the platform.
    :param wall_clock: returns seconds since the epoch. A claim's expiry is read by
        other processes, so it cannot be on this host's monotonic clock.
    """

    def __init__(self, store: ObjectStore, wall_clock: Callable[[], float]) -> None:
        self._store = store
        self._wall_clock = wall_clock

    def reserve(self, customer: str, key: str) -> tuple[ClaimState, StoredObject]:
        """Create the claim unless one exists for the key.

        :param customer: the customer; keys of different customers are unrelated.
        :param key: the idempotency key as the caller sent it.
        :returns: the result, and the claim, which is as stored if the result is
            ``OURS``.
        """
        expires_unix_s = self._wall_clock() + CLAIM_LIFETIME_S
        claim = StoredObject(
            kind="Claim",
            name=claim_name(customer, key),
            nonce=token_hex(8),
            spec={"customer": customer, "expires_unix_s": expires_unix_s},
        )
        try:
            return ClaimState.OURS, self._store.put(claim, "claim")
        except Conflict:
            return ClaimState.TAKEN, claim
        except OutcomeUnknown:
            return self._read_back(claim)
        except StoreError:
            return ClaimState.UNAVAILABLE, claim

    def release(self, claim: StoredObject) -> None:
        """Delete a claim whose request certainly did not run.

        If that fails, the claim stays. This is safe: the caller's retry is refused.
        """
        try:
            self._store.delete(claim.kind, claim.name, claim.revision, "claim")
        except StoreError:
            return

    def _read_back(self, claim: StoredObject) -> tuple[ClaimState, StoredObject]:
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            try:
                stored = self._store.get(claim.kind, claim.name, "claim")
            except NotFound:
                return ClaimState.UNAVAILABLE, claim
            except StoreError:
                continue
            is_ours = stored.nonce == claim.nonce
            return (ClaimState.OURS if is_ours else ClaimState.TAKEN), stored
        return ClaimState.UNAVAILABLE, claim
