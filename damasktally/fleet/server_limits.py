"""Rate limits of backend servers, as hosts pass them on to each other."""

from enum import IntEnum

import msgspec


class ReportScope(IntEnum):
    """Where a report comes from, which decides to whom it is passed on.

    A report only moves outwards, so that no host gets its own back as a newer one.
    """

    OWN = 0
    """A response that this host received."""
    DATA_CENTRE = 1
    """A heartbeat of another host."""
    FLEET = 2
    """A summary by a relay."""


class ServerLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The limit that the newest known response of a server named.

    Fields are identified by their position on the wire; new ones go to the end.

    :param server: id of the server.
    :param started_ms: Unix time in milliseconds of the start of its process.
    :param rate: requests a second from all hosts together, or None if it names none.
    :param age_s: seconds since that response arrived.
    """

    server: str
    started_ms: int
    rate: float | None
    age_s: float
