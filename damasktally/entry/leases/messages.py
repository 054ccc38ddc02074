"""Messages between a host that asks for a lease and the lease manager of a server.

Fields are identified by their position on the wire. New fields go to the end and need a
default, so that hosts of different versions can decode them. All times are durations in
milliseconds, as the clocks of two hosts differ.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from damasktally.decisions.lease_terms import LeaseKey, LeaseOutcome, LeaseTerms

MAX_DURATION_MS = 60_000
MS_PER_S = 1000.0

DurationMs = Annotated[int, Meta(ge=0, le=MAX_DURATION_MS)]
SlotCount = Annotated[int, Meta(ge=1, le=100_000)]


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Request of a host for the permission to send one request to a server.

    It may be repeated: the numbers tell the manager which ones it knows.

    :param host: name of the sender.
    :param started_ms: start of its process in Unix milliseconds.
    :param number: identifies the request within that process.
    :param server: id of the server.
    :param server_started_ms: start of its process in Unix milliseconds.
    :param slots: requests that it processes at once.
    :param priority: 0 is the most urgent.
    :param customer: name, or an empty string.
    :param wait_ms: how long the request may wait.
    :param run_ms: how long it is expected to run.
    """

    host: str
    started_ms: int
    number: int
    server: str
    server_started_ms: int
    slots: SlotCount
    priority: int
    customer: str
    wait_ms: DurationMs
    run_ms: DurationMs

    @property
    def key(self) -> LeaseKey:
        """Return what identifies the request among those of all hosts."""
        return self.host, self.started_ms, self.number

    def terms(self) -> LeaseTerms:
        """Return what the host asks for, with times in seconds."""
        return LeaseTerms(
            self.key,
            self.server,
            self.server_started_ms,
            self.slots,
            self.priority,
            self.customer,
            self.wait_ms / MS_PER_S,
            self.run_ms / MS_PER_S,
        )


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Decision of the manager.

    :param number: number of the request.
    :param wait_ms: when the server is expected to have room; for a lease that is
        granted, for how long the request waited.
    :param ahead: how many requests waited ahead of it when it arrived.
    """

    number: int
    outcome: LeaseOutcome
    wait_ms: int
    ahead: int = 0


class LeaseEnd(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Notice that a request has ended, or that it does not wait any more.

    :param running: requests that the server still processed, by its own report in the
        response; -1 if there was none.
    :param waiting: the same for requests in the server's queue.
    """

    host: str
    started_ms: int
    number: int
    running: int = -1
    waiting: int = -1

    @property
    def key(self) -> LeaseKey:
        """Return what identifies the request among those of all hosts."""
        return self.host, self.started_ms, self.number

    @property
    def outstanding(self) -> int | None:
        """Return the requests that the server still had, or ``None`` if unknown."""
        if self.running < 0 or self.waiting < 0:
            return None
        return self.running + self.waiting


def to_milliseconds(seconds: float) -> int:
    """Return a duration for a message, within the range that it allows."""
    return int(min(MAX_DURATION_MS, max(0.0, seconds * MS_PER_S)))
