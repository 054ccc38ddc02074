"""Losses of responses that may be crashes, as hosts pass them on to each other."""

import msgspec


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server process that lost its response to a request.

    :param process: identifies the end of a server's process.
    :param age_s: seconds since the response was lost.
    :param is_exonerated: whether a server answered the same request later, so that the
        request did not end the process.
    """

    process: str
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
