"""Look-ups, which return the entry hosts that a caller should use."""

from collections.abc import Callable
from dataclasses import dataclass, field
from json import dumps
from math import inf

from damasktally.admission import hash_secret
from damasktally.clock import Clock
from damasktally.forwarding.attempt import CallerRequest
from damasktally.host.fleet import FleetState
from damasktally.membership.freshness import Freshness
from damasktally.peers.peer_pb2 import Endpoint
from damasktally.resources.view import View
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts

ENTRY_HOSTS_CACHE_S = 0.1
"""Seconds for which the list of available hosts is cached between look-ups."""


@dataclass
class LookupHandler:
    """Handler of look-ups, which return a ranked list of entry hosts.

    :param clock: monotonic time in seconds.
    :param view: returns the view in force.
    :param make_endpoint: returns this host's own addresses and state.
    :param count_lookup: increments the look-up metric.
    """

    clock: Clock
    view: Callable[[], View]
    fleet: FleetState
    freshness: Freshness
    make_endpoint: Callable[[], Endpoint]
    count_lookup: Callable[[], None]
    _cached_entry_hosts: tuple[float, list[EntryHost]] = field(
        default_factory=lambda: (-inf, [])
    )
    _cached_client_table: tuple[View | None, ClientTable] = field(
        default_factory=lambda: (None, ClientTable(()))
    )

    def entry_hosts(self) -> list[EntryHost]:
        """Return the hosts that a look-up may return.

        The list is at most ``ENTRY_HOSTS_CACHE_S`` old.
        """
        found_at, hosts = self._cached_entry_hosts
        now = self.clock()
        if now - found_at > ENTRY_HOSTS_CACHE_S:
            hosts = self._find_entry_hosts()
            self._cached_entry_hosts = (now, hosts)
        return hosts

    def _find_entry_hosts(self) -> list[EntryHost]:
        drained = self.view().drained_hosts
        with self.fleet.lock:
            endpoints = [*self.fleet.live_endpoints(), self.make_endpoint()]
        return [
            EntryHost(e.host, e.caller, e.region, e.data_centre, e.headroom)
            for e in endpoints
            if e.serving and not e.leaving and e.host not in drained
        ]

    def handle_lookup(self, req: CallerRequest) -> tuple[bytes, int]:
        """Return the entry hosts for a caller, the best one first.

        They are ranked for the region, data centre and customer of the caller.

        :returns: the body in JSON, and its lifetime in seconds.
        """
        self.count_lookup()
        view = self.view()
        centre = self._client_table(view).find(_client_address(req))
        region = view.data_centres[centre].region if centre else ""
        policy = view.policy("default")
        latency = view.regions[region].latency_ms if region in view.regions else {}
        key = view.keys_by_digest.get(hash_secret(req.secret)) if req.secret else None
        customer = key.customer if key is not None and not key.withdrawn else ""
        hosts = rank_hosts(
            self.entry_hosts(), region, centre or "", customer, latency, policy
        )
        body = {
            "hosts": [
                {"host": h.host, "address": h.address, "region": h.region}
                for h in hosts
            ],
            "lifetime_s": policy.lookup_lifetime_s,
            "isolation": self.freshness.isolation().value,
        }
        return dumps(body).encode(), policy.lookup_lifetime_s

    def find_region(self, address: str) -> str:
        """Return the region of a client address, or an empty string."""
        view = self.view()
        centre = self._client_table(view).find(address)
        return view.data_centres[centre].region if centre else ""

    def _client_table(self, view: View) -> ClientTable:
        table_view, table = self._cached_client_table
        if table_view is not view:
            if table_view is None or table_view.data_centres != view.data_centres:
                table = ClientTable.from_data_centres(view.data_centres)
            self._cached_client_table = (view, table)
        return table


def _client_address(req: CallerRequest) -> str:
    """Return the ``client`` parameter of the query, else the caller's address."""
    _, _, query = req.target.partition("?")
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "client" and value:
            return value
    try:
        return req.sock.getpeername()[0] if req.sock is not None else ""
    except OSError:
        return ""
