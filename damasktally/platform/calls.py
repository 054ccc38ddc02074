"""Answer the platform's own calls: look-ups of hosts and questions of readiness."""

from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from damasktally.http1.messages import Request, Response

JSON_HEADERS = [(b"content-type", b"application/json")]
LOOKUP_PATH = "/resolve"
READINESS_PATH = "/readyz"


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Hold what a caller asks.

    :param host_name: the host name that it wants to reach.
    """

    host_name: str
    region: str
    data_centre: str


class WireLookup(msgspec.Struct):
    """The answer to a look-up; ``Ttl`` is how long it may be kept."""

    Addrs: list[str]
    Ttl: str


def parse_lookup_request(req: Request) -> LookupRequest | None:
    """Return the question of a look-up, or nothing if the request is none."""
    url = urlsplit(req.target.decode("latin-1"))
    if url.path != LOOKUP_PATH:
        return None
    query = parse_qs(url.query)

    def first(name: str) -> str:
        return query.get(name, [""])[0]

    return LookupRequest(first("Name"), first("Region"), first("Zone"))


def encode_lookup_response(addresses: list[str], ttl_s: float) -> Response:
    """Return the answer to a look-up."""
    wire = WireLookup(Addrs=addresses, Ttl=f"{int(ttl_s * 1000)}ms")
    return Response(200, list(JSON_HEADERS), msgspec.json.encode(wire))


def is_readiness_request(req: Request) -> bool:
    """Tell whether a request asks if this host is ready."""
    return req.target.partition(b"?")[0] == READINESS_PATH.encode()
