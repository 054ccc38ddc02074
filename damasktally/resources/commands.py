"""Operator commands: conditional writes that tolerate lost responses, with audit."""

from dataclasses import dataclass
from secrets import token_hex
from time import time

from damasktally.admission.keys import hash_secret, new_secret
from damasktally.objects import (
    Conflict,
    NotFound,
    ObjectStore,
    OutcomeUnknown,
    StoredObject,
    StoreError,
)
from damasktally.resources.audit import make_audit_object
from damasktally.resources.kinds import parse_spec

MAX_READ_BACK_ATTEMPTS = 5
"""Attempts to read an object back after a write whose response was lost."""


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """New key with its secret, which is shown once and never stored."""

    name: str
    secret: str
    revision: int


class Commands:
    """Commands that change the desired state on behalf of an operator.

    :param author: name of the operator in the audit trail.
    """

    def __init__(self, store: ObjectStore, author: str) -> None:
        self._store = store
        self._author = author

    def apply(self, kind: str, name: str, spec: dict) -> StoredObject:
        """Create or replace an object.

        :param spec: the complete new spec; it is not written if it is unchanged.
        :returns: the object as stored.
        :raises InvalidObject: when the spec does not validate.
        :raises UnknownKind: when there is no such kind.
        :raises Conflict: when another writer changed the object in the meantime.
        :raises OutcomeUnknown: when the response was lost and the write did not take
            effect, or this could not be determined.
        :raises StoreError: when the platform cannot be used.
        """
        before = self._find(kind, name)
        wanted = StoredObject(
            kind=kind,
            name=name,
            revision=before.revision if before else 0,
            nonce=token_hex(8),
            author=self._author,
            spec=spec,
        )
        parse_spec(wanted)
        if before is not None and before.spec == spec:
            return before
        written = self._put(wanted)
        self._write_audit_record(written, "write", wanted.revision)
        return written

    def delete(self, kind: str, name: str) -> None:
        """Delete an object.

        :raises NotFound: when the object does not exist.
        :raises Conflict: when another writer changed the object in the meantime.
        :raises OutcomeUnknown: when the response was lost and the object still exists.
        :raises StoreError: when the platform cannot be used.
        """
        before = self._store.get(kind, name, "operator")
        try:
            self._store.delete(kind, name, before.revision, "operator")
        except OutcomeUnknown:
            if self._find(kind, name) is not None:
                raise
        deleted = before.model_copy(update={"author": self._author})
        self._write_audit_record(deleted, "delete", before.revision)

    def issue_key(self, name: str, customer: str) -> IssuedKey:
        """Create a key for a customer and return it with its secret.

        :raises Conflict: when a key with that name exists.
        """
        if self._find("Key", name) is not None:
            raise Conflict(f"Key {name} already exists.", "Choose another name.")
        secret = new_secret()
        spec = {"customer": customer, "digest": hash_secret(secret), "withdrawn": False}
        written = self.apply("Key", name, spec)
        return IssuedKey(name, secret, written.revision)

    def withdraw_key(self, name: str) -> StoredObject:
        """Withdraw a key, after which requests with it are refused.

        :raises NotFound: when the key does not exist.
        """
        before = self._store.get("Key", name, "operator")
        return self.apply("Key", name, {**before.spec, "withdrawn": True})

    def _find(self, kind: str, name: str) -> StoredObject | None:
        try:
            return self._store.get(kind, name, "operator")
        except NotFound:
            return None

    def _put(self, wanted: StoredObject) -> StoredObject:
        try:
            return self._store.put(wanted, "operator")
        except OutcomeUnknown as exc:
            return self._read_back(wanted, exc)

    def _read_back(self, wanted: StoredObject, exc: OutcomeUnknown) -> StoredObject:
        """Return the stored object if a write with a lost response took effect.

        The nonce shows whether the stored object is the one that was written.

        :raises OutcomeUnknown: when it did not, or the object cannot be read.
        """
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            try:
                stored = self._find(wanted.kind, wanted.name)
            except StoreError:
                continue
            if stored is not None and stored.nonce == wanted.nonce:
                return stored
            raise exc
        raise exc

    def _write_audit_record(
        self, changed: StoredObject, action: str, before: int
    ) -> None:
        record = make_audit_object(changed, action, before, self._author, time())
        if action == "delete":
            record = record.model_copy(update={"name": f"{record.name}-deleted"})
        try:
            self._store.put(record, "audit")
        except StoreError:
            # A host writes the missing record when it receives the change.
            return
