"""Detect watches on connections that the store no longer serves.

After the store was unreachable for a while, or after a fault between it and a host, a
connection may stay open on which no response ever arrives. A watch on it looks the same
as a watch that has no changes to deliver. Probes on other connections show the
difference.
"""

PROBES_AHEAD_TO_RENEW = 2
"""Consecutive probes that have to return a newer revision than the watches delivered.
After a single one, the change may still be on its way."""


class StaleWatchDetector:
    """Compare the store's revision from probes with the one that watches delivered."""

    def __init__(self) -> None:
        self._was_unreachable = False
        self._probes_ahead = 0
        self._handled_revision = 0

    def record_probe_failure(self) -> None:
        """Record that the store did not respond to a probe."""
        self._was_unreachable = True

    def record_probe_response(self, store_revision: int, known_revision: int) -> str:
        """Record the response to a probe, and decide whether to renew the watches.

        :param store_revision: the store's revision, over all of its objects.
        :param known_revision: the newest revision that a watch or a peer delivered.
        :returns: why the watches have to be renewed, or an empty text.
        """
        if self._was_unreachable:
            self._was_unreachable = False
            self._handled_revision = max(self._handled_revision, store_revision)
            return "the store was unreachable"
        if store_revision <= max(known_revision, self._handled_revision):
            self._probes_ahead = 0
            return ""
        self._probes_ahead += 1
        if self._probes_ahead < PROBES_AHEAD_TO_RENEW:
            return ""
        self._probes_ahead = 0
        # A change of an object that is not watched also makes the store's revision
        # newer, so the watches are renewed only once for each revision.
        self._handled_revision = store_revision
        return "the store is ahead of the watches"
