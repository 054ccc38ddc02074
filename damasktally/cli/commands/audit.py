"""Implement ``audit``: show the audit trail."""

from datetime import UTC, datetime

from damasktally.cli.common import (
    Json,
    PlatformUrl,
    open_queries,
    print_json,
    print_table,
    report_errors,
)


@report_errors
def audit(*, platform: PlatformUrl, last: int = 50, json: Json = False) -> None:
    """Show who changed what, from and to which revision, and when.

    :param last: number of records to show, the newest ones.
    """
    records = open_queries(platform).latest_audit_records(last)
    if json:
        print_json([record.model_dump() for record in records])
        return
    rows = [
        (
            datetime.fromtimestamp(r.unix_s, UTC).isoformat(timespec="seconds"),
            r.author,
            r.action,
            f"{r.kind}/{r.object}",
            f"{r.from_revision or '?'} -> {r.to_revision}",
        )
        for r in records
    ]
    print_table(("WHEN", "WHO", "ACTION", "OBJECT", "REVISIONS"), rows)
