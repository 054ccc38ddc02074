"""Health probes of the backend servers whose slots this host owns."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from damasktally.events import emit
from damasktally.events.catalogue import SERVER_EJECTED
from damasktally.forwarding.attempt import LOAD_HEADER
from damasktally.host.actor import HostActor
from damasktally.http1.limited_client import fetch, make_pool_manager
from damasktally.resources.kinds import Pool
from damasktally.resources.view import View
from damasktally.steering.dispatcher import Dispatcher

PROBE_TIMEOUT_S = 1.0
"""Timeout of one probe, in seconds."""
MAX_SERVERS_PER_ROUND = 32
"""Servers probed in one round; the next round continues with those after them."""


@dataclass(frozen=True, slots=True)
class ProbeTick:
    """Timer message that triggers a round of probes."""


class Prober(HostActor):
    """Actor that probes servers for their load, each over a new connection.

    A successful probe does not clear the failures of requests: a health page may
    report success while requests fail.

    :param dispatcher: holds the slots and the health of the servers.
    :param view: returns the view in force.
    """

    def __init__(self, dispatcher: Dispatcher, view: Callable[[], View]) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._view = view
        self._next_index = 0
        self._http = make_pool_manager(
            retries=False, timeout=Timeout(PROBE_TIMEOUT_S), maxsize=1
        )

    def handle(self, message: object) -> None:
        """Probe the servers of one round."""
        with self._dispatcher.lock:
            owned = sorted(
                name
                for name, entry in self._dispatcher.slots.servers.items()
                if entry.own_slots > 0
            )
        for name in owned[self._next_index : self._next_index + MAX_SERVERS_PER_ROUND]:
            self._probe(name)
        self._next_index += MAX_SERVERS_PER_ROUND
        if self._next_index >= len(owned):
            self._next_index = 0

    def _probe(self, name: str) -> None:
        view = self._view()
        server = view.servers.get(name)
        if server is None or name in view.drained_servers:
            return
        path = view.pools.get(server.pool, Pool()).probe_path
        headers = {"Connection": "close"}
        try:
            response = fetch(
                self._http,
                "GET",
                f"http://{server.address}{path}",
                monotonic() + PROBE_TIMEOUT_S,
                monotonic,
                headers=headers,
            )
        except HTTPError:
            if self._dispatcher.record_failure(server.pool, name):
                emit(SERVER_EJECTED, server=name)
            return
        load = _parse_load(response.headers.get(LOAD_HEADER))
        if load is not None:
            with self._dispatcher.lock:
                self._dispatcher.health.record_load(name, load)


def _parse_load(text: str | None) -> float | None:
    try:
        load = float(text) if text is not None else None
    except ValueError:
        return None
    return load if load is not None and 0 <= load <= 1 else None
