"""Manage this host's share of the slots of every backend server, with loans."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count


@dataclass(slots=True)
class SlotLease:
    """Represent slots of one server that one host lends to another.

    :param lease_id: name of the lease, unique for the lender.
    :param peer: identity of the other host's incarnation.
    :param slots: number of slots.
    :param expires_at: when it ends, in seconds of the clock of the host that stores
        this record.
    :param in_use: slots that the borrower has taken.
    :param idle_since: since when the borrower has used none, in seconds.
    """

    lease_id: str
    peer: str
    slots: int
    expires_at: float
    in_use: int = 0
    idle_since: float = 0.0


@dataclass(slots=True)
class ServerSlots:
    """Count the slots of one server that this host may use.

    :param server: name of the server.
    :param pool: name of the server's pool.
    :param own_slots: slots of this host's share.
    :param own_in_use: slots of this host's share that are in use here.
    :param lent: leases to peers.
    :param borrowed: leases from peers.
    """

    server: str
    pool: str
    own_slots: int = 0
    own_in_use: int = 0
    lent: list[SlotLease] = field(default_factory=list)
    borrowed: list[SlotLease] = field(default_factory=list)

    @property
    def in_use(self) -> int:
        """Return how many slots this host uses, its own and borrowed ones."""
        return self.own_in_use + sum(lease.in_use for lease in self.borrowed)

    def count_lent_slots(self, now: float) -> int:
        """Return how many slots of this host's share are lent to peers."""
        return sum(lease.slots for lease in self.lent if lease.expires_at > now)

    def count_free_own_slots(self, now: float) -> int:
        """Return how many slots of this host's share can be taken."""
        return max(0, self.own_slots - self.count_lent_slots(now) - self.own_in_use)

    def count_free_borrowed_slots(self, now: float, max_hold_s: float) -> int:
        """Return how many borrowed slots can be taken for ``max_hold_s`` seconds."""
        return sum(
            lease.slots - lease.in_use
            for lease in self.borrowed
            if lease.expires_at >= now + max_hold_s
        )


@dataclass(frozen=True, slots=True)
class TakenSlot:
    """Represent a taken slot, which has to be released exactly once.

    :param server: name of the server.
    :param lease: the lease of a borrowed slot, ``None`` for a slot of this host's
        share.
    :param taken_at: seconds.
    """

    server: str
    lease: SlotLease | None
    taken_at: float


