"""Losses of responses that may be crashes, as hosts pass them on to each other."""

import msgspec


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server process that lost its response to a request.

    :param process: identifies the process of the server.
    :param window: number of the time in which it was lost, since the next process of a
        server may not be known as such yet.
    :param age_s: seconds since the response was lost.
    :param is_exonerated: whether the request did not end the process: a server answered
        the same request later, or the process answered another one.
    """

    process: str
    window: int
    age_s: float
    is_exonerated: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The server processes that lost their responses to one request.

    Fields are identified by their position on the wire; new ones go to the end.

    :param fingerprint: identifies the request.
    :param entries: one for each process.
    """

    fingerprint: str
    entries: tuple[CrashEntry, ...]
