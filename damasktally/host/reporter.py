"""Reporter actor: writes host status and audit records, and deletes expired claims."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from time import time

from damasktally.clock import Clock
from damasktally.events import emit
from damasktally.events.catalogue import AUDIT_GAP, ISOLATION_CHANGED
from damasktally.host.actor import HostActor
from damasktally.host.fleet import FleetState
from damasktally.host.view_keeper import PublishedView
from damasktally.membership.freshness import Freshness, Isolation
from damasktally.objects import Conflict, ObjectStore, StoredObject, StoreError
from damasktally.resources.audit import make_audit_object
from damasktally.resources.kinds import OPERATOR_KINDS, HostStatus

MIN_STATUS_INTERVAL_S = 1.0
"""Minimum seconds between two writes of a status that changed."""
STATUS_REFRESH_INTERVAL_S = 30.0
"""Seconds after which the status is written even if it has not changed."""
MAX_AUDIT_RECORDS_PER_ROUND = 20
"""Missing audit records that are written after one timer message."""
CLAIM_SWEEP_INTERVAL_S = 60.0
"""Seconds between two deletions of expired claims."""
MAX_CLAIMS_PER_SWEEP = 50
"""Expired claims deleted in one sweep, so that it stays within the call budget."""


@dataclass(frozen=True, slots=True)
class ReportTick:
    """Timer message that triggers the writes that are due."""


@dataclass
class ReporterDependencies:
    """Components of the host that the reporter uses.

    :param clock: monotonic time in seconds.
    :param is_first_member: returns whether this host is the first of the roster; only
        that host writes audit records and deletes claims.
    :param claim_sweep_interval_s: seconds between two deletions of expired claims.
    """

    fleet: FleetState
    store: ObjectStore
    published: PublishedView
    freshness: Freshness
    clock: Clock
    is_first_member: Callable[[], bool]
    claim_sweep_interval_s: float = CLAIM_SWEEP_INTERVAL_S


class Reporter(HostActor):
    """Actor that writes this host's status and the fleet's missing audit records."""

    def __init__(self, dependencies: ReporterDependencies) -> None:
        super().__init__()
        self._deps = dependencies
        self._reported_state: tuple[object, ...] = ()
        self._reported_at = float("-inf")
        self._status_revision = 0
        self._audited_revisions: set[int] = set()
        self._is_audit_loaded = False
        self._isolation: Isolation | None = None
        self._swept_at = float("-inf")

    def handle(self, message: object) -> None:
        """Log a change of isolation and, while connected, write what is due."""
        self._log_isolation_change()
        if self._deps.freshness.isolation() is not Isolation.CONNECTED:
            return
        self._report_status()
        if self._deps.is_first_member():
            self._write_missing_audit_records()
            self._delete_expired_claims()

    def _log_isolation_change(self) -> None:
        state = self._deps.freshness.isolation()
        if state is not self._isolation:
            emit(ISOLATION_CHANGED, state=state.value)
            self._isolation = state

    def _report_status(self) -> None:
        view = self._deps.published.view
        now = self._deps.clock()
        current = (view.revision, self._isolation, self._deps.fleet.roster.generation)
        age = now - self._reported_at
        is_due = current != self._reported_state and age >= MIN_STATUS_INTERVAL_S
        if not is_due and age < STATUS_REFRESH_INTERVAL_S:
            return
        fleet = self._deps.fleet
        status = HostStatus(
            host=fleet.own_member.host,
            incarnation=fleet.own_member.incarnation,
            region=fleet.own_member.region,
            revision=view.revision,
            since_unix_s=self._deps.published.in_force_since_unix_s,
            isolation=self._isolation.value,
            generation=fleet.roster.generation,
            problems=view.problems(),
        )
        self._reported_at = now
        obj = StoredObject(
            kind="HostStatus",
            name=fleet.own_member.host,
            revision=self._status_revision,
            nonce=token_hex(8),
            author=f"host:{fleet.own_member.host}",
            spec=status.model_dump(),
        )
        try:
            self._status_revision = self._deps.store.put(obj, "status").revision
            self._reported_state = current
        except Conflict:
            self._read_back_revision()
        except StoreError:
            self._read_back_revision()

    def _read_back_revision(self) -> None:
        """Read the revision of the stored status, for the next write.

        It differs from the expected one after an earlier run of this host, or after a
        write whose response was lost.
        """
        try:
            stored = self._deps.store.get(
                "HostStatus", self._deps.fleet.own_member.host, "status"
            )
        except StoreError:
            return
        self._status_revision = stored.revision
        self._reported_at = float("-inf")

    def _write_missing_audit_records(self) -> None:
        """Write the audit record of each change of an operator's object that has none.

        A record is identified by the revision of the change.
        """
        view = self._deps.published.view
        missing = [
            entry.stored
            for kind in OPERATOR_KINDS
            for entry in view.objects.get(kind, {}).values()
            if entry.stored.revision not in self._audited_revisions
        ]
        try:
            if missing and not self._is_audit_loaded:
                page = self._deps.store.list_objects(["AuditRecord"], "audit")
                self._audited_revisions |= {
                    obj.spec["to_revision"] for obj in page.items
                }
                self._is_audit_loaded = True
            for stored in missing[:MAX_AUDIT_RECORDS_PER_ROUND]:
                if stored.revision not in self._audited_revisions:
                    self._write_audit_record(stored)
        except StoreError as exc:
            emit(AUDIT_GAP, reason=exc.message)

    def _delete_expired_claims(self) -> None:
        """Delete expired idempotency claims."""
        now = self._deps.clock()
        if now - self._swept_at < self._deps.claim_sweep_interval_s:
            return
        self._swept_at = now
        try:
            page = self._deps.store.list_objects(["Claim"], "sweep")
            expired = [c for c in page.items if c.spec["expires_unix_s"] < time()]
            for claim in expired[:MAX_CLAIMS_PER_SWEEP]:
                self._deps.store.delete("Claim", claim.name, claim.revision, "sweep")
        except StoreError:
            return  # The next sweep finds the same claims.

    def _write_audit_record(self, stored: StoredObject) -> None:
        record = make_audit_object(
            stored, "write", 0, f"host:{self._deps.fleet.own_member.host}", time()
        )
        try:
            self._deps.store.put(record, "audit")
        except Conflict:
            pass  # The command that made the change has written the record already.
        self._audited_revisions.add(stored.revision)