@dataclass
class SlotTable:
    """Manage the slots of all servers that this host may use.

    The caller of every method must hold the dispatcher's lock.

    :param longest_request_s: longest time for which one request may hold a slot, in
        seconds.
    :param share_expires_at: when this host's shares end unless they are extended, in
        seconds.
    """

    longest_request_s: float
    share_expires_at: float = float("-inf")
    servers: dict[str, ServerSlots] = field(default_factory=dict)
    _lease_numbers: count = field(default_factory=lambda: count(1))

    def set_share(self, server: str, pool: str, own_slots: int) -> None:
        """Set how many slots of a server belong to this host's share."""
        entry = self.servers.get(server)
        if entry is None and own_slots == 0:
            return
        if entry is None:
            entry = self.servers[server] = ServerSlots(server, pool)
        entry.pool = pool
        entry.own_slots = own_slots

    def keep_only(self, servers: Iterable[str]) -> None:
        """Remove servers that no longer exist, once none of their slots is in use.

        Servers with a slot that is lent or borrowed stay until the loan has ended.
        """
        names = set(servers)
        for name, entry in list(self.servers.items()):
            if name not in names:
                entry.own_slots = 0
            unused = entry.own_slots == 0 and entry.in_use == 0
            if unused and not entry.borrowed and not entry.lent:
                del self.servers[name]

    def count_free_slots(self, server: str, now: float, max_hold_s: float) -> int:
        """Return how many slots of a server can be taken for ``max_hold_s`` seconds."""
        entry = self.servers.get(server)
        if entry is None:
            return 0
        own = entry.count_free_own_slots(now) if now < self.share_expires_at else 0
        return own + entry.count_free_borrowed_slots(now, max_hold_s)

    def take(self, server: str, now: float, max_hold_s: float) -> TakenSlot | None:
        """Take a slot, of this host's share if one is free, else a borrowed one.

        :param server: name of the server.
        :param now: seconds.
        :param max_hold_s: seconds for which the slot may be held; a borrowed slot is
            taken only if its lease does not expire before.
        :returns: the taken slot, or ``None`` if none is free.
        """
        entry = self.servers.get(server)
        if entry is None:
            return None
        if now < self.share_expires_at and entry.count_free_own_slots(now) > 0:
            entry.own_in_use += 1
            return TakenSlot(server, None, now)
        for lease in entry.borrowed:
            if lease.expires_at >= now + max_hold_s and lease.in_use < lease.slots:
                lease.in_use += 1
                return TakenSlot(server, lease, now)
        return None

    def release(self, taken_slot: TakenSlot, now: float) -> None:
        """Release a slot that was taken.

        :param taken_slot: what :meth:`take` returned.
        :param now: seconds.
        """
        entry = self.servers[taken_slot.server]
        if taken_slot.lease is None:
            entry.own_in_use -= 1
            return
        taken_slot.lease.in_use -= 1
        if taken_slot.lease.in_use == 0:
            taken_slot.lease.idle_since = now

    def lend(
        self, peer: str, pool: str, wanted: int, kept_slots: int, now: float
    ) -> list[SlotLease]:
        """Debit free slots of a pool for a peer.

        The loan ends no later than a request would that this host could start now.

        :param peer: identity of the borrower's incarnation.
        :param pool: name of the pool.
        :param wanted: number of slots that the peer requests.
        :param kept_slots: number of free slots of the pool that are not lent.
        :param now: seconds.
        :returns: the leases, at most one for each server.
        """
        if now >= self.share_expires_at:
            return []
        idle = [
            (entry.count_free_own_slots(now), entry)
            for entry in self.servers.values()
            if entry.pool == pool and entry.count_free_own_slots(now) > 0
        ]
        remaining = min(wanted, sum(free for free, _ in idle) - kept_slots)
        granted = []
        for free, entry in sorted(idle, key=lambda item: -item[0]):
            if remaining <= 0:
                break
            slots = min(free, remaining)
            lease = SlotLease(
                f"{entry.server}#{next(self._lease_numbers)}",
                peer,
                slots,
                now + self.longest_request_s,
            )
            entry.lent.append(lease)
            granted.append(lease)
            remaining -= slots
        return granted

    def borrow(self, server: str, pool: str, lease: SlotLease) -> None:
        """Add a lease that a peer granted."""
        entry = self.servers.get(server)
        if entry is None:
            entry = self.servers[server] = ServerSlots(server, pool)
        entry.borrowed.append(lease)

    def end_loans(self, peer: str, leases: Iterable[str]) -> None:
        """End loans that a peer returned.

        :param peer: identity of the borrower's incarnation.
        :param leases: ids of the leases.
        """
        names = set(leases)
        for entry in self.servers.values():
            entry.lent = [
                lease
                for lease in entry.lent
                if lease.peer != peer or lease.lease_id not in names
            ]

    def remove_idle_leases(self, idle_s: float, now: float) -> dict[str, list[str]]:
        """Remove borrowed leases that are not in use, for their return to the lenders.

        :param idle_s: seconds without use after which a lease is returned.
        :param now: seconds.
        :returns: ids of the leases by the lender's identity.
        """
        returned: dict[str, list[str]] = {}
        for entry in self.servers.values():
            kept = []
            for lease in entry.borrowed:
                if lease.in_use > 0 or now - lease.idle_since < idle_s:
                    kept.append(lease)
                else:
                    returned.setdefault(lease.peer, []).append(lease.lease_id)
            entry.borrowed = kept
        return returned

    def remove_expired(self, now: float) -> None:
        """Remove expired leases, except borrowed ones with a slot in use."""
        for entry in self.servers.values():
            entry.lent = [lease for lease in entry.lent if lease.expires_at > now]
            entry.borrowed = [
                lease
                for lease in entry.borrowed
                if lease.expires_at > now or lease.in_use > 0
            ]

    def has_outstanding_loans(self, now: float) -> bool:
        """Return whether any slot is lent to a peer."""
        return any(entry.count_lent_slots(now) for entry in self.servers.values())

    def is_overcommitted(self, now: float) -> bool:
        """Return whether more slots of a share are in use or lent than it has."""
        return any(
            entry.own_in_use + entry.count_lent_slots(now) > entry.own_slots
            for entry in self.servers.values()
        )
