"""Name and build audit records, so that each change has exactly one."""

from damasktally.objects import StoredObject
from damasktally.resources.kinds import AuditRecord


def make_audit_object(
    changed: StoredObject,
    action: str,
    from_revision: int,
    recorded_by: str,
    unix_s: float,
) -> StoredObject:
    """Build the record of a change.

    Its name follows from the revision, so that whoever records the change a second
    time meets a conflict instead of adding another record.

    :param changed: the object as written, or as deleted.
    :param action: ``write`` or ``delete``.
    :param from_revision: revision before the change; 0 when it is not known.
    :param unix_s: seconds since the epoch.
    """
    record = AuditRecord(
        author=changed.author or "unknown",
        kind=changed.kind,
        object=changed.name,
        action=action,
        from_revision=from_revision,
        to_revision=changed.revision,
        unix_s=unix_s,
        recorded_by=recorded_by,
    )
    return StoredObject(
        kind="AuditRecord",
        name=f"r{changed.revision:012d}",
        author=changed.author,
        spec=record.model_dump(),
    )
