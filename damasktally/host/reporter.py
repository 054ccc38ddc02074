"""Write this host's status and the fleet's audit trail to the platform."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from time import time

from damasktally.clock import Clock
from damasktally.events import emit
from damasktally.events.catalogue import AUDIT_GAP, ISOLATION_CHANGED
from damasktally.host.actor import HostActor
from damasktally.host.fleet import FleetState
from damasktally.host.view_updater import PublishedView
from damasktally.membership.freshness import Freshness, Isolation
from damasktally.objects import Conflict, ObjectStore, StoredObject, StoreError
from damasktally.resources.audit import make_audit_object
from damasktally.resources.kinds import OPERATOR_KINDS, HostStatus

MIN_STATUS_INTERVAL_S = 1.0
STATUS_REFRESH_INTERVAL_S = 30.0
MAX_AUDIT_RECORDS_PER_ROUND = 20
CLAIM_SWEEP_INTERVAL_S = 60.0
MAX_CLAIMS_PER_SWEEP = 50
"""Expired claims that one sweep deletes, so that sweeps stay in the budget."""


@dataclass(frozen=True, slots=True)
class ReportTick:
    """Ask for what is due to be written."""


@dataclass
class ReporterDependencies:
    """Name what the reporter works with."""

    fleet: FleetState
    store: ObjectStore
    published: PublishedView
    freshness: Freshness
    clock: Clock
    is_first_member: Callable[[], bool]
    claim_sweep_interval_s: float = CLAIM_SWEEP_INTERVAL_S


class Reporter(HostActor):
    """Write status when it changes, and audit records that are missing."""

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
        """Handle a tick."""
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
        """Read the status back: an earlier run or a lost answer wrote it."""
        try:
            stored = self._deps.store.get(
                "HostStatus", self._deps.fleet.own_member.host, "status"
            )
        except StoreError:
            return
        self._status_revision = stored.revision
        self._reported_at = float("-inf")

    def _write_missing_audit_records(self) -> None:
        """Record each change of an operator's object once, by its revision."""
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
        """Delete claims whose time is over."""
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
            return  # The next sweep meets the same claims.

    def _write_audit_record(self, stored: StoredObject) -> None:
        record = make_audit_object(
            stored, "write", 0, f"host:{self._deps.fleet.own_member.host}", time()
        )
        try:
            self._deps.store.put(record, "audit")
        except Conflict:
            pass  # The command that made the change recorded it already.
        self._audited_revisions.add(stored.revision)
