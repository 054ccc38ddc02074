"""Keep blocked requests in the store, so that they stay blocked when all hosts restart.

The host that finds that a request ends servers writes an object for it, and removes the
object when the block ends. Every host lists these objects when it starts.
"""

from asyncio import Task, create_task, sleep
from collections.abc import Coroutine
from random import Random
from time import time
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from damasktally.decisions.crash_suspects import CRASH_LIFETIME_S
from damasktally.entry.crash_reports import CrashReports
from damasktally.errors import DECODING_ERRORS
from damasktally.events import emit
from damasktally.events.catalogue import BLOCKED_REQUEST_INVALID
from damasktally.fleet.crash_reports import CrashEntry, CrashReport
from damasktally.platform.codec import MAX_INTEGER
from damasktally.platform.store import (
    BLOCKED_REQUESTS_KIND,
    StoreClient,
    StoreUnavailable,
)

RETRY_DELAY_S = 0.5
MAX_REMEMBERED_OBJECTS = 1_000
"""Objects that are written or removed again after a return of the store."""


class StoredBlock(msgspec.Struct, frozen=True):
    """Object of a blocked request; its name is the request's fingerprint.

    :param lost_ms: Unix time in milliseconds of the loss at each server process, whose
        window follows its name after a slash.
    """

    lost_ms: dict[str, Annotated[int, Meta(ge=0, le=MAX_INTEGER)]]


class BlockedRequests:
    """Write blocked requests to the store, and read them from it.

    :param store: the platform's store.
    :param reports: receives what the store holds.
    :param rng: adds jitter to the pauses between attempts.
    """

    def __init__(self, store: StoreClient, reports: CrashReports, rng: Random) -> None:
        self._store = store
        self._reports = reports
        self._rng = rng
        self._wanted: dict[str, StoredBlock | None] = {}
        self._tasks: set[Task] = set()

    def start(self) -> None:
        """Begin to read the blocked requests; retry until the store responds."""
        self._run(self._load())

    def close(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()

    def save(self, report: CrashReport) -> None:
        """Write a request that this host found to end servers.

        :param report: the losses that block it, as of now.
        """
        self._want(report.fingerprint, encode_block(report, time()))

    def remove(self, fingerprint: str) -> None:
        """Remove the object of a request that is not blocked any more.

        Only a host that wrote it does so; it is gone already if another one did.
        """
        if fingerprint in self._wanted:
            self._want(fingerprint, None)

    def renew(self) -> None:
        """Write or remove objects again, after the store came back from a copy."""
        for fingerprint in self._wanted:
            self._run(self._settle(fingerprint))

    def _want(self, fingerprint: str, stored: StoredBlock | None) -> None:
        self._wanted.pop(fingerprint, None)
        self._wanted[fingerprint] = stored
        if len(self._wanted) > MAX_REMEMBERED_OBJECTS:
            del self._wanted[next(iter(self._wanted))]
        self._run(self._settle(fingerprint))

    def _run(self, call: Coroutine[Any, Any, None]) -> None:
        task = create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(self) -> None:
        while True:
            try:
                listing = await self._store.list_objects(
                    BLOCKED_REQUESTS_KIND, allow_stale=True
                )
            except StoreUnavailable:
                await self._sleep()
                continue
            self._take_in(listing.specs)
            return

    def _take_in(self, specs: dict[str, Any]) -> None:
        for fingerprint, spec in specs.items():
            try:
                report = decode_block(fingerprint, spec, time())
            except DECODING_ERRORS as exc:
                emit(BLOCKED_REQUEST_INVALID, name=fingerprint, reason=str(exc))
                continue
            if report.entries:
                self._reports.merge([report])

    async def _settle(self, fingerprint: str) -> None:
        """Write or remove an object until the store has what is wanted."""
        while fingerprint in self._wanted:
            stored = self._wanted[fingerprint]
            try:
                await self._apply(fingerprint, stored)
            except StoreUnavailable:
                await self._sleep()
                continue
            if self._wanted.get(fingerprint) is stored:
                return

    async def _apply(self, fingerprint: str, stored: StoredBlock | None) -> None:
        if stored is None:
            await self._store.delete(BLOCKED_REQUESTS_KIND, fingerprint)
            return
        spec = msgspec.to_builtins(stored)
        await self._store.create(BLOCKED_REQUESTS_KIND, fingerprint, spec)

    async def _sleep(self) -> None:
        await sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))


def encode_block(report: CrashReport, unix_s: float) -> StoredBlock:
    """Return the object for a report.

    :param unix_s: the present Unix time in seconds.
    """
    return StoredBlock(
        {
            f"{entry.process}/{entry.window}": int((unix_s - entry.age_s) * 1000)
            for entry in report.entries
            if not entry.is_exonerated
        }
    )


def decode_block(fingerprint: str, spec: Any, unix_s: float) -> CrashReport:
    """Return the report of an object, without the losses that do not count any more.

    Clocks of hosts differ: a loss in the future counts as one of now.

    :param unix_s: the present Unix time in seconds.
    :raises msgspec.ValidationError: if the object is malformed.
    """
    stored = msgspec.convert(spec, StoredBlock)
    entries = []
    for name, lost_ms in stored.lost_ms.items():
        process, _, window = name.rpartition("/")
        if not window.isdigit():
            raise msgspec.ValidationError(f"{name!r} has no window")
        age_s = max(0.0, unix_s - lost_ms / 1000)
        entries.append(CrashEntry(process, int(window), age_s, False))
    return CrashReport(
        fingerprint,
        tuple(entry for entry in entries if entry.age_s < CRASH_LIFETIME_S),
    )
