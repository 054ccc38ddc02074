"""HTTP/1.1 requests and responses, and their encoding."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Pairs of a header's name, in lower case, and its value."""

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
"""Headers that apply to one connection only, or that are generated for each."""

BODYLESS_STATUSES = frozenset({204, 304})
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A caller's complete request.

    :param target: path and query as the caller sent them.
    :param first_byte_at: when the first byte arrived, in seconds on the event loop's
        clock.
    :param last_byte_at: when the last byte arrived, on the same clock.
    :param keep_alive: whether the caller allows more requests on the connection.
    :param on_disconnect: called if the caller disconnects before the response.
    :param is_disconnected: whether the caller disconnected before the response.
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
        """Return the value of the first header with a lower-case name."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or ``None``.

    :param name: in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Return the headers that a proxy forwards.

    Hop-by-hop headers are left out, as well as those that the ``Connection`` header
    lists.

    :param excluded: further names to leave out, in lower case.
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
    """Encode a request, with its ``Content-Length``."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [key + b": " + value for key, value in headers]
    if body or method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(response: Response, close: bool, head_only: bool) -> bytes:
    """Encode a response, with its ``Content-Length``.

    :param close: whether to announce that the connection is closed afterwards.
    :param head_only: whether to leave the body out, as for a HEAD request.
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
