"""Register this host in the store, and read the list of the other hosts there."""

from asyncio import get_running_loop, sleep
from random import Random
from typing import Any

from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import VIEW_CHANGED
from damasktally.fleet.members import MemberTable
from damasktally.platform.codec import decode_member, encode_member
from damasktally.platform.store import MEMBERS_KIND, StoreClient, StoreUnavailable

RETRY_DELAY_S = 1.0
FIRST_START_WAIT_S = 0.5
"""Wait before listing the hosts when the whole fleet starts, so that all register."""


class Registration:
    """Write this host's object once, and list the others.

    ``is_complete`` turns true once the store has taken the object and listed the hosts.

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
        self.is_complete = False

    async def run(self) -> None:
        """Register and list the hosts; retry until the store has done both."""
        own = self._members.own
        spec = encode_member(own)
        while not self.is_complete:
            try:
                await self._write(own.host, spec)
                listing = await self._store.list_objects(MEMBERS_KIND)
            except StoreUnavailable:
                await sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
                continue
            now = get_running_loop().time()
            for stored in listing.specs.values():
                self._add_member(stored, now)
            self.is_complete = True

    async def _write(self, name: str, spec: Any) -> None:
        stored = await self._store.create(MEMBERS_KIND, name, spec)
        if not _is_same_host(stored, spec):
            await self._store.replace(MEMBERS_KIND, name, spec)
        if self._is_first_start:
            await sleep(FIRST_START_WAIT_S)

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
