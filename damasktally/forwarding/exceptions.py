"""Define the errors of sending a request to a backend server.

The class names of these errors are outcomes in metrics and ``damasktally explain``, as
an error after the head of the response was forwarded has no reason code.
"""

from damasktally.errors import DamasktallyError


class UpstreamError(DamasktallyError):
    """Base class of failures between this host and a backend server."""


class NotSent(UpstreamError):
    """No byte of the request was sent to the server."""


class AnswerLost(UpstreamError):
    """The request may have run, but its response was lost or is malformed."""


class AnswerLate(UpstreamError):
    """The deadline passed before the response was complete."""


class CallerGone(UpstreamError):
    """The caller closed its connection."""


class LinkBusy(UpstreamError):
    """A link between regions had no capacity left before the deadline."""
