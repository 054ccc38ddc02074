"""Operator queries: objects, audit records and the status of the hosts."""

from damasktally.objects import ObjectStore, StoredObject
from damasktally.resources.kinds import AuditRecord, HostStatus, parse_spec


class Queries:
    """Queries on behalf of an operator.

    Every method raises :class:`~damasktally.objects.StoreUnavailable` when the platform
    does not respond.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind, sorted by name."""
        page = self._store.list_objects([kind], "operator")
        return sorted(page.items, key=lambda obj: obj.name)

    def get(self, kind: str, name: str) -> StoredObject:
        """Return one object.

        :raises NotFound: when the object does not exist.
        """
        return self._store.get(kind, name, "operator")

    def host_statuses(self) -> list[HostStatus]:
        """Return the latest status that each host reported."""
        return [parse_spec(obj) for obj in self.list_objects("HostStatus")]

    def partition_hosts(self, revision: int) -> tuple[list[str], list[str]]:
        """Return the names of the hosts that reached a revision, and of the others."""
        reached = [s.host for s in self.host_statuses() if s.revision >= revision]
        behind = [s.host for s in self.host_statuses() if s.revision < revision]
        return reached, behind

    def latest_audit_records(self, last: int) -> list[AuditRecord]:
        """Return the newest audit records, oldest first.

        :param last: maximum number of records.
        """
        records = [parse_spec(obj) for obj in self.list_objects("AuditRecord")]
        return sorted(records, key=lambda record: record.to_revision)[-last:]
