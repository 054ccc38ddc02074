"""Hold requests and answers, and write them as bytes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Names in lower case, and values."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection, or that are written anew for each."""

BODYLESS_STATUSES = frozenset({204, 304})
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """Hold a caller's request, read whole.

    :param target: path and query as the caller sent them.
    :param began: when its first byte arrived, in seconds of the loop's clock.
    :param complete: when its last byte arrived.
    :param on_gone: called when the caller leaves before the answer.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    first_byte_at: float
    last_byte_at: float
    keep_alive: bool
    on_disconnect: Callable[[], None] | None = None
    is_disconnected: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a name."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """Hold a whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a name."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of a name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Return the headers that are passed on.

    :param dropped: names that are left out besides those of one connection.
    """
    connection_options: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP_HEADERS
        and key not in excluded
        and key not in connection_options
    ]


def encode_request(
    method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Return the bytes of a request, its length included."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [key + b": " + value for key, value in headers]
    if body or method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(response: Response, close: bool, head_only: bool) -> bytes:
    """Return the bytes of an answer, its length included.

    :param close: tell the peer that the connection ends after this answer.
    :param head_only: leave the body out, as for a HEAD request.
    """
    reason = REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [key + b": " + value for key, value in response.headers]
    if response.status not in BODYLESS_STATUSES:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    body = b"" if head_only else response.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
