"""Parsers and encoders for the platform's own requests: look-ups and readiness."""

from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from damasktally.http1.messages import Request, Response

JSON_HEADERS = [(b"content-type", b"application/json")]
LOOKUP_PATH = "/resolve"
READINESS_PATH = "/readyz"


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Look-up of the entry hosts that a caller should connect to.

    :param host_name: the host name of the requests that it is going to send.
    :param region: the caller's region.
    :param data_centre: the caller's data centre.
    """

    host_name: str
    region: str
    data_centre: str


class WireLookup(msgspec.Struct):
    """Response to a look-up; ``Ttl`` is how long callers may cache it."""

    Addrs: list[str]
    Ttl: str


def parse_lookup_request(req: Request) -> LookupRequest | None:
    """Parse a look-up; return None if the request is not a look-up."""
    url = urlsplit(req.target.decode("latin-1"))
    if url.path != LOOKUP_PATH:
        return None
    query = parse_qs(url.query)

    def first(name: str) -> str:
        return query.get(name, [""])[0]

    return LookupRequest(first("Name"), first("Region"), first("Zone"))


def encode_lookup_response(addresses: list[str], ttl_s: float) -> Response:
    """Encode the response to a look-up.

    :param addresses: where callers may connect, each as ``host:port``.
    :param ttl_s: how long callers may cache the response, in seconds.
    """
    wire = WireLookup(Addrs=addresses, Ttl=f"{int(ttl_s * 1000)}ms")
    return Response(200, list(JSON_HEADERS), msgspec.json.encode(wire))


def is_readiness_request(req: Request) -> bool:
    """Return whether a request is a readiness check of this host."""
    return req.target.partition(b"?")[0] == READINESS_PATH.encode()
