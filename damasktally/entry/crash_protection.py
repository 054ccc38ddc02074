"""Assemble the parts of a host that protect servers from requests that end them."""

from random import Random

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import LinkBreaks
from damasktally.decisions.lost_responses import LostResponses, ServerStates
from damasktally.entry.blocked_requests import BlockedRequests
from damasktally.entry.crash_guard import CrashGuard
from damasktally.entry.crash_reports import CrashReports
from damasktally.platform.store import StoreClient


class CrashProtection:
    """Suspects, reports and blocked requests of one host.

    :param own_host: name of this host.
    :param store: holds the blocked requests.
    :param servers: tells what became of servers.
    """

    def __init__(
        self,
        own_host: str,
        store: StoreClient,
        servers: ServerStates,
        rng: Random,
    ) -> None:
        self.suspects = CrashSuspects(own_host)
        self.link_breaks = LinkBreaks()
        losses = LostResponses(self.suspects, self.link_breaks, servers)
        self.reports = CrashReports(self.suspects, losses)
        self.guard = CrashGuard(self.reports)
        self.blocked_requests = BlockedRequests(store, self.reports, rng)
        self.reports.on_blocked = self.blocked_requests.save
        self.reports.on_unblocked = self.blocked_requests.remove
