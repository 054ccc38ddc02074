"""Read a caller's request strictly, so that no two readers see two requests."""

import re
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

from cheroot.server import HeaderReader

from damasktally.errors import DamasktallyError

MAX_HEADERS = 100
MAX_CHUNK_LINE = 256
MAX_CHUNK_DIGITS = 12
CRLF = b"\r\n"
ONCE_ONLY = frozenset((b"content-length", b"host", b"transfer-encoding"))
HOP_BY_HOP = frozenset(
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
"""RFC 9110, section 7.6.1, and the older names that are still seen."""

_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_HEX = re.compile(rb"^[0-9A-Fa-f]+$")
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class BodyBroken(DamasktallyError):
    """Tell that a caller's body ended early or is malformed."""


class ByteSource(Protocol):
    """Describe the buffered reader that cheroot hands out."""

    def read(self, size: int) -> bytes:
        """Read ``size`` bytes, fewer only at the end."""

    def read1(self, size: int) -> bytes:
        """Read what is there, at most ``size`` bytes."""

    def readline(self, size: int) -> bytes:
        """Read up to a line end, at most ``size`` bytes."""


class StrictHeaderReader(HeaderReader):
    """Read headers and refuse whatever two parsers could read in two ways.

    :param fields: the headers in order, with lower-case names.
    :param expects_continue: whether the caller waits before it sends the body.
    """

    def __init__(self) -> None:
        self.fields: list[tuple[str, str]] = []
        self.expects_continue = False

    def __call__(
        self, rfile: ByteSource, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read up to the empty line.

        :raises ValueError: when a header is malformed or ambiguous.
        """
        headers = {} if hdict is None else hdict
        seen: set[bytes] = set()
        while True:
            line = rfile.readline()
            if line == CRLF:
                break
            name, value = _split_header(line)
            lowered = name.lower()
            if lowered in seen and lowered in ONCE_ONLY:
                raise ValueError(f"Repeated header {name.decode()}.")
            seen.add(lowered)
            if len(self.fields) >= MAX_HEADERS:
                raise ValueError("Too many headers.")
            self.fields.append((lowered.decode(), value.decode("latin-1")))
            headers[name.title()] = value
        _check_framing(headers)
        # cheroot would answer 100 at once; the body is asked for when it is wanted.
        expected = headers.pop(b"Expect", b"").lower()
        self.expects_continue = expected == b"100-continue"
        return headers


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(CRLF):
        raise ValueError("Header lines end with CRLF.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _TOKEN.match(name):
        raise ValueError("Illegal header name.")
    value = value.strip(b" \t")
    if _BAD_VALUE.search(value):
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


def check_target(uri: bytes) -> bytes:
    """Return the path of a request target.

    Dot segments are refused, also when they are encoded: a backend server might
    resolve them to a path of another route.

    :raises ValueError: when the target is not a plain absolute path.
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
    """Stream a caller's body with bounded memory.

    :param source: the connection's reader.
    :param length: bytes of a body of known length; nothing for a chunked one.
    :param before_first_read: called once, to send ``100 Continue``.
    """

    def __init__(
        self,
        source: ByteSource,
        length: int | None,
        before_first_read: Callable[[], None] | None = None,
    ) -> None:
        self.length = length
        self.finished = length == 0
        self.bytes_read = 0
        self._source = source
        self._left = length or 0
        self._in_chunk = False
        self._before_first_read = before_first_read

    @property
    def chunked(self) -> bool:
        """Tell whether the length is not known beforehand."""
        return self.length is None

    @property
    def started(self) -> bool:
        """Tell whether any of the body was read."""
        return self.bytes_read > 0

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most ``size``, or nothing at the end.

        :raises BodyBroken: when the body ends early or is malformed.
        """
        try:
            return self._read(size)
        except OSError as exc:
            raise _broken(f"The body stopped: {type(exc).__name__}.") from exc

    def _read(self, size: int) -> bytes:
        if self.finished:
            return b""
        if self._before_first_read is not None:
            self._before_first_read()
            self._before_first_read = None
        if self.chunked and self._left == 0:
            self._next_chunk()
            if self.finished:
                return b""
        data = self._source.read1(min(size, self._left))
        if not data:
            raise _broken("The body ended early.")
        self._left -= len(data)
        self.bytes_read += len(data)
        if self._left == 0 and not self.chunked:
            self.finished = True
        return data

    def _next_chunk(self) -> None:
        if self._in_chunk and self._source.read(2) != CRLF:
            raise _broken("A chunk does not end with CRLF.")
        line = self._source.readline(MAX_CHUNK_LINE)
        if not line.endswith(CRLF):
            raise _broken("A chunk's size line is too long or cut.")
        digits = line[:-2].split(b";", 1)[0].strip(b" \t")
        if not _HEX.match(digits) or len(digits) > MAX_CHUNK_DIGITS:
            raise _broken("A chunk's size is malformed.")
        self._left = int(digits, 16)
        self._in_chunk = True
        if self._left == 0:
            self._read_trailers()
            self.finished = True

    def _read_trailers(self) -> None:
        for _ in range(MAX_HEADERS):
            line = self._source.readline(MAX_CHUNK_LINE)
            if line == CRLF:
                return
            if not line.endswith(CRLF):
                break
        raise _broken("The trailers are malformed.")


def _broken(message: str) -> BodyBroken:
    return BodyBroken(message, "Send the whole body again on a new connection.")
