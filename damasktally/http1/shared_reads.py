"""Read from many connections into one buffer."""

from asyncio import BufferedProtocol

READ_BYTES = 32 * 1024
"""Bytes that one read takes at most.

The event loop's own reads take up to 256 KiB, of which a body that is forwarded as it
arrives could hold all.
"""


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
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that a read has put into the buffer."""
        self.data_received(self._read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle received bytes, which are valid only during the call."""
        raise NotImplementedError
