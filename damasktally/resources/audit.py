"""Audit records, of which each change has exactly one."""

from damasktally.objects import StoredObject
from damasktally.resources.kinds import AuditRecord


def make_audit_object(
    changed: StoredObject,
    action: str,
    from_revision: int,
    recorded_by: str,
    unix_s: float,
) -> StoredObject:
    """Build the audit record of a change as an object to store.

    The name of the record is derived from the revision of the change. Writing the
    record of a change a second time therefore fails with a conflict.

    :param changed: the object as written, or as deleted.
    :param action: ``write`` or ``delete``.
    :param from_revision: revision before the change; 0 when it is not known.
    :param recorded_by: author of the record, an operator or a host.
    :param unix_s: time of the record, in seconds since the epoch.
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
