"""Choose: entry hosts for a caller, and a backend server for a request."""

from damasktally.steering.choose import Candidate, choose
from damasktally.steering.dispatcher import Dispatcher, NoSlot, Waiter
from damasktally.steering.health import HealthTable
from damasktally.steering.lookup import ClientTable, EntryHost, rank_hosts
from damasktally.steering.pacer import Crossing, Pacer

__all__ = [
    "Candidate",
    "ClientTable",
    "Crossing",
    "Dispatcher",
    "EntryHost",
    "HealthTable",
    "NoSlot",
    "Pacer",
    "Waiter",
    "choose",
    "rank_hosts",
]
