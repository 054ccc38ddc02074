"""Ask the lease manager of a server before a request is sent to it."""

from asyncio import Queue, get_running_loop, timeout
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import count
from random import Random

from damasktally.decisions.lease_terms import LeaseOutcome
from damasktally.entry.leases.manager_selection import LeaseManagerSelector
from damasktally.entry.leases.messages import (
    MS_PER_S,
    LeaseEnd,
    LeaseReply,
    LeaseRequest,
    to_milliseconds,
)
from damasktally.events import emit
from damasktally.events.catalogue import LEASE_MANAGER_SILENT
from damasktally.fleet.model import Member, Server

REPLY_TIMEOUT_S = 0.06
REGION_ROUND_TRIP_S = 0.03
"""Added to the timeout if the manager is in another region: one way takes 12 ms."""
SILENT_MANAGER_PAUSE_S = 1.0
"""A manager that did not reply is not asked again for this long."""
ASK_AGAIN_INTERVAL_S = 0.25
"""A host whose request waits asks again this often, in case a reply was lost or the
manager has ended."""
MAX_FIRST_NUMBER = 1 << 31


class LeaseResult(Enum):
    """How asking for a lease ended. The value is a label of a metric."""

    GRANTED = "granted"
    REFUSED = "refused"
    WAITED_TOO_LONG = "waited-too-long"
    """It was refused after it had waited."""
    NO_REPLY = "no-reply"
    NOT_MANAGER = "not-manager"
    """No host is known as the manager, or the one that was asked says it is not."""
    CALLER_LEFT = "caller-left"


DECIDED_RESULTS = frozenset(
    {LeaseResult.GRANTED, LeaseResult.REFUSED, LeaseResult.NOT_MANAGER}
)
"""Results after which the manager needs no notice that the request does not wait."""


