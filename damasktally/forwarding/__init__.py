"""Carry requests to backend servers and answers back, each at most once."""

from damasktally.forwarding.caller_port import CallerPort, CallerPortHooks
from damasktally.forwarding.forwarder import Forwarder
from damasktally.forwarding.refusals import REASONS, Outcome, Reason, Refusal

__all__ = [
    "REASONS",
    "CallerPort",
    "CallerPortHooks",
    "Forwarder",
    "Outcome",
    "Reason",
    "Refusal",
]
