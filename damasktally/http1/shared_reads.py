"""Read from many connections into one buffer."""

from asyncio import BufferedProtocol

READ_BYTES = 256 * 1024
"""Bytes that one read of a body takes at most if the body is received whole.

With smaller reads, more bodies would be incomplete at once, and the memory of all
together is limited.
"""
SMALL_READ_BYTES = 32 * 1024
"""Bytes that any other read takes at most: a body that is forwarded as it arrives holds
all of them if its reader is slow."""
HEAD_READ_BYTES = 4 * 1024
"""Bytes that a read of a caller's request head takes at most. Small headers take many
times their length in memory, and a read can hold many requests. The same holds for
bodies in tiny chunks."""


def make_read_buffer() -> memoryview:
    """Return a buffer for all connections of one kind on an event loop.

    They can share it, as each read is parsed before the next one begins.
    """
    return memoryview(bytearray(READ_BYTES))


class SharedReadProtocol(BufferedProtocol):
    """Protocol whose connections share a buffer for reads.

    :param read_buffer: see :func:`make_read_buffer`.
    """

    def __init__(self, read_buffer: memoryview) -> None:
        self._read_buffer = read_buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which is never empty."""
        return self._read_buffer[: self.max_read_bytes]

    @property
    def max_read_bytes(self) -> int:
        """Return the bytes that the next read takes at most."""
        raise NotImplementedError

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that a read has put into the buffer."""
        self.data_received(self._read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle received bytes, which are valid only during the call."""
        raise NotImplementedError
