"""Register this host in the store, and read the list of the other hosts there."""

from asyncio import get_running_loop, sleep
from random import Random
from typing import Any

from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import VIEW_CHANGED
from damasktally.fleet.members import MemberTable
from damasktally.fleet.model import era_of
from damasktally.platform.codec import decode_member, encode_member
from damasktally.platform.store import (
    MEMBERS_KIND,
    Listing,
    StoreClient,
    StoreUnavailable,
)

RETRY_DELAY_S = 1.0
FIRST_START_WAIT_S = 1.5
"""Wait before listing the hosts when the whole fleet starts, so that all register and
a stale list has them."""
STALE_LIST_INTERVAL_S = 0.5
MAX_RENEWAL_DELAY_S = 0.6
RENEWAL_RETRY_DELAY_S = 0.4
MAX_STALE_LISTS = 4
"""Stale lists without this host's own object, after which the list must be exact."""


class Registration:
    """Write this host's object once, and list the others.

    Lists may be stale, which costs a tenth of an exact one. One that has this host's
    object has all hosts that registered before it. Those that registered later send
    heartbeats to hosts that both know.

    ``is_complete`` turns true once the store has the object and listed the hosts.
    ``era`` is the store's era in which it had the object.

    :param store: the platform's store.
    :param members: receives the hosts that are listed.
    :param is_first_start: whether the whole fleet starts for the first time.
    :param rng: adds jitter to the pauses between attempts.
    """

    def __init__(
        self,
        store: StoreClient,
        members: MemberTable,
        is_first_start: bool,
        rng: Random,
    ) -> None:
        self._store = store
        self._members = members
        self._is_first_start = is_first_start
        self._rng = rng
        self._own_spec = encode_member(members.own)
        self.is_complete = False
        self.era = 0

    async def run(self) -> None:
        """Register and list the hosts; retry until the store has done both."""
        while not self.is_complete:
            try:
                listing = await self._register_and_list()
            except StoreUnavailable:
                await sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
                continue
            now = get_running_loop().time()
            for stored in listing.specs.values():
                self._add_member(stored, now)
            self.is_complete = True

    async def renew(self) -> None:
        """Write this host's object again, after the store came back from a copy.

        A random delay spreads the calls of all hosts.
        """
        await sleep(MAX_RENEWAL_DELAY_S * self._rng.random())
        while True:
            try:
                return await self._create_or_replace()
            except StoreUnavailable:
                await sleep(RENEWAL_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))

    async def _register_and_list(self) -> Listing:
        if not self._is_first_start:
            # A restarted host mostly finds its object, and need not write it again.
            listing = await self._store.list_objects(MEMBERS_KIND, allow_stale=True)
            if self._has_own_object(listing):
                self.era = era_of(listing.revision)
                return listing
        await self._write()
        for _ in range(MAX_STALE_LISTS):
            listing = await self._store.list_objects(MEMBERS_KIND, allow_stale=True)
            if self._has_own_object(listing):
                return listing
            await sleep(STALE_LIST_INTERVAL_S)
        return await self._store.list_objects(MEMBERS_KIND)

    def _has_own_object(self, listing: Listing) -> bool:
        stored = listing.specs.get(self._members.own.host)
        return _is_same_host(stored, self._own_spec)

    async def _write(self) -> None:
        await self._create_or_replace()
        if self._is_first_start:
            await sleep(FIRST_START_WAIT_S)

    async def _create_or_replace(self) -> None:
        name = self._members.own.host
        stored = await self._store.create(MEMBERS_KIND, name, self._own_spec)
        if not _is_same_host(stored, self._own_spec):
            await self._store.replace(MEMBERS_KIND, name, self._own_spec)
        self.era = self._store.era

    def _add_member(self, spec: Any, now: float) -> None:
        try:
            self._members.add(decode_member(spec), now)
        except DamasktallyError as exc:
            emit(VIEW_CHANGED, topic="hosts", detail=str(exc))


def _is_same_host(stored: object, own: object) -> bool:
    """Return whether two objects are equal but for the start time of the host."""
    if not isinstance(stored, dict) or not isinstance(own, dict):
        return False
    return {**stored, "started_ms": 0} == {**own, "started_ms": 0}
