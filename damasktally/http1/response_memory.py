"""Bound the memory of the responses that are being received from all servers."""

from collections.abc import Callable

from damasktally.http1.shared_reads import make_read_buffer

MAX_RECEIVED_BYTES = 32 * 1024 * 1024
"""Bytes of all incomplete response bodies together; small hosts have 200 MB."""


class ResponseMemory:
    """Track the sizes of incomplete responses, and abort the longest beyond a limit.

    The longest one is the most likely to have no end. Aborting the one that happens to
    pass the limit would fail the short responses of other servers.

    :param max_bytes: limit on the bytes of all incomplete responses together.

    ``read_buffer`` is for the reads of all these connections.
    """

    def __init__(self, max_bytes: int = MAX_RECEIVED_BYTES) -> None:
        self.read_buffer = make_read_buffer()
        self._max_bytes = max_bytes
        self._sizes: dict[Callable[[], None], int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the bytes of all incomplete responses."""
        return self._total_bytes

    def add(self, abort: Callable[[], None], byte_count: int) -> None:
        """Add received bytes to a response, and abort the longest beyond the limit.

        :param abort: aborts the response, and identifies it.
        """
        self._sizes[abort] = self._sizes.get(abort, 0) + byte_count
        self._total_bytes += byte_count
        while self._total_bytes > self._max_bytes:
            longest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(longest)
            longest()

    def remove(self, abort: Callable[[], None]) -> None:
        """Remove a response that is complete or was aborted."""
        self._total_bytes -= self._sizes.pop(abort, 0)
