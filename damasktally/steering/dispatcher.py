"""Assign free slots to waiting requests, fairly by customer.

The customer with the least service is next; its oldest request gets the server with
the lowest cost.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from threading import Event, RLock

from damasktally.clock import Clock
from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.slots import (
    ServerSlots,
    SlotLease,
    SlotTable,
    TakenSlot,
)
from damasktally.resources.kinds import BackendServer, SteeringPolicy
from damasktally.resources.view import View
from damasktally.steering.candidate_selection import (
    Candidate,
    estimate_latency_ms,
    select_candidate,
)
from damasktally.steering.fair_queue import FairQueue
from damasktally.steering.health import HealthTable, slots_during_warmup

LOCAL_SAMPLE_SIZE = 2
"""Random servers of this region among which one is selected."""
INITIAL_SERVICE_TIME_S = 0.02
"""Mean service time assumed for a pool before its first request ends."""
SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the newest request in the moving average of the service time."""
MAX_QUEUE_FRACTION_PER_CUSTOMER = 0.5
"""Part of a pool's queue that one customer may fill."""


@dataclass(eq=False, slots=True)
class Waiter:
    """Hold one request that needs a slot.

    :param max_hold_s: how long the slot may be held, in seconds.
    :param excluded_servers: servers that this request was already sent to.
    :param assigned: set when the request got a slot while it waited.
    :param taken_slot: the slot that it got.
    :param precharged_s: service time that its customer was charged when the slot
        was assigned, in slot-seconds; the rest is charged on release.
    """

    customer: str
    weight: float
    max_hold_s: float
    policy: SteeringPolicy
    excluded_servers: frozenset[str]
    assigned: Event = field(default_factory=Event)
    taken_slot: TakenSlot | None = None
    precharged_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NoSlot:
    """Describe why a request got no slot, and when to send it again.

    :param reason_code: code of the refusal.
    :param retry_after_s: seconds.
    """

    reason_code: str
    retry_after_s: float


@dataclass(slots=True)
class PoolQueue:
    """Hold the waiting requests of one pool and its mean service time.

    :param mean_service_s: moving average of the seconds that a slot is held.
    :param unmet_requests: requests that found no free slot since the shortages were
        taken last.
    """

    waiters: FairQueue[Waiter] = field(default_factory=FairQueue)
    mean_service_s: float = INITIAL_SERVICE_TIME_S
    unmet_requests: int = 0


