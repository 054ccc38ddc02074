"""Split each fleet-wide limit into shares of the hosts that never exceed it in sum.

The scheme is known as escrow or the demarcation protocol: a host admits work against
its own share without coordination, and shares move to other hosts as loans that the
lender debits before the borrower can use them. See ``docs/internals/escrow.md``.
"""

from damasktally.escrow.generations import GenerationWindow
from damasktally.escrow.shares import RosterView, connection_share, slot_count
from damasktally.escrow.token_bucket import Lease, TokenBucket

__all__ = [
    "TokenBucket",
    "GenerationWindow",
    "Lease",
    "RosterView",
    "connection_share",
    "slot_count",
]
