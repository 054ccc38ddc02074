"""Decide who is a member of the fleet, and whether this host still is one."""

from damasktally.membership.confirmation import Confirmation, Vouching
from damasktally.membership.roster import joined, roster_view, settled, without

__all__ = [
    "Confirmation",
    "Vouching",
    "joined",
    "roster_view",
    "settled",
    "without",
]
