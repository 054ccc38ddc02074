"""Bound the bytes of the bodies that a host forwards as they arrive."""

from collections.abc import Callable, Hashable

WINDOW_BYTES = 64 * 1024
"""Bytes of one body that may be in the host, received and not yet sent on."""


class BodyMemory:
    """Grant windows of memory to bodies that are forwarded as they arrive.

    A body holds at most one window. When all are in use, further bodies wait for one
    in the order of arrival.

    :param max_bytes: limit on the bytes of all windows together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._free_count = max_bytes // WINDOW_BYTES
        self._granted: set[Hashable] = set()
        self._waiting: dict[Callable[[], None], None] = {}

    @property
    def reserved_bytes(self) -> int:
        """Return the bytes of all windows in use."""
        return len(self._granted) * WINDOW_BYTES

    def is_waiting(self, grant: Callable[[], None]) -> bool:
        """Return whether a body waits for a window."""
        return grant in self._waiting

    def request(self, grant: Callable[[], None]) -> None:
        """Grant a window to a body now, or once another body ends.

        :param grant: called when the body has its window, and identifies the body.
        """
        if self._free_count <= 0:
            self._waiting[grant] = None
            return
        self._free_count -= 1
        self._granted.add(grant)
        grant()

    def try_reserve(self, body: Hashable) -> bool:
        """Reserve a window for a body that does not wait.

        :param body: identifies the body.
        :returns: whether there was one.
        """
        if self._free_count <= 0:
            return False
        self._free_count -= 1
        self._granted.add(body)
        return True

    def release(self, body: Hashable) -> None:
        """End a body, and pass its window on if it has one."""
        self._waiting.pop(body, None)
        if body not in self._granted:
            return
        self._granted.remove(body)
        self._free_count += 1
        if self._waiting:
            first = next(iter(self._waiting))
            del self._waiting[first]
            self.request(first)
