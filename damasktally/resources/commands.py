"""Change objects: conditional writes that survive lost answers, with an audit."""

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


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Hold a new key; the secret is shown once and kept nowhere."""

    name: str
    secret: str
    revision: int


class Commands:
    """Write desired state on behalf of an operator.

    :param author: who the audit trail names.
    """

    def __init__(self, store: ObjectStore, author: str) -> None:
        self._store = store
        self._author = author

    def apply(self, kind: str, name: str, spec: dict) -> StoredObject:
        """Create or replace an object.

        :returns: the object as stored; unchanged specs are not written again.
        :raises InvalidObject: when the spec does not validate.
        :raises Conflict: when somebody else changed it meanwhile.
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

        :raises NotFound: when there is none.
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
        """Create a key for a customer.

        :raises Conflict: when a key of that name exists.
        """
        if self._find("Key", name) is not None:
            raise Conflict(f"Key {name} exists.", "Choose another name.")
        secret = new_secret()
        spec = {"customer": customer, "digest": hash_secret(secret), "withdrawn": False}
        written = self.apply("Key", name, spec)
        return IssuedKey(name, secret, written.revision)

    def withdraw_key(self, name: str) -> StoredObject:
        """Withdraw a key.

        :raises NotFound: when there is none.
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
        """Find out whether a write took effect whose answer was lost."""
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
            # A host that sees the change writes the record that is missing.
            return
