"""Track the responses that were written whole and that callers have not read yet."""

from asyncio import WriteTransport


class UnsentResponses:
    """The callers' connections at which whole responses wait to be sent."""

    def __init__(self) -> None:
        self._transports: set[WriteTransport] = set()

    def add(self, transport: WriteTransport) -> None:
        """Add a connection to which a response was written, if some of it waits."""
        if transport.get_write_buffer_size():
            self._transports.add(transport)

    @property
    def total_bytes(self) -> int:
        """Return the bytes that wait at all connections."""
        self._transports = {
            item for item in self._transports if item.get_write_buffer_size()
        }
        return sum(item.get_write_buffer_size() for item in self._transports)
