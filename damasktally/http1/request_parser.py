"""Parse HTTP/1.1 requests, also those that offer another protocol.

A client may offer to continue in another protocol (``Upgrade``) with any request. A
server that does not accept the offer handles the request as usual. The parser of the
library cannot do that: it ends such a message at its head and leaves its body to the
caller. The body is therefore read by a second parser, which is given a head that
states the same body and makes no offer. It then goes on with the next requests.
"""

from typing import Protocol

from httptools import HttpParserUpgrade, HttpRequestParser

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Headers by which the length of a body is stated."""
CONNECT_METHOD = b"CONNECT"
"""Asks for a tunnel: what follows its head is no body, and no other request."""


class RequestListener(Protocol):
    """Receives the parts of requests."""

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or after the body a trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class TunnelRequested(Exception):
    """A client asked for a tunnel, so that what follows cannot be parsed."""


class RequestParser:
    """Parse the requests of a connection.

    :param listener: receives their parts. A message that is malformed, or of which the
        connection ends first, is never completed.

    ``method`` is that of the request whose head was read last, and ``is_http_1_0``
    whether it is of that version, in which bodies cannot be sent in chunks.
    """

    def __init__(self, listener: RequestListener) -> None:
        self._listener = listener
        # The library looks its callbacks up when the parser is created.
        self.on_body = listener.on_body
        self._parser = HttpRequestParser(self)
        self._framing: list[tuple[bytes, bytes]] = []
        self._is_repeated_head = False
        self._is_upgrade_offered = False
        self.method = b""
        self.is_http_1_0 = False

    def feed(self, data: bytes | memoryview) -> None:
        """Parse some bytes.

        :raises HttpParserError: if they are malformed.
        :raises TunnelRequested: if a client asks for a tunnel.
        """
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as exc:
            if self.method == CONNECT_METHOD:
                raise TunnelRequested from None
            (parsed_count,) = exc.args
            self._repeat_head()
            self.feed(data[parsed_count:])

    def should_keep_alive(self) -> bool:
        """Return whether the client allows more requests after the latest one."""
        return self._parser.should_keep_alive()

    def _repeat_head(self) -> None:
        """Go on with a parser that has read the same head without the offer."""
        lines = [b"POST / HTTP/1.1"]
        lines += [name + b": " + value for name, value in self._framing]
        if not self._parser.should_keep_alive():
            lines.append(b"connection: close")
        self._parser = HttpRequestParser(self)
        self._is_repeated_head = True
        self._is_upgrade_offered = False
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_message_begin(self) -> None:
        """Pass on the begin of a request, unless its head is repeated."""
        if not self._is_repeated_head:
            self._framing.clear()
            self._listener.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the target, unless the head is repeated."""
        if not self._is_repeated_head:
            self._listener.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header without the white space around its value."""
        if self._is_repeated_head:
            return
        if name.lower() in FRAMING_HEADERS:
            self._framing.append((name, value))
        self._listener.on_header(name, value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        """Pass on the end of a head, unless it is repeated."""
        if self._is_repeated_head:
            self._is_repeated_head = False
            return
        self.method = self._parser.get_method()
        self.is_http_1_0 = self._parser.get_http_version() == "1.0"
        self._is_upgrade_offered = self._parser.should_upgrade()
        if self.method != CONNECT_METHOD:
            self._listener.on_headers_complete()

    def on_message_complete(self) -> None:
        """Pass on the end of a request, unless only its head was read."""
        if not self._is_upgrade_offered:
            self._listener.on_message_complete()
