"""Limit what a message may contain besides its body.

The parser holds an unfinished header in memory, and reads chunk extensions and trailers
of any length. A sender that never ends one of them must not fill the memory, nor keep
the connection busy for good.
"""

MAX_HEAD_BYTES = 64 * 1024
"""Default limit on the headers and trailers of a message, and on any stretch of it that
ends neither a header nor a piece of the body."""
MAX_FRAMING_RATIO = 8
"""Bytes of chunked framing allowed for each byte of the body, on top of the limit on
the head. A chunk of one byte has five."""


class FramingCounter:
    """Count the bytes of one message besides its body.

    :param max_head_bytes: limit on headers and trailers.
    """

    def __init__(self, max_head_bytes: int = MAX_HEAD_BYTES) -> None:
        self._max_head_bytes = max_head_bytes
        self._framing_bytes = 0
        self._body_bytes = 0
        self._header_bytes = 0
        self._unfinished_bytes = 0

    def add_received(self, byte_count: int) -> None:
        """Count bytes from the network, before the parser gets them."""
        self._framing_bytes += byte_count
        self._unfinished_bytes += byte_count

    def add_header(self, byte_count: int) -> None:
        """Count the name and value of a header or trailer that the parser returned."""
        self._header_bytes += byte_count
        self._unfinished_bytes = 0

    def add_body(self, byte_count: int) -> None:
        """Count a piece of the body that the parser returned."""
        self._framing_bytes -= byte_count
        self._body_bytes += byte_count
        self._unfinished_bytes = 0

    @property
    def is_mostly_framing(self) -> bool:
        """Return whether more framing than body was received, as with tiny chunks."""
        return self._framing_bytes > self._body_bytes

    def is_exceeded(self) -> bool:
        """Return whether the message is beyond a limit."""
        allowed_bytes = self._max_head_bytes + MAX_FRAMING_RATIO * self._body_bytes
        return (
            self._framing_bytes > allowed_bytes
            or self._header_bytes > self._max_head_bytes
            or self._unfinished_bytes > self._max_head_bytes
        )
