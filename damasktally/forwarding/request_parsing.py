"""Parse callers' requests strictly, against request smuggling.

A message that two parsers could split into requests in two ways is refused.
"""

import re
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

from cheroot.server import HeaderReader

from damasktally.errors import DamasktallyError

MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 256
MAX_CHUNK_SIZE_DIGITS = 12
CRLF = b"\r\n"
SINGLETON_HEADERS = frozenset((b"content-length", b"host", b"transfer-encoding"))
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers of RFC 9110, section 7.6.1, and older ones that are still in use."""

_TOKEN_PATTERN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_HEX_PATTERN = re.compile(rb"^[0-9A-Fa-f]+$")
_ILLEGAL_VALUE_PATTERN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class InvalidBody(DamasktallyError):
    """The caller's body ended early or is malformed."""


class ByteSource(Protocol):
    """Interface of the buffered reader of cheroot's connections."""

    def read(self, size: int) -> bytes:
        """Read ``size`` bytes, or fewer at the end of the stream."""

    def read1(self, size: int) -> bytes:
        """Read the bytes that are available, at most ``size``."""

    def readline(self, size: int) -> bytes:
        """Read up to the end of the line, at most ``size`` bytes."""


class StrictHeaderReader(HeaderReader):
    """Parse a request's headers, and refuse malformed and ambiguous ones.

    :param fields: pairs of lower-case name and value, in the order received.
    :param expects_continue: whether the caller waits for ``100 Continue`` before it
        sends the body.
    """

    def __init__(self) -> None:
        self.fields: list[tuple[str, str]] = []
        self.expects_continue = False

    def __call__(
        self, rfile: ByteSource, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the headers up to the empty line.

        :param rfile: the connection's reader.
        :param hdict: dictionary to which the headers are added.
        :returns: values by name in title case, without ``Expect``.
        :raises ValueError: if a header is malformed or ambiguous.
        """
        headers = {} if hdict is None else hdict
        seen_names: set[bytes] = set()
        while True:
            line = rfile.readline()
            if line == CRLF:
                break
            name, value = _split_header(line)
            lower_name = name.lower()
            if lower_name in seen_names and lower_name in SINGLETON_HEADERS:
                raise ValueError(f"Repeated header {name.decode()}.")
            seen_names.add(lower_name)
            if len(self.fields) >= MAX_HEADERS:
                raise ValueError("Too many headers.")
            self.fields.append((lower_name.decode(), value.decode("latin-1")))
            headers[name.title()] = value
        _check_framing(headers)
        # Otherwise cheroot would send 100 Continue at once. It is sent when the body is
        # first read, so that a request can be refused without its body.
        expected = headers.pop(b"Expect", b"").lower()
        self.expects_continue = expected == b"100-continue"
        return headers


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(CRLF):
        raise ValueError("Header lines end with CRLF.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _TOKEN_PATTERN.match(name):
        raise ValueError("Illegal header name.")
    value = value.strip(b" \t")
    if _ILLEGAL_VALUE_PATTERN.search(value):
        raise ValueError("Illegal character in a header value.")
    return name, value


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    if length is not None and not length.isdigit():
        raise ValueError("Malformed Content-Length.")
    if length is not None and coding is not None:
        raise ValueError("Both Content-Length and Transfer-Encoding.")
    if coding is not None and coding.lower() != b"chunked":
        raise ValueError("Only the chunked transfer coding is known.")


def parse_target_path(uri: bytes) -> bytes:
    """Return the decoded path of a request target, without the query.

    Dot segments are refused, even if they are percent-encoded: a backend server might
    resolve them to a path of another route.

    :raises ValueError: if the target is not an absolute path, or the path holds dot
        segments, backslashes or control characters.
    """
    if not uri.startswith(b"/"):
        raise ValueError("The request target must be an absolute path.")
    path = uri.split(b"?", 1)[0]
    decoded = unquote_to_bytes(path)
    if any(byte < 0x20 or byte == 0x7F for byte in decoded) or b"\\" in decoded:
        raise ValueError("Illegal character in the path.")
    if any(part in (b".", b"..") for part in decoded.split(b"/")):
        raise ValueError("Dot segments in the path.")
    return decoded


class RequestBody:
    """A caller's body, read in chunks of bounded size.

    :param source: the connection's reader.
    :param length: size of the body in bytes, or nothing if it is chunked.
    :param before_first_read: called once before the first read, to send
        ``100 Continue``.
    """

    def __init__(
        self,
        source: ByteSource,
        length: int | None,
        before_first_read: Callable[[], None] | None = None,
    ) -> None:
        self.length = length
        self.is_finished = length == 0
        self.bytes_read = 0
        self._source = source
        self._remaining_bytes = length or 0
        self._in_chunk = False
        self._before_first_read = before_first_read

    @property
    def is_chunked(self) -> bool:
        """Return whether the body has the chunked transfer coding."""
        return self.length is None

    @property
    def is_started(self) -> bool:
        """Return whether any of the body was read."""
        return self.bytes_read > 0

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body, at most ``size``, or none at its end.

        :raises InvalidBody: if the body ends early or is malformed.
        """
        try:
            return self._read(size)
        except OSError as exc:
            raise _invalid_body(f"The body stopped: {type(exc).__name__}.") from exc

    def _read(self, size: int) -> bytes:
        if self.is_finished:
            return b""
        if self._before_first_read is not None:
            self._before_first_read()
            self._before_first_read = None
        if self.is_chunked and self._remaining_bytes == 0:
            self._read_chunk_header()
            if self.is_finished:
                return b""
        data = self._source.read1(min(size, self._remaining_bytes))
        if not data:
            raise _invalid_body("The body ended early.")
        self._remaining_bytes -= len(data)
        self.bytes_read += len(data)
        if self._remaining_bytes == 0 and not self.is_chunked:
            self.is_finished = True
        return data

    def _read_chunk_header(self) -> None:
        if self._in_chunk and self._source.read(2) != CRLF:
            raise _invalid_body("A chunk does not end with CRLF.")
        line = self._source.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(CRLF):
            raise _invalid_body("A chunk's size line is too long or incomplete.")
        digits = line[:-2].split(b";", 1)[0].strip(b" \t")
        if not _HEX_PATTERN.match(digits) or len(digits) > MAX_CHUNK_SIZE_DIGITS:
            raise _invalid_body("A chunk's size is malformed.")
        self._remaining_bytes = int(digits, 16)
        self._in_chunk = True
        if self._remaining_bytes == 0:
            self._read_trailers()
            self.is_finished = True

    def _read_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            line = self._source.readline(MAX_CHUNK_LINE_BYTES)
            if line == CRLF:
                return
            if not line.endswith(CRLF):
                break
        raise _invalid_body("The trailers are malformed.")


def _invalid_body(message: str) -> InvalidBody:
    return InvalidBody(message, "Send the whole body again on a new connection.")
