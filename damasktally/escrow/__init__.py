"""Split each hard limit into shares, so that the parts never exceed the whole.

The scheme is escrow (the demarcation protocol of the literature): a host spends
from its own share without asking anybody, and moves shares to other hosts by loans
that the lender debits first. See ``docs/internals/escrow.md``.
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
