"""Decide which hosts may send a request to which backend server now.

One host keeps this table for the servers whose lease manager it is. A lease stands for
one request that a host sends. A server has room as long as the outstanding leases,
together with the load beyond them that its reports show, are fewer than its slots.
Nothing of the table is stored or replicated: a manager that takes over starts from what
the reports show.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace

from damasktally.decisions.lease_holders import LeaseHolders
from damasktally.decisions.lease_terms import (
    DropCause,
    LeaseDecision,
    LeaseKey,
    LeaseOutcome,
    LeaseTerms,
)
from damasktally.decisions.load import REPORT_LIFETIME_S
from damasktally.decisions.server_slots import MIN_RUN_S, ServerSlots
from damasktally.decisions.wait_queue import WaitingRequest, find_late_requests

MAX_WAITING = 256
"""Requests that wait for one server. Each arrival orders all of them, which takes
several hundred microseconds at this size."""


class ServerLeases:
    """Leases and waiting requests of the servers that one host manages.

    Times called ``now`` are in seconds on one clock.

    :param known_load: returns the outstanding requests at a server, by its id and the
        time, from what is known before the first lease.
    """

    def __init__(self, known_load: Callable[[str, float], float]) -> None:
        self._known_load = known_load
        self._servers: dict[str, ServerSlots] = {}
        self._holders = LeaseHolders()
        self._arrivals = 0

    def drop_cause(self, key: LeaseKey) -> DropCause | None:
        """Return why a request for a lease has to be dropped, or ``None``."""
        return self._holders.drop_cause(key)

    def request(self, terms: LeaseTerms, now: float) -> list[LeaseDecision]:
        """Decide about a request that is not to be dropped.

        A request that was decided before gets the same decision again.

        :returns: decisions about this request and about others that it overtook.
        """
        decisions = self._renew_holder(terms.key, now)
        known = self._known_decision(terms, now)
        if known is not None:
            return [*decisions, known]
        state = self._servers.get(terms.server)
        if state is not None and terms.server_started_ms < state.started_ms:
            # Its host does not know yet that the server started again.
            return [*decisions, self._refuse(terms.key, 0.0)]
        if state is not None and terms.server_started_ms > state.started_ms:
            decisions += self.remove_server(terms.server, now)
            state = None
        if state is None:
            state = self._add_server(terms, now)
        state.slots = max(1, terms.slots)
        decisions += self._expire(state, now) + self._fill(state, now)
        self._holders.record_live(terms.key, terms.server)
        if not state.queue and state.has_room(now):
            state.grant(terms.key, terms.priority, terms.customer, terms.run_s, now)
            return [*decisions, LeaseDecision(terms.key, LeaseOutcome.GRANTED)]
        decisions += self._enqueue(terms, state, now)
        return decisions + self._fill(state, now)

    def end(
        self, key: LeaseKey, now: float, outstanding: int | None = None
    ) -> list[LeaseDecision]:
        """End a lease, or the wait for one, at the request of its host.

        :param outstanding: requests that the server still had by the report that its
            response carried, or ``None`` if there was none.
        :returns: decisions about requests that have room now.
        """
        decisions = self._renew_holder(key, now)
        holder = self._holders.get(key)
        if holder is None:
            return decisions
        _, _, number = key
        server = holder.live.get(number)
        if number not in holder.ended:
            holder.record_end(number, None)
        if server is None:
            return decisions
        state = self._servers[server]
        state.queue.remove(key)
        was_outstanding = state.end(key, now)
        if was_outstanding and outstanding is not None:
            # The lease that ended just now still counts among those of this moment.
            state.record_report(outstanding + 1, now)
        return decisions + self._fill(state, now)

    def record_report(
        self, server: str, started_ms: int, outstanding: int, at: float, now: float
    ) -> list[LeaseDecision]:
        """Record the number of requests that a server had at a time.

        Reports of other servers, of an earlier process or from before the last one are
        ignored.

        :param outstanding: requests that it processes and that wait in its own queue.
        :param at: when the server sent the report.
        """
        state = self._servers.get(server)
        if state is None or started_ms < state.started_ms or at > now:
            return []
        if started_ms > state.started_ms:
            return self.remove_server(server, now)
        state.record_report(outstanding, at)
        return self._fill(state, now)

    def advance(self, now: float) -> list[LeaseDecision]:
        """Take the passage of time into account.

        Leases expire, reports lose their weight, and requests whose latest start has
        passed are refused.
        """
        decisions = []
        for state in self._servers.values():
            decisions += self._expire(state, now)
            for item in state.queue.overdue(now):
                decisions.append(self._refuse_waiting(item, state, 0, now))
            decisions += self._fill(state, now)
        return decisions

    def remove_server(self, server: str, now: float) -> list[LeaseDecision]:
        """End all leases of a server; its waiting requests are refused."""
        state = self._servers.pop(server, None)
        if state is None:
            return []
        decisions = [self._refuse(item.key, 0.0) for item in state.queue.waiting()]
        for key in state.leases:
            self._holders.record_end(key, None)
        return decisions

    def remove_unused(self, now: float) -> None:
        """Remove servers without a lease and hosts that sent nothing for long."""
        for server, state in list(self._servers.items()):
            is_report_old = now - state.reported_at > REPORT_LIFETIME_S
            if not state.leases and not state.queue and is_report_old:
                del self._servers[server]
        self._holders.remove_silent(now)

    def servers(self) -> list[str]:
        """Return the ids of the servers in the table."""
        return list(self._servers)

    def started_ms(self, server: str) -> int:
        """Return the start of the process of a server in the table."""
        return self._servers[server].started_ms

    def leased_count(self, server: str) -> int:
        """Return the number of outstanding leases of a server."""
        state = self._servers.get(server)
        return len(state.leases) if state is not None else 0

    def waiting_keys(self, servers: Iterable[str]) -> list[LeaseKey]:
        """Return the requests that wait for some servers in the table."""
        return [
            item.key
            for server in servers
            for item in self._servers[server].queue.waiting()
        ]

    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return any(state.queue for state in self._servers.values())

    def waiting_by_priority(self) -> Counter[int]:
        """Return how many requests of each priority wait."""
        return Counter(
            item.priority
            for state in self._servers.values()
            for item in state.queue.waiting()
        )

    def _renew_holder(self, key: LeaseKey, now: float) -> list[LeaseDecision]:
        """Record a host's message; a new process ends the leases of the last one."""
        earlier = self._holders.renew(key, now)
        if earlier is None:
            return []
        host, _, _ = key
        for number, server in earlier.live.items():
            state = self._servers[server]
            old_key = (host, earlier.started_ms, number)
            state.queue.remove(old_key)
            state.end(old_key, now)
        decisions = []
        for server in set(earlier.live.values()):
            decisions += self._fill(self._servers[server], now)
        return decisions

    def _known_decision(self, terms: LeaseTerms, now: float) -> LeaseDecision | None:
        """Return the decision about a request that is repeated, or ``None``."""
        _, _, number = terms.key
        holder = self._holders.get(terms.key)
        refusal = holder.ended.get(number)
        if refusal is not None:
            return refusal
        server = holder.live.get(number)
        if server is None:
            return None
        state = self._servers[server]
        item = state.queue.get(terms.key)
        if item is None:
            return LeaseDecision(terms.key, LeaseOutcome.GRANTED)
        position = state.queue.ordered(state.in_progress).index(item)
        wait_s = state.expected_wait_s(position, item.priority, now)
        return LeaseDecision(terms.key, LeaseOutcome.QUEUED, wait_s, item.ahead)

    def _add_server(self, terms: LeaseTerms, now: float) -> ServerSlots:
        run_s = max(MIN_RUN_S, terms.run_s)
        state = ServerSlots(terms.server_started_ms, max(1, terms.slots), run_s)
        state.record_report(round(self._known_load(terms.server, now)), now)
        self._servers[terms.server] = state
        return state

    def _enqueue(
        self, terms: LeaseTerms, state: ServerSlots, now: float
    ) -> list[LeaseDecision]:
        """Queue a request, or refuse it if it will not get room in time.

        Requests that it overtakes and that will get no room in time are refused, too.
        """
        self._arrivals += 1
        start_by = now + terms.wait_s
        item = WaitingRequest(
            terms.key,
            terms.priority,
            terms.customer,
            terms.run_s,
            now,
            start_by,
            self._arrivals,
        )
        state.queue.add(item)
        ordered = state.queue.ordered(state.in_progress)
        position = ordered.index(item)
        wait_s = state.expected_wait_s(position, item.priority, now)
        if wait_s > terms.wait_s or position >= MAX_WAITING:
            return [self._refuse_waiting(item, state, position, now)]
        state.queue.add(replace(item, ahead=position))
        decisions = [LeaseDecision(terms.key, LeaseOutcome.QUEUED, wait_s, position)]
        overtaken = find_late_requests(
            ordered,
            position + 1,
            lambda index, priority: state.expected_wait_s(index, priority, now),
            now,
        )
        overtaken = overtaken or ordered[MAX_WAITING:]
        for late in overtaken:
            index = ordered.index(late)
            decisions.append(self._refuse_waiting(late, state, index, now))
        return decisions

    def _fill(self, state: ServerSlots, now: float) -> list[LeaseDecision]:
        """Grant leases to waiting requests as long as there is room."""
        decisions = []
        while state.queue and state.has_room(now):
            item = state.queue.ordered(state.in_progress)[0]
            if item.start_by < now:
                decisions.append(self._refuse_waiting(item, state, 0, now))
                continue
            state.queue.remove(item.key)
            state.grant(item.key, item.priority, item.customer, item.run_s, now)
            waited_s = now - item.queued_at
            decisions.append(
                LeaseDecision(item.key, LeaseOutcome.GRANTED, waited_s, item.ahead)
            )
        return decisions

    def _expire(self, state: ServerSlots, now: float) -> list[LeaseDecision]:
        """End the leases whose end was not reported in time."""
        expired = state.expired(now)
        for key in expired:
            state.end(key, now)
            self._holders.record_end(key, None)
        return self._fill(state, now) if expired else []

    def _refuse_waiting(
        self, item: WaitingRequest, state: ServerSlots, position: int, now: float
    ) -> LeaseDecision:
        state.queue.remove(item.key)
        wait_s = state.expected_wait_s(position, item.priority, now)
        return self._refuse(item.key, wait_s, item.ahead)

    def _refuse(self, key: LeaseKey, wait_s: float, ahead: int = 0) -> LeaseDecision:
        decision = LeaseDecision(key, LeaseOutcome.REFUSED, wait_s, ahead)
        self._holders.record_end(key, decision)
        return decision
