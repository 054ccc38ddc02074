"""Make this host known in the store, and learn the other hosts from it."""

from asyncio import get_running_loop, sleep
from random import Random
from typing import Any

from damasktally.errors import DamasktallyError
from damasktally.events import emit
from damasktally.events.catalogue import VIEW_CHANGED
from damasktally.fleet.members import MemberTable
from damasktally.platform.codec import decode_member, encode_member
from damasktally.platform.store import MEMBERS_KIND, StoreClient, StoreUnavailable

RETRY_PAUSE_S = 1.0
FIRST_START_S = 0.5
"""When the whole fleet starts, hosts give each other this long to register."""


class Registration:
    """Write this host's object once, and list the others.

    :param members: learns the hosts that are listed.
    :param first_start: whether the whole fleet starts for the first time.
    """

    def __init__(
        self, store: StoreClient, members: MemberTable, first_start: bool, rng: Random
    ) -> None:
        self._store = store
        self._members = members
        self._first_start = first_start
        self._rng = rng
        self.is_complete = False

    async def run(self) -> None:
        """Register, again and again until the store has taken it."""
        own = self._members.own
        spec = encode_member(own)
        while not self.is_complete:
            try:
                await self._write(own.host, spec)
                listing = await self._store.list_objects(MEMBERS_KIND)
            except StoreUnavailable:
                await sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
                continue
            now = get_running_loop().time()
            for item in listing.specs.values():
                self._learn(item, now)
            self.is_complete = True

    async def _write(self, name: str, spec: Any) -> None:
        held = await self._store.create(MEMBERS_KIND, name, spec)
        if not _same_place(held, spec):
            await self._store.replace(MEMBERS_KIND, name, spec)
        if self._first_start:
            await sleep(FIRST_START_S)

    def _learn(self, spec: Any, now: float) -> None:
        try:
            self._members.add(decode_member(spec), now)
        except DamasktallyError as exc:
            emit(VIEW_CHANGED, topic="hosts", detail=str(exc))


def _same_place(held: object, spec: object) -> bool:
    """Tell whether two objects describe the same host, whichever run of it."""
    if not isinstance(held, dict) or not isinstance(spec, dict):
        return False
    return {**held, "started_ms": 0} == {**spec, "started_ms": 0}
