"""Read objects, and what the hosts have in force."""

from damasktally.objects import ObjectStore, StoredObject
from damasktally.resources.kinds import AuditRecord, HostStatus, parse_spec


class Queries:
    """Answer an operator's questions from the platform."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind, by name."""
        page = self._store.list_objects([kind], "operator")
        return sorted(page.items, key=lambda obj: obj.name)

    def get(self, kind: str, name: str) -> StoredObject:
        """Return one object.

        :raises NotFound: when there is none.
        """
        return self._store.get(kind, name, "operator")

    def host_statuses(self) -> list[HostStatus]:
        """Return what each host reported last."""
        return [parse_spec(obj) for obj in self.list_objects("HostStatus")]

    def partition_hosts(self, revision: int) -> tuple[list[str], list[str]]:
        """Return the hosts that have a revision in force, and those that do not."""
        reached = [s.host for s in self.host_statuses() if s.revision >= revision]
        behind = [s.host for s in self.host_statuses() if s.revision < revision]
        return reached, behind

    def latest_audit_records(self, last: int) -> list[AuditRecord]:
        """Return the newest audit records, oldest first."""
        records = [parse_spec(obj) for obj in self.list_objects("AuditRecord")]
        return sorted(records, key=lambda record: record.to_revision)[-last:]
