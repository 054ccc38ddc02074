"""Forward callers' requests to backend servers, and their responses to the callers.

The port that callers connect to, the choice between retrying and refusing a request,
and the connections to backend servers are here. A request that may have run is sent
again only if it is idempotent.
"""

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
