"""Divide what a host has for its callers among their requests."""

from damasktally.entry.body_streams import BYTES_PER_MB
from damasktally.entry.settings import LimitsSection
from damasktally.http1.request_memory import RequestMemory

REQUEST_MEMORY_FRACTION = 1 / 8
"""Part of the host's memory that requests take which are received whole."""


def request_memory(limits: LimitsSection) -> RequestMemory:
    """Return the account of the requests of a host with the given limits."""
    memory_bytes = limits.memory_mb * BYTES_PER_MB
    return RequestMemory(int(memory_bytes * REQUEST_MEMORY_FRACTION))
