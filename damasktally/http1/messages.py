"""HTTP/1.1 requests and responses, and their encoding."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damasktally.http1.request_body import RequestBody
    from damasktally.http1.response_stream import ResponseStream

Headers = list[tuple[bytes, bytes]]
"""Pairs of a header's name, in lower case, and its value."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
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

StreamBeginner = Callable[["Request", "Response", int | None], "ResponseStream | None"]
"""Begins a response whose body is forwarded as it arrives, given the request, the head
of the response and the length of its body, if that is known. Returns ``None`` if the
caller has left."""

LAST_CHUNK = b"0\r\n\r\n"
"""Says that a body in chunks is complete."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
VALID_STATUSES = range(100, 600)
"""Statuses that a response can have (RFC 9110, 15); another one is none."""
BODYLESS_STATUSES = frozenset({204, 304})
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A caller's complete request, or the head of one with a large body.

    :param target: path and query as the caller sent them.
    :param first_byte_at: when the first byte arrived, in seconds on the event loop's
        clock.
    :param last_byte_at: when the last byte arrived, on the same clock.
    :param keep_alive: whether the caller allows more requests on the connection.
    :param on_disconnect: called if the caller disconnects before the response is
        complete.
    :param is_disconnected: whether the caller disconnected before that.
    :param upload: the body, if it is forwarded as it arrives; ``body`` is then empty.
    :param accepts_chunks: whether the caller reads responses of unknown length, which
        are sent in chunks.
    :param begin_stream: begins a response whose body is forwarded as it arrives, or
        ``None`` if the request's connection cannot forward such a response.
    :param held_bytes: memory that counts for the request until its response is
        complete.
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
    upload: "RequestBody | None" = None
    accepts_chunks: bool = True
    begin_stream: StreamBeginner | None = None
    held_bytes: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A complete response, or the head of one that is forwarded as it arrives.

    :param body: empty if the response is forwarded as it arrives.
    :param stream: forwards the body as it arrives, or ``None``.
    :param stated_length: length that the response to a HEAD request states, if any.
    """

    status: int
    headers: Headers
    body: bytes
    stream: "ResponseStream | None" = None
    stated_length: int | None = None

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
    method: bytes,
    target: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    upload: "RequestBody | None" = None,
) -> bytes:
    """Encode a request, with its ``Content-Length``.

    :param upload: the body, if it follows as it arrives; ``body`` is then empty.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [key + b": " + value for key, value in headers]
    if upload is not None and upload.length is None:
        lines.append(b"transfer-encoding: chunked")
    elif upload is not None:
        lines.append(b"content-length: %d" % upload.length)
    elif body or method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_chunk(data: bytes) -> bytes:
    """Encode a part of a body that is sent in chunks; it must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_response(response: Response, close: bool, head_only: bool) -> bytes:
    """Encode a response, with its ``Content-Length``.

    :param close: whether to announce that the connection is closed afterwards.
    :param head_only: whether to leave the body out, as for a HEAD request.
    """
    length = len(response.body)
    if not head_only:
        return encode_response_head(response, length, close) + response.body
    if response.stated_length is not None:
        length = response.stated_length
    return encode_response_head(response, length, close)


def encode_response_head(response: Response, length: int | None, close: bool) -> bytes:
    """Encode the status and the headers of a response.

    :param length: bytes of the body, or ``None`` if the body is sent in chunks.
    :param close: whether to announce that the connection is closed afterwards.
    """
    reason = REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [key + b": " + value for key, value in response.headers]
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    elif response.status not in BODYLESS_STATUSES:
        lines.append(b"content-length: %d" % length)
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def parse_keep_alive_timeout(response: Response) -> float | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header in seconds, or ``None``."""
    value = response.header(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        key, _, timeout = part.strip().partition(b"=")
        if key.lower() == b"timeout" and timeout.isdigit():
            return float(timeout)
    return None
