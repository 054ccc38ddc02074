"""The head of a request, collected while it is parsed."""

import re

from damasktally.http1.messages import Headers, find_header
from damasktally.http1.request_memory import HEADER_OVERHEAD_BYTES

HEADER_SEPARATOR_BYTES = 3
"""A colon and a line end; white space around a value is optional."""
ABSOLUTE_TARGET = re.compile(rb"https?://([^/?#@]+)([^#]*)", re.IGNORECASE)
"""Target that names its host, as clients send to proxies: the host with its port, and
path and query."""


class RequestHead:
    """Target and headers of a request.

    ``target`` holds path and query as the caller sent them; names in ``headers`` are in
    lower case. ``byte_count`` is the length of both as they were sent, at least.
    """

    __slots__ = ("byte_count", "headers", "target")

    def __init__(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.byte_count = 0

    def add_target(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part
        self.byte_count += len(part)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Append a header.

        :param name: in lower case.
        """
        self.headers.append((name, value))
        self.byte_count += len(name) + len(value) + HEADER_SEPARATOR_BYTES

    def resolve_target(self) -> None:
        """Replace an absolute target by its path and query, and ``Host`` by its host.

        A server has to accept such a target, and to ignore the header beside it.
        """
        if self.target.startswith(b"/"):
            return
        found = ABSOLUTE_TARGET.fullmatch(self.target)
        if found is None:
            return
        host, path = found.groups()
        self.target = path if path.startswith(b"/") else b"/" + path
        self.headers = [item for item in self.headers if item[0] != b"host"]
        self.headers.insert(0, (b"host", host))

    @property
    def memory_bytes(self) -> int:
        """Return an estimate of the memory that the head takes."""
        return self.byte_count + HEADER_OVERHEAD_BYTES * len(self.headers)

    @property
    def content_length(self) -> int:
        """Return the length of the body that the head states, or 0."""
        text = find_header(self.headers, b"content-length") or b""
        return int(text) if text.isdigit() else 0

    @property
    def is_chunked(self) -> bool:
        """Return whether the body is sent in chunks, so that its length is unknown."""
        return find_header(self.headers, b"transfer-encoding") is not None

    @property
    def is_continue_awaited(self) -> bool:
        """Return whether the caller waits for a ``100 Continue``."""
        expectation = find_header(self.headers, b"expect") or b""
        return expectation.lower() == b"100-continue"
