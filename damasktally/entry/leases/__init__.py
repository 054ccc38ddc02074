"""Leases: permissions to send a request to a contended server now.

For each backend server, one host of its data centre, the lease manager, decides which
requests are sent, which wait and which are refused. ``docs/design/leases.md`` describes
the messages and what happens when parts fail.
"""

from damasktally.entry.leases.client import (
    Lease,
    LeaseClient,
    LeaseNeed,
    LeaseResult,
)
from damasktally.entry.leases.gate import NO_LEASE_NEEDED, LeaseGate, Permit
from damasktally.entry.leases.host_leases import HostLeases
from damasktally.entry.leases.manager import LeaseManager

__all__ = [
    "NO_LEASE_NEEDED",
    "HostLeases",
    "Lease",
    "LeaseClient",
    "LeaseGate",
    "LeaseManager",
    "LeaseNeed",
    "LeaseResult",
    "Permit",
]
