"""Reserve idempotency keys in the platform, so that a repeat does not run twice."""

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
    """Say how reserving an idempotency key went."""

    OURS = "ours"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


def claim_name(customer: str, key: str) -> str:
    """Return the name under which an idempotency key is stored."""
    digest = sha256(f"{customer}\0{key}".encode()).hexdigest()
    return digest[:40]


class IdempotencyClaims:
    """Create and release claims.

    :param store: the platform.
    :param wall_clock: seconds since the epoch, for the expiry that others read.
    """

    def __init__(self, store: ObjectStore, wall_clock: Callable[[], float]) -> None:
        self._store = store
        self._wall_clock = wall_clock

    def reserve(self, customer: str, key: str) -> tuple[ClaimState, StoredObject]:
        """Create the claim, or find out that somebody else did.

        :returns: the state, and the claim as it was written.
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

        A failure leaves the claim, which is safe: the caller's repeat is refused.
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