@dataclass
class Dispatcher:
    """Assign slots to requests; guard slots, health and queues with one lock.

    :param region: this host's region.
    :param data_centre: this host's data centre.
    :param view: returns the view in force.
    :param may_send_to_region: returns whether a request may now be sent to a server
        in another region.
    """

    region: str
    data_centre: str
    clock: Clock
    rng: Random
    slots: SlotTable
    health: HealthTable
    view: Callable[[], View]
    may_send_to_region: Callable[[str], bool] = lambda target: True
    lock: RLock = field(default_factory=RLock)
    pools: dict[str, PoolQueue] = field(default_factory=dict)
    _known_servers: set[str] | None = None
    _entries_by_pool: dict[str, list[ServerSlots]] = field(default_factory=dict)

    def acquire(
        self, pool: str, waiter: Waiter, wait_s: float, max_queue: int
    ) -> TakenSlot | NoSlot:
        """Take a slot for a request; wait for one if none is free.

        :param wait_s: how long to wait at most, in seconds.
        :param max_queue: how many requests may wait for this pool on this host.
        """
        with self.lock:
            queue = self._pool_queue(pool)
            if len(queue.waiters) == 0 and self._try_assign(pool, waiter):
                return waiter.taken_slot
            refusal = self._find_refusal(pool, queue, waiter, wait_s, max_queue)
            if refusal is not None:
                queue.unmet_requests += 1
                return refusal
            queue.waiters.push(waiter.customer, waiter)
            queue.unmet_requests += 1
        waiter.assigned.wait(wait_s)
        with self.lock:
            if waiter.taken_slot is not None:
                return waiter.taken_slot
            queue.waiters.remove(waiter.customer, waiter)
            return NoSlot("no-slot", max(queue.mean_service_s, 1.0))

    def release(self, pool: str, waiter: Waiter) -> None:
        """Release a request's slot and assign free slots to waiting requests."""
        with self.lock:
            now = self.clock()
            held_s = now - waiter.taken_slot.taken_at
            self.slots.release(waiter.taken_slot, now)
            waiter.taken_slot = None
            queue = self._pool_queue(pool)
            queue.mean_service_s += SERVICE_TIME_SMOOTHING * (
                held_s - queue.mean_service_s
            )
            uncharged_s = held_s - waiter.precharged_s
            queue.waiters.charge(waiter.customer, uncharged_s, waiter.weight)
            self._serve_queue(pool)

    def refresh(self, view: View, window: GenerationWindow, identity: str) -> None:
        """Recompute this host's slots after a change of the view or the roster.

        :param window: the roster generations that may be in use.
        :param identity: this host's incarnation.
        """
        with self.lock:
            now = self.clock()
            for name, server in view.servers.items():
                own_slots = _slot_share(window, identity, name, server, now)
                self.slots.set_share(name, server.pool, own_slots)
            self.slots.keep_only(view.servers)
            self._entries_by_pool.clear()
            self._start_warmups(view)
            self._serve_all_queues()

    def extend_shares(self, until: float) -> None:
        """Extend the time until this host's own shares of the slots expire.

        :param until: when they expire, in seconds; a time before the current end has
            no effect.
        """
        with self.lock:
            self.slots.share_expires_at = max(self.slots.share_expires_at, until)

    def start_incarnation(self) -> None:
        """Stop filling own slots until the new incarnation is confirmed."""
        with self.lock:
            self.slots.share_expires_at = float("-inf")

    def is_overcommitted(self) -> bool:
        """Return whether more slots are filled or lent than the shares allow.

        This is so while slots of older, larger shares are still in use.
        """
        with self.lock:
            return self.slots.is_overcommitted(self.clock())

    def take_shortages(self) -> dict[str, int]:
        """Return and reset how many slots each pool lacked since the last call."""
        with self.lock:
            found = {}
            for name, queue in self.pools.items():
                shortage = max(queue.unmet_requests, len(queue.waiters))
                if shortage:
                    found[name] = shortage
                queue.unmet_requests = 0
            return found

    def lend(self, peer: str, pool: str, wanted: int) -> list[tuple[str, SlotLease]]:
        """Lend idle slots of a pool, and keep a quarter of the own slots idle.

        Nothing is lent while requests of this host wait for the pool.

        :param peer: identity of the borrower.
        :param wanted: how many slots to lend at most.
        :returns: leases with the names of their servers.
        """
        with self.lock:
            now = self.clock()
            if len(self._pool_queue(pool).waiters):
                return []
            own_slots = sum(
                s.own_slots for s in self.slots.servers.values() if s.pool == pool
            )
            leases = self.slots.lend(peer, pool, wanted, own_slots // 4, now)
            return [(lease.lease_id.rsplit("#", 1)[0], lease) for lease in leases]

    def borrow(self, leases: Iterable[tuple[str, SlotLease]]) -> None:
        """Add slots that peers lent, and assign them to waiting requests.

        :param leases: leases with the names of their servers; those of servers that
            are not in the view are ignored.
        """
        with self.lock:
            servers = self.view().servers
            for server, lease in leases:
                if server in servers:
                    self.slots.borrow(server, servers[server].pool, lease)
            self._entries_by_pool.clear()
            self._serve_all_queues()

    def headroom(self) -> float:
        """Return the free part of the slots that this host owns, from 0 to 1."""
        with self.lock:
            own_slots = sum(entry.own_slots for entry in self.slots.servers.values())
            used = sum(entry.own_in_use for entry in self.slots.servers.values())
        return max(0.0, 1 - used / own_slots) if own_slots else 0.0

    def record_failure(self, pool: str, server: str) -> bool:
        """Record a server's failure, and eject it if the pool's limit allows that.

        :returns: whether the server was ejected.
        :raises KeyError: if the view no longer has the pool.
        """
        with self.lock:
            now = self.clock()
            view = self.view()
            pool_servers = view.servers_by_pool.get(pool, {})
            ejected = sum(
                1 for name in pool_servers if self.health.is_ejected(name, now)
            )
            max_ejected = view.pools[pool].eject_fraction * len(pool_servers)
            return self.health.record_failure(server, ejected + 1 <= max_ejected)

    def queued_requests(self) -> int:
        """Return how many requests wait."""
        with self.lock:
            return sum(len(queue.waiters) for queue in self.pools.values())

    def tick(self) -> None:
        """Remove expired loans, and serve the queues again.

        The passage of time alone can make slots free: a warm-up progresses, or an
        ejection ends.
        """
        with self.lock:
            self.slots.remove_expired(self.clock())
            self._serve_all_queues()

    def find_candidates(self, pool: str, waiter: Waiter) -> list[Candidate]:
        """Return every server that a request can be sent to now."""
        found = [
            self._make_candidate(entry, waiter) for entry in self._pool_entries(pool)
        ]
        return [item for item in found if item is not None]

    def _sample_local_candidates(self, pool: str, waiter: Waiter) -> list[Candidate]:
        """Return up to two random servers of this region, without a full scan.

        Each is the first with a free slot from a random position on, so that the
        cost does not grow with the number of servers while most have free slots.
        """
        entries = self._pool_entries(pool)
        found: dict[str, Candidate] = {}
        for _ in range(LOCAL_SAMPLE_SIZE):
            start = self.rng.randrange(len(entries)) if entries else 0
            for offset in range(len(entries)):
                entry = entries[(start + offset) % len(entries)]
                item = self._make_candidate(entry, waiter)
                is_local = item is not None and item.region == self.region
                if is_local and item.server not in found:
                    found[item.server] = item
                    break
        return list(found.values())

    def _pool_entries(self, pool: str) -> list[ServerSlots]:
        entries = self._entries_by_pool.get(pool)
        if entries is None:
            entries = [e for e in self.slots.servers.values() if e.pool == pool]
            self._entries_by_pool[pool] = entries
        return entries

    def _make_candidate(self, entry: ServerSlots, waiter: Waiter) -> Candidate | None:
        now = self.clock()
        view = self.view()
        name = entry.server
        server = view.servers.get(name)
        if (
            server is None
            or name in waiter.excluded_servers
            or name in view.drained_servers
        ):
            return None
        if self.health.is_ejected(name, now):
            return None
        pool = view.pools.get(server.pool)
        warmup_s = pool.warmup_s if pool is not None else 0.0
        free_slots = self._count_free_slots(name, waiter.max_hold_s, warmup_s, now)
        is_remote = server.region != self.region
        if free_slots <= 0 or (
            is_remote and not self.may_send_to_region(server.region)
        ):
            return None
        return Candidate(
            server=name,
            region=server.region,
            latency_ms=estimate_latency_ms(view, self.region, self.data_centre, server),
            free_slots=free_slots,
            slots_in_use=entry.in_use,
            load_estimate=self.health.estimate_load(name, now),
        )

    def _count_free_slots(
        self, server: str, max_hold_s: float, warmup_s: float, now: float
    ) -> int:
        free_slots = self.slots.count_free_slots(server, now, max_hold_s)
        if free_slots <= 0:
            return 0
        warmup_started_at = self.health.get_or_add(server).warmup_started_at
        entry = self.slots.servers[server]
        total_slots = entry.in_use + free_slots
        return min(
            free_slots,
            slots_during_warmup(total_slots, warmup_started_at, warmup_s, now)
            - entry.in_use,
        )

    def _pool_queue(self, pool: str) -> PoolQueue:
        queue = self.pools.get(pool)
        if queue is None:
            queue = self.pools[pool] = PoolQueue()
        return queue

    def _try_assign(self, pool: str, waiter: Waiter) -> bool:
        local_candidates = self._sample_local_candidates(pool, waiter)
        selected = select_candidate(
            local_candidates or self.find_candidates(pool, waiter),
            self.region,
            waiter.policy,
            self.rng,
        )
        if selected is None:
            return False
        waiter.taken_slot = self.slots.take(
            selected.server, self.clock(), waiter.max_hold_s
        )
        return waiter.taken_slot is not None

    def _find_refusal(
        self,
        pool: str,
        queue: PoolQueue,
        waiter: Waiter,
        wait_s: float,
        max_queue: int,
    ) -> NoSlot | None:
        """Return why a request must not be queued, or ``None`` if it may be."""
        queue_length = len(queue.waiters)
        if not self.view().servers_by_pool.get(pool):
            return NoSlot("no-server", 1.0)
        customer_waiting = len(queue.waiters.items_by_customer.get(waiter.customer, ()))
        if queue_length >= max_queue or customer_waiting >= max(
            1, max_queue * MAX_QUEUE_FRACTION_PER_CUSTOMER
        ):
            return NoSlot("queue-full", max(queue.mean_service_s, 1.0))
        own_slots = sum(
            entry.own_slots
            for entry in self.slots.servers.values()
            if entry.pool == pool
        )
        waiting_ahead = (
            customer_waiting
            if waiter.customer in queue.waiters.items_by_customer
            else 0
        )
        if own_slots and queue.mean_service_s * waiting_ahead / own_slots > wait_s:
            return NoSlot("deadline", max(queue.mean_service_s, 1.0))
        return None

    def _serve_queue(self, pool: str) -> None:
        queue = self._pool_queue(pool)
        while self._serve_next(pool, queue):
            pass

    def _serve_next(self, pool: str, queue: PoolQueue) -> bool:
        """Assign a slot to the first customer's oldest request that can get one.

        The customer is charged the mean service time at once, so that it does not
        stay first until its request ends; the difference is charged on release.

        :returns: whether a slot was assigned.
        """
        for customer in queue.waiters.order_customers():
            waiter = queue.waiters.items_by_customer[customer][0]
            if self._try_assign(pool, waiter):
                queue.waiters.pop(customer)
                waiter.precharged_s = queue.mean_service_s
                queue.waiters.charge(customer, queue.mean_service_s, waiter.weight)
                waiter.assigned.set()
                return True
        return False

    def _serve_all_queues(self) -> None:
        for pool in list(self.pools):
            self._serve_queue(pool)

    def _start_warmups(self, view: View) -> None:
        """Start the warm-up of servers that are new or no longer drained.

        The servers of the first view that has any do not warm up.
        """
        names = set(view.servers) - view.drained_servers
        if self._known_servers is not None:
            for name in names - self._known_servers:
                self.health.start_warmup(name)
        if names or self._known_servers is not None:
            self._known_servers = names


def _slot_share(
    window: GenerationWindow,
    identity: str,
    name: str,
    server: BackendServer,
    now: float,
) -> int:
    share = window.smallest_share(
        lambda roster: roster.slots_owned_by(
            identity, name, server.region, server.data_centre, server.slots
        ),
        now,
    )
    return int(share)
