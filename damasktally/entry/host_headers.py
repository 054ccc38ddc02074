"""Headers that hosts add when one forwards a caller's request to another.

They never reach servers or callers. Only the port for other hosts heeds them, so that a
caller cannot use them to avoid its rate limit.
"""

from dataclasses import dataclass

from damasktally.http1.messages import Headers, Request

FORWARDED_BY = b"damasktally-forwarded-by"
"""Name of the host that forwarded the request."""
SERVICE = b"damasktally-service"
"""Service that the forwarding host picked among those of the route."""
ATTEMPTS_LEFT = b"damasktally-attempts-left"
"""Number of servers to which the receiver may send the request."""
CONFIGURATION = b"damasktally-configuration"
"""Version of the configuration by which the request was admitted."""
REFUSAL = b"damasktally-refusal"
"""In responses: reason word of a refusal by the host that received the request."""

HOST_HEADERS = frozenset({FORWARDED_BY, SERVICE, ATTEMPTS_LEFT, CONFIGURATION, REFUSAL})


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What a host says of a request that it forwards.

    :param host: name of the forwarding host.
    :param service: the service that it picked.
    :param attempts_left: number of servers to which the request may still be sent.
    :param configuration: version of the configuration by which it was admitted.
    """

    host: str
    service: str
    attempts_left: int
    configuration: int

    def encode(self) -> Headers:
        """Return the headers of the request."""
        return [
            (FORWARDED_BY, self.host.encode()),
            (SERVICE, self.service.encode()),
            (ATTEMPTS_LEFT, b"%d" % self.attempts_left),
            (CONFIGURATION, b"%d" % self.configuration),
        ]

    @classmethod
    def decode(cls, req: Request) -> "ForwardedRequest | None":
        """Return what the headers of a request say, or None if they are incomplete."""
        host, service = req.header(FORWARDED_BY), req.header(SERVICE)
        left, version = req.header(ATTEMPTS_LEFT), req.header(CONFIGURATION)
        if None in (host, service, left, version):
            return None
        if not (left.isdigit() and version.isdigit()):
            return None
        return cls(host.decode(), service.decode(), int(left), int(version))
