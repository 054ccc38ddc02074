"""Select entry hosts for a caller, and a backend server for a request."""

from damasktally.steering.candidate_selection import Candidate, select_candidate
from damasktally.steering.dispatcher import Dispatcher, NoSlot, Waiter
from damasktally.steering.health import HealthTable
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts
from damasktally.steering.pacer import DirectedLink, Pacer

__all__ = [
    "Candidate",
    "ClientTable",
    "DirectedLink",
    "Dispatcher",
    "EntryHost",
    "HealthTable",
    "NoSlot",
    "Pacer",
    "Waiter",
    "rank_hosts",
    "select_candidate",
]
