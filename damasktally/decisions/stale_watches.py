"""Notice watches that wait on connections which the store has forgotten.

A store that was silent for a while, or something between it and a host, may leave a
connection open that never carries an answer again. A watch on it looks like one with
nothing to tell. Probes on other connections show the difference.
"""

PROBES_AHEAD_TO_RENEW = 2
"""Probes in a row that must be ahead of the watches, which may be on their way."""


class StaleWatchDetector:
    """Compare what probes show with what the watches brought."""

    def __init__(self) -> None:
        self._was_unreachable = False
        self._probes_ahead = 0
        self._handled_revision = 0

    def record_probe_failure(self) -> None:
        """Note that the store did not answer a probe."""
        self._was_unreachable = True

    def record_probe_response(self, store_revision: int, known_revision: int) -> str:
        """Note a probe's answer.

        :param reached: the store's revision, over all of its objects.
        :param known: the newest revision that a watch or a peer brought.
        :returns: why the watches are to be renewed, or nothing.
        """
        if self._was_unreachable:
            self._was_unreachable = False
            self._handled_revision = max(self._handled_revision, store_revision)
            return "the store was away"
        if store_revision <= max(known_revision, self._handled_revision):
            self._probes_ahead = 0
            return ""
        self._probes_ahead += 1
        if self._probes_ahead < PROBES_AHEAD_TO_RENEW:
            return ""
        self._probes_ahead = 0
        # Changes of objects that are not watched are ahead too: renew once for each.
        self._handled_revision = store_revision
        return "the store is ahead of the watches"
