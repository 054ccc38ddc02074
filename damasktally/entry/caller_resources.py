"""Divide the memory and the descriptors of a host among its callers."""

from dataclasses import dataclass
from resource import RLIMIT_NOFILE, getrlimit

from damasktally.entry.body_streams import BYTES_PER_MB
from damasktally.entry.settings import LimitsSection
from damasktally.http1.open_connections import OpenConnections
from damasktally.http1.request_memory import RequestMemory

REQUEST_MEMORY_FRACTION = 1 / 8
"""Part of the host's memory that requests take which are received whole."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files, the store, peers, and connections that are being closed."""
MAX_RESERVED_FRACTION = 1 / 4
"""Part of all descriptors that are reserved at most."""
CALLERS_FRACTION = 0.5
"""Part of the other descriptors for callers' requests. What is left beside all ports is
for connections to servers, which are fewer, as the servers have few slots."""
FORWARDING_FRACTION = 0.08
DIRECTORY_FRACTION = 0.08
OPERATORS_FRACTION = 0.02
"""Part for each of readiness, metrics and state transfer."""


@dataclass(frozen=True, slots=True)
class CallerResources:
    """What a host has for its callers, and for those who connect to its other ports.

    :param memory: bounds the memory of requests.
    :param descriptors: descriptors that connections may use.
    """

    memory: RequestMemory
    descriptors: int

    @classmethod
    def from_config(cls, limits: LimitsSection) -> "CallerResources":
        """Return the resources of a host with the given limits.

        The number of descriptors is the lower one of the settings and the process.
        """
        memory_bytes = limits.memory_mb * BYTES_PER_MB
        max_descriptors, _ = getrlimit(RLIMIT_NOFILE)
        if limits.max_descriptors:
            max_descriptors = min(max_descriptors, limits.max_descriptors)
        reserved = min(RESERVED_DESCRIPTORS, max_descriptors * MAX_RESERVED_FRACTION)
        return cls(
            RequestMemory(int(memory_bytes * REQUEST_MEMORY_FRACTION)),
            int(max_descriptors - reserved),
        )

    def connections(self, fraction: float) -> OpenConnections:
        """Return the connections of a port that may use a part of the descriptors."""
        return OpenConnections(max(1, int(self.descriptors * fraction)))
