"""Bound the memory of the requests that are being received from all callers."""

from typing import Protocol

DEFAULT_MAX_BYTES = 96 * 1024 * 1024
SMALL_REQUEST_BYTES = 16 * 1024
"""Memory of a request up to which it is received whatever others hold. With a bound on
connections, all such requests together are bounded, too."""
HEADER_OVERHEAD_BYTES = 200
"""Memory that a header takes besides its text."""


class RequestHolder(Protocol):
    """A connection on which a request is being received."""

    def evict(self) -> None:
        """Refuse the request that is being received, and release its memory."""


class RequestMemory:
    """Count the memory of requests, and refuse some of them beyond a limit.

    Refused is the one that has been received for the longest time: a caller that keeps
    to the limits sends its request in one go. Small ones are never refused, nor are
    requests that are being handled, which count until their response is complete.

    :param max_bytes: limit on the memory of all requests.
    :param small_bytes: memory of a request that counts as small.

    ``total_bytes`` is the memory of all requests, and ``evicted_count`` the number that
    was refused.
    """

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        small_bytes: int = SMALL_REQUEST_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._small_bytes = small_bytes
        self._evictable: dict[RequestHolder, None] = {}
        self.total_bytes = 0
        self.evicted_count = 0

    def add_received(self, holder: RequestHolder, byte_count: int, delta: int) -> None:
        """Count more memory of a request that is being received.

        :param byte_count: memory that the request takes now.
        :param delta: how much of it is new.
        """
        self.total_bytes += delta
        if byte_count > self._small_bytes:
            self._evictable.setdefault(holder)
        while self.total_bytes > self._max_bytes and self._evictable:
            longest = next(iter(self._evictable))
            self.end_receiving(longest)
            self.evicted_count += 1
            longest.evict()

    def end_receiving(self, holder: RequestHolder) -> None:
        """Record that no request is being received on a connection any more."""
        self._evictable.pop(holder, None)

    def release(self, byte_count: int) -> None:
        """Release the memory of a request."""
        self.total_bytes -= byte_count
