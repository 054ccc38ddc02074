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
from damasktally.resources.audit import audit_object
from damasktally.resources.kinds import OPERATOR_KINDS, HostStatus

STATUS_GAP_S = 1.0
STATUS_REFRESH_S = 30.0
AUDIT_BATCH = 20
SWEEP_GAP_S = 60.0
SWEEP_BATCH = 50
"""Expired claims that one sweep deletes, so that sweeps stay in the budget."""


@dataclass(frozen=True, slots=True)
class ReportTick:
    """Ask for what is due to be written."""


@dataclass
class ReporterParts:
    """Name what the reporter works with."""

    fleet: FleetState
    store: ObjectStore
    published: PublishedView
    freshness: Freshness
    clock: Clock
    is_keeper: Callable[[], bool]
    sweep_gap_s: float = SWEEP_GAP_S


class Reporter(HostActor):
    """Write status when it changes, and audit records that are missing."""

    def __init__(self, parts: ReporterParts) -> None:
        super().__init__()
        self._p = parts
        self._reported: tuple[object, ...] = ()
        self._reported_at = float("-inf")
        self._revision = 0
        self._audited: set[int] = set()
        self._audit_listed = False
        self._isolation: Isolation | None = None
        self._swept_at = float("-inf")

    def handle(self, message: object) -> None:
        """Handle a tick."""
        self._note_isolation()
        if self._p.freshness.isolation() is not Isolation.CONNECTED:
            return
        self._report_status()
        if self._p.is_keeper():
            self._audit()
            self._sweep_claims()

    def _note_isolation(self) -> None:
        state = self._p.freshness.isolation()
        if state is not self._isolation:
            emit(ISOLATION_CHANGED, state=state.value)
            self._isolation = state

    def _report_status(self) -> None:
        view = self._p.published.view
        now = self._p.clock()
        current = (view.revision, self._isolation, self._p.fleet.roster.generation)
        age = now - self._reported_at
        due = current != self._reported and age >= STATUS_GAP_S
        if not due and age < STATUS_REFRESH_S:
            return
        fleet = self._p.fleet
        status = HostStatus(
            host=fleet.own_member.host,
            incarnation=fleet.own_member.incarnation,
            region=fleet.own_member.region,
            revision=view.revision,
            since_unix_s=self._p.published.since,
            isolation=self._isolation.value,
            generation=fleet.roster.generation,
            problems=view.problems(),
        )
        self._reported_at = now
        obj = StoredObject(
            kind="HostStatus",
            name=fleet.own_member.host,
            revision=self._revision,
            nonce=token_hex(8),
            author=f"host:{fleet.own_member.host}",
            spec=status.model_dump(),
        )
        try:
            self._revision = self._p.store.put(obj, "status").revision
            self._reported = current
        except Conflict:
            self._find_revision()
        except StoreError:
            self._find_revision()

    def _find_revision(self) -> None:
        """Read the status back: an earlier run or a lost answer wrote it."""
        try:
            stored = self._p.store.get(
                "HostStatus", self._p.fleet.own_member.host, "status"
            )
        except StoreError:
            return
        self._revision = stored.revision
        self._reported_at = float("-inf")

    def _audit(self) -> None:
        """Record each change of an operator's object once, by its revision."""
        view = self._p.published.view
        missing = [
            entry.stored
            for kind in OPERATOR_KINDS
            for entry in view.objects.get(kind, {}).values()
            if entry.stored.revision not in self._audited
        ]
        try:
            if missing and not self._audit_listed:
                page = self._p.store.list_objects(["AuditRecord"], "audit")
                self._audited |= {obj.spec["to_revision"] for obj in page.items}
                self._audit_listed = True
            for stored in missing[:AUDIT_BATCH]:
                if stored.revision not in self._audited:
                    self._record(stored)
        except StoreError as exc:
            emit(AUDIT_GAP, reason=exc.message)

    def _sweep_claims(self) -> None:
        """Delete claims whose time is over."""
        now = self._p.clock()
        if now - self._swept_at < self._p.sweep_gap_s:
            return
        self._swept_at = now
        try:
            page = self._p.store.list_objects(["Claim"], "sweep")
            old = [c for c in page.items if c.spec["expires_unix_s"] < time()]
            for claim in old[:SWEEP_BATCH]:
                self._p.store.delete("Claim", claim.name, claim.revision, "sweep")
        except StoreError:
            return  # The next sweep meets the same claims.

    def _record(self, stored: StoredObject) -> None:
        record = audit_object(
            stored, "write", 0, f"host:{self._p.fleet.own_member.host}", time()
        )
        try:
            self._p.store.put(record, "audit")
        except Conflict:
            pass  # The command that made the change recorded it already.
        self._audited.add(stored.revision)