@dataclass(frozen=True, slots=True)
class LeaseNeed:
    """What a request needs. Times are in seconds.

    :param priority: 0 is the most urgent.
    :param customer: name, or an empty string if there is none.
    :param wait_s: how long it may wait.
    :param run_s: how long it is expected to run.
    """

    priority: int
    customer: str
    wait_s: float
    run_s: float


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, or why there is none.

    :param number: identifies it among those of this host.
    :param manager: the host that was asked, or ``None``.
    :param room_after_s: for a refusal, the seconds until the manager expects room.
    :param waited_s: seconds until there was a decision, or none was expected any more.
    :param ahead: how many requests waited ahead, or ``None`` if it did not wait.
    """

    result: LeaseResult
    number: int = 0
    manager: Member | None = None
    room_after_s: float = 0.0
    waited_s: float = 0.0
    ahead: int | None = None


class _CallerLeft(Exception):
    """The caller of a request that waits has left."""


class _PendingRequest:
    """A request for a lease that is not decided yet, and the replies to it."""

    def __init__(self, manager: Member, timeout_s: float, ends_at: float) -> None:
        self.manager = manager
        self.timeout_s = timeout_s
        self.ends_at = ends_at
        self.ahead: int | None = None
        self._replies: Queue[LeaseReply | None] = Queue()

    def put(self, reply: LeaseReply) -> None:
        if reply.outcome is LeaseOutcome.QUEUED:
            self.ahead = reply.ahead
        self._replies.put_nowait(reply)

    def leave(self) -> None:
        self._replies.put_nowait(None)

    async def next_reply(self, timeout_s: float) -> LeaseReply | None:
        """Return the next reply, or ``None`` if there is none in time."""
        try:
            async with timeout(timeout_s):
                reply = await self._replies.get()
        except TimeoutError:
            return None
        if reply is None:
            raise _CallerLeft
        return reply


class LeaseClient:
    """Acquire and release leases.

    :param own: this host; without a lease port, it asks for none.
    :param send: sends a message to another host, or handles it if this one is meant.
    """

    def __init__(
        self,
        own: Member,
        managers: LeaseManagerSelector,
        send: Callable[[Member, LeaseRequest | LeaseEnd], None],
        rng: Random,
    ) -> None:
        self.is_enabled = own.lease_port != 0
        self._own = own
        self._managers = managers
        self._send = send
        self._loop = get_running_loop()
        # Replies to an earlier process of this host must not match.
        self._numbers = count(rng.randrange(MAX_FIRST_NUMBER))
        self._pending: dict[int, _PendingRequest] = {}
        self._silent_until: dict[str, float] = {}

    async def acquire(
        self,
        server: Server,
        need: LeaseNeed,
        on_wait: Callable[[Callable[[], None]], None] = lambda leave: None,
    ) -> Lease:
        """Ask for a lease, and wait for it as long as the request may wait.

        :param on_wait: receives a function to call when the caller leaves.
        """
        started_at = self._loop.time()
        manager = self._find_manager(server, started_at)
        if manager is None:
            return Lease(LeaseResult.NOT_MANAGER)
        number = next(self._numbers)
        pending = self._add_pending(number, manager, need)
        on_wait(pending.leave)
        result, room_after_s = LeaseResult.CALLER_LEFT, 0.0
        try:
            result, room_after_s = await self._ask(
                pending, self._encode(number, server, need)
            )
        except _CallerLeft:
            pass
        finally:
            del self._pending[number]
            if result not in DECIDED_RESULTS:
                # It may have been granted although no reply arrived.
                self._send_end(manager, number)
        waited_s = self._loop.time() - started_at
        return Lease(result, number, manager, room_after_s, waited_s, pending.ahead)

    def release(self, lease: Lease, running: int = -1, waiting: int = -1) -> None:
        """End a lease that was granted.

        :param running: requests that the server reported with its response, or -1.
        :param waiting: requests in the server's queue by the same report, or -1.
        """
        if lease.result is LeaseResult.GRANTED:
            self._send_end(lease.manager, lease.number, running, waiting)

    def handle_reply(self, reply: LeaseReply, address: tuple[str, int]) -> bool:
        """Pass a reply on to the request that waits for it.

        :param address: host and port of the sender.
        :returns: whether it was expected.
        """
        pending = self._pending.get(reply.number)
        if pending is None or lease_address(pending.manager) != address:
            return False
        pending.put(reply)
        return True

    def _find_manager(self, server: Server, now: float) -> Member | None:
        """Return the manager to ask, or ``None`` if none is known or it is silent."""
        manager = self._managers.find(server.id, server.data_centre, now)
        if manager is None or self._silent_until.get(manager.host, now) > now:
            return None
        return manager

    def _add_pending(
        self, number: int, manager: Member, need: LeaseNeed
    ) -> _PendingRequest:
        timeout_s = REPLY_TIMEOUT_S
        if manager.region != self._own.region:
            timeout_s += REGION_ROUND_TRIP_S
        ends_at = self._loop.time() + need.wait_s + timeout_s
        pending = self._pending[number] = _PendingRequest(manager, timeout_s, ends_at)
        return pending

    def _encode(self, number: int, server: Server, need: LeaseNeed) -> LeaseRequest:
        return LeaseRequest(
            self._own.host,
            self._own.started_ms,
            number,
            server.id,
            server.started_ms,
            max(1, server.slots),
            need.priority,
            need.customer,
            to_milliseconds(need.wait_s),
            to_milliseconds(need.run_s),
        )

    async def _ask(
        self, pending: _PendingRequest, message: LeaseRequest
    ) -> tuple[LeaseResult, float]:
        """Ask until there is a decision.

        :returns: the result, and the seconds until room is expected.
        """
        reply = await self._request_reply(pending, message)
        while reply is not None and reply.outcome is LeaseOutcome.QUEUED:
            room_after_s = reply.wait_ms / MS_PER_S
            left_s = max(0.0, pending.ends_at - self._loop.time())
            reply = await pending.next_reply(min(left_s, ASK_AGAIN_INTERVAL_S))
            if reply is None and self._loop.time() >= pending.ends_at:
                return LeaseResult.WAITED_TOO_LONG, room_after_s
            if reply is None:
                reply = await self._request_reply(pending, message)
        if reply is None or reply.outcome is LeaseOutcome.NOT_MANAGER:
            return self._pause_manager(pending.manager, reply is None), 0.0
        if reply.outcome is LeaseOutcome.GRANTED:
            return LeaseResult.GRANTED, 0.0
        has_waited = pending.ahead is not None
        result = LeaseResult.WAITED_TOO_LONG if has_waited else LeaseResult.REFUSED
        return result, reply.wait_ms / MS_PER_S

    async def _request_reply(
        self, pending: _PendingRequest, message: LeaseRequest
    ) -> LeaseReply | None:
        """Send a message, and once more if no reply arrives within half the timeout."""
        for _ in range(2):
            self._send(pending.manager, message)
            reply = await pending.next_reply(pending.timeout_s / 2)
            if reply is not None:
                return reply
        return None

    def _pause_manager(self, manager: Member, is_silent: bool) -> LeaseResult:
        """Ask a manager nothing for a while, and return how asking it ended."""
        now = self._loop.time()
        was_paused = self._silent_until.get(manager.host, now) > now
        self._silent_until[manager.host] = now + SILENT_MANAGER_PAUSE_S
        if not is_silent:
            return LeaseResult.NOT_MANAGER
        if not was_paused:
            emit(
                LEASE_MANAGER_SILENT,
                manager=manager.host,
                seconds=SILENT_MANAGER_PAUSE_S,
            )
        return LeaseResult.NO_REPLY

    def _send_end(
        self, manager: Member, number: int, running: int = -1, waiting: int = -1
    ) -> None:
        own = self._own
        message = LeaseEnd(own.host, own.started_ms, number, running, waiting)
        self._send(manager, message)


def lease_address(member: Member) -> tuple[str, int]:
    """Return where a host takes lease messages: host and port."""
    return member.peer_address[0], member.lease_port
