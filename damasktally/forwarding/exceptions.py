"""Name how sending a request to a backend server can end badly."""

from damasktally.errors import DamasktallyError


class UpstreamError(DamasktallyError):
    """Stand for a failure between this host and a backend server."""


class NotSent(UpstreamError):
    """Tell that no byte of the request left for the server."""


class AnswerLost(UpstreamError):
    """Tell that the request may have run, but its answer is lost or broken."""


class AnswerLate(UpstreamError):
    """Tell that the deadline passed before the answer came."""


class CallerGone(UpstreamError):
    """Tell that the caller closed its connection."""


class LinkBusy(UpstreamError):
    """Tell that a link had no room before the deadline."""
