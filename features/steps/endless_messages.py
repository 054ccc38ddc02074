"""Bytes of messages that have no end, as a server or a caller in trouble sends them."""

from collections.abc import Iterator
from itertools import repeat

CHUNKED_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_REQUEST_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE_CHUNK = b"5\r\nhello\r\n"

RESPONSES = {
    "one header without end": (b"HTTP/1.1 200 X\r\nA: ", b"a"),
    "headers without end": (b"HTTP/1.1 200 X\r\n", b"A: b\r\n"),
    "a status line without end": (b"HTTP/1.1 200 ", b"X"),
    "interim responses without end": (b"", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"),
    "responses to other requests": (
        b"",
        b"HTTP/1.1 200 X\r\nOther: 1\r\nContent-Length: 1\r\n\r\na",
    ),
    "a chunk extension without end": (CHUNKED_HEAD + b"5;e=", b"e"),
    "extensions of one-byte chunks": (CHUNKED_HEAD, b"1;" + b"e" * 60 + b"\r\na\r\n"),
    "trailers without end": (CHUNKED_HEAD + ONE_CHUNK + b"0\r\n", b"A: b\r\n"),
    "one trailer without end": (CHUNKED_HEAD + ONE_CHUNK + b"0\r\nA: ", b"a"),
    "a body without end": (b"HTTP/1.1 200 X\r\n\r\n", b"a"),
    "chunks of 8 bytes without end": (CHUNKED_HEAD, b"8\r\n12345678\r\n"),
}
"""First bytes of a response, and the bytes that are then repeated, by kind."""

REQUESTS = {
    "one header without end": (b"POST / HTTP/1.1\r\nA: ", b"a"),
    "headers without end": (b"POST / HTTP/1.1\r\n", b"A: b\r\n"),
    "a chunk extension without end": (CHUNKED_REQUEST_HEAD + b"5;e=", b"e"),
    "trailers without end": (CHUNKED_REQUEST_HEAD + ONE_CHUNK + b"0\r\n", b"A: b\r\n"),
    "one trailer without end": (CHUNKED_REQUEST_HEAD + ONE_CHUNK + b"0\r\nA: ", b"a"),
}
"""First bytes of a request, and the bytes that are then repeated, by kind."""


def split_into_reads(message: tuple[bytes, bytes], size: int) -> Iterator[bytes]:
    """Yield the bytes of an endless message in pieces of equal size.

    :param message: first bytes, and the bytes that are then repeated.
    """
    first, repeated = message
    buffer = bytearray(first)
    block = repeated * (1 + size // len(repeated))
    for item in repeat(block):
        while len(buffer) < size:
            buffer += item
        yield bytes(buffer[:size])
        del buffer[:size]
