"""Choose the host from which newer state is requested.

The host that names the newest revision may have been cut off, frozen or slowed down
since. Another one that is ahead at all is better than one that does not respond.
"""

from collections.abc import Collection, Mapping
from random import Random


def choose_source(
    revision_by_host: Mapping[str, int],
    known_revision: int,
    avoided: Collection[str],
    rng: Random,
) -> str | None:
    """Return a host with the newest revision among those that are expected to respond.

    :param revision_by_host: the revision of the topic at each live host.
    :param known_revision: revision that the requester has.
    :param avoided: hosts that are being asked, or that did not respond lately. They are
        chosen only if no other host is ahead.
    :param rng: chooses among hosts with the same revision.
    :returns: name of the host, or ``None`` if none is ahead.
    """
    ahead = {
        host: revision
        for host, revision in revision_by_host.items()
        if revision > known_revision
    }
    if not ahead:
        return None
    expected = {host: rev for host, rev in ahead.items() if host not in avoided}
    candidates = expected or ahead
    newest = max(candidates.values())
    return rng.choice([host for host, rev in candidates.items() if rev == newest])
