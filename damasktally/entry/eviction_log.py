"""Report the connections and requests of callers that gave way to others."""

from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.ports import HostPorts
from damasktally.events import emit
from damasktally.events.catalogue import CALLERS_EVICTED
from damasktally.http1.request_memory import RequestMemory


class EvictionLog:
    """Log how many gave way since the last call, in one line however many they are.

    :param ports: the ports whose connections are limited.
    :param memory: the requests whose memory is limited.
    """

    def __init__(
        self, ports: HostPorts, memory: RequestMemory, metrics: EntryMetrics
    ) -> None:
        self._ports = ports
        self._memory = memory
        self._metrics = metrics
        self._logged_connections = 0
        self._logged_requests = 0

    def log_changes(self) -> None:
        """Log what was not logged yet, and update the metrics."""
        connections = self._ports.evicted_connection_count
        requests = self._memory.evicted_count
        new_connections = connections - self._logged_connections
        new_requests = requests - self._logged_requests
        if new_connections or new_requests:
            emit(CALLERS_EVICTED, connections=new_connections, requests=new_requests)
        self._logged_connections, self._logged_requests = connections, requests
        self._metrics.evicted_connections.set(connections)
        self._metrics.evicted_requests.set(requests)
        self._metrics.open_connections.set(self._ports.connection_count)
