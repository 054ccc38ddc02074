"""Decide, as the lease manager of some servers, about the requests of all hosts."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable

from damasktally.decisions.lease_terms import (
    DropCause,
    LeaseDecision,
    LeaseKey,
    LeaseOutcome,
)
from damasktally.decisions.server_leases import ServerLeases
from damasktally.entry.leases.manager_selection import LeaseManagerSelector
from damasktally.entry.leases.messages import (
    LeaseEnd,
    LeaseReply,
    LeaseRequest,
    to_milliseconds,
)
from damasktally.entry.metrics import EntryMetrics
from damasktally.fleet.model import Member, Server
from damasktally.fleet.view import FleetView

CHECK_INTERVAL_S = 0.02
"""Interval at which waiting requests are checked, as long as there are any."""
NOT_FOR_THIS_MANAGER = "not-manager"
"""Label of the metric of dropped messages."""

Reply = Callable[[LeaseReply], None]
"""Sends a reply to the host that asked."""


class LeaseManager:
    """Keep the leases of the servers whose manager this host is.

    :param own: this host.
    :param managers: tells of which servers it is the manager.
    :param view: tells which servers leave.
    :param known_load: returns the outstanding requests at a server, by its id and the
        time, as this host estimates them.
    """

    def __init__(
        self,
        own: Member,
        managers: LeaseManagerSelector,
        view: FleetView,
        known_load: Callable[[str, float], float],
        metrics: EntryMetrics,
    ) -> None:
        self._own = own
        self._managers = managers
        self._view = view
        self._leases = ServerLeases(known_load)
        self._metrics = metrics
        self._loop = get_running_loop()
        self._replies: dict[LeaseKey, Reply] = {}
        self._registered: set[str] = set()
        self._check_timer: TimerHandle | None = None

    def handle_request(self, message: LeaseRequest, reply: Reply) -> None:
        """Decide about a request, and reply unless it has to be dropped."""
        now = self._loop.time()
        if not self._is_manager_of(message.server, now):
            self._count_dropped(NOT_FOR_THIS_MANAGER)
            reply(LeaseReply(message.number, LeaseOutcome.NOT_MANAGER, 0))
            return
        cause = self._leases.drop_cause(message.key)
        if cause is not None:
            self._count_dropped(cause.value)
            return
        if self._is_leaving(message.server, message.server_started_ms):
            reply(LeaseReply(message.number, LeaseOutcome.REFUSED, 0))
            return
        self._replies[message.key] = reply
        self._deliver(self._leases.request(message.terms(), now))
        self._schedule_check()

    def handle_end(self, message: LeaseEnd) -> None:
        """End a lease or a wait."""
        if self._leases.drop_cause(message.key) is DropCause.OLD_START:
            self._count_dropped(DropCause.OLD_START.value)
            return
        self._replies.pop(message.key, None)
        now = self._loop.time()
        self._deliver(self._leases.end(message.key, now, message.outstanding))

    def record_report(
        self, server: Server, running: int, waiting: int, age_s: float = 0.0
    ) -> None:
        """Record the load that a server reported to this or another host.

        :param age_s: seconds since the server sent it.
        """
        now = self._loop.time()
        self._deliver(
            self._leases.record_report(
                server.id, server.started_ms, running + waiting, now - age_s, now
            )
        )

    def run_maintenance(self) -> None:
        """Do the work that can wait for a second."""
        now = self._loop.time()
        self._deliver(self._leases.advance(now))
        self._leases.remove_unused(now)
        servers = self._leases.servers()
        self._registered.intersection_update(servers)
        waiting = set(self._leases.waiting_keys(servers))
        self._replies = {
            key: reply for key, reply in self._replies.items() if key in waiting
        }
        self._metrics.set_waiting(self._leases.waiting_by_priority())

    def close(self) -> None:
        """Tell the hosts that wait that this one decides nothing any more."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        for server in self._leases.servers():
            self._hand_over(server, self._loop.time())

    def _check(self) -> None:
        """Check all servers while requests wait for them.

        Servers that this host no longer manages are handed over, requests that wait for
        a server that leaves are refused, and leases and waits that are over end.
        """
        self._check_timer = None
        now = self._loop.time()
        for server in self._leases.servers():
            if not self._is_manager_of(server, now):
                self._hand_over(server, now)
            elif self._is_leaving(server, self._leases.started_ms(server)):
                self._deliver(self._leases.remove_server(server, now))
        self._deliver(self._leases.advance(now))
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check_timer is None and self._leases.has_waiting():
            self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _hand_over(self, server: str, now: float) -> None:
        """Forget a server; the hosts that wait for it have to ask another manager."""
        for decision in self._leases.remove_server(server, now):
            reply = self._replies.pop(decision.key, None)
            if reply is not None:
                reply(LeaseReply(decision.key[2], LeaseOutcome.NOT_MANAGER, 0))

    def _is_manager_of(self, server: str, now: float) -> bool:
        record = self._view.servers.get(server)
        data_centre = record.server.data_centre if record else self._own.data_centre
        return self._managers.is_own(server, data_centre, now)

    def _is_leaving(self, server: str, started_ms: int) -> bool:
        """Return whether a process of a server drains, leaves or was replaced.

        A server that this host has never seen may have registered just now.
        """
        record = self._view.servers.get(server)
        if record is None:
            return server in self._registered
        self._registered.add(server)
        known = record.server
        if known.started_ms != started_ms:
            return known.started_ms > started_ms
        return known.is_draining or self._view.servers.is_leaving(known)

    def _deliver(self, decisions: list[LeaseDecision]) -> None:
        for decision in decisions:
            reply = self._replies.get(decision.key)
            if decision.outcome is not LeaseOutcome.QUEUED:
                self._replies.pop(decision.key, None)
            if reply is not None:
                reply(
                    LeaseReply(
                        decision.key[2],
                        decision.outcome,
                        to_milliseconds(decision.wait_s),
                        decision.ahead,
                    )
                )

    def _count_dropped(self, cause: str) -> None:
        self._metrics.lease_messages_dropped.labels(cause).inc()
