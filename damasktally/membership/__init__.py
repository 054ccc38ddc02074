"""Decide which hosts are members of the fleet, and whether this host still is one."""

from damasktally.membership.confirmation import MembershipConfirmation, MembershipVoter
from damasktally.membership.roster import (
    add_member,
    prune_history,
    remove_members,
    roster_view,
)

__all__ = [
    "MembershipConfirmation",
    "MembershipVoter",
    "add_member",
    "prune_history",
    "remove_members",
    "roster_view",
]
