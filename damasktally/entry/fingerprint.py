"""Identify requests that are the same to a server, whatever their ids."""

from hashlib import blake2b

from damasktally.fleet.model import Customer
from damasktally.http1.messages import Request

FINGERPRINT_BYTES = 8
SEPARATOR = b"\0"
"""Cannot occur in a method, a target or a header."""


def fingerprint_of(req: Request, customer: Customer | None) -> str:
    """Return a hash of what a server gets: method, host, target, customer and body.

    The length stands for a body that is forwarded as it arrives.

    :param customer: the caller's customer, or None if the route needs no key.
    """
    name = customer.name.encode() if customer is not None else b""
    head = (req.method, req.header(b"host") or b"", req.target, name)
    digest = blake2b(SEPARATOR.join(head), digest_size=FINGERPRINT_BYTES)
    body = req.body if req.upload is None else str(req.upload.length).encode()
    digest.update(SEPARATOR + body)
    return digest.hexdigest()
