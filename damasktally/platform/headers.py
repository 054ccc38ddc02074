"""Names and parsers of the headers that callers, hosts and backend servers exchange.

Names are in lower case, as the HTTP parsers return them.
"""

from math import isfinite
from typing import NamedTuple

from damasktally.fleet.model import MAX_LOAD_FIGURE, ServerReport
from damasktally.http1.messages import Response

REQUEST_ID = b"request-id"
REMAINING_MS = b"deadline-ms"
"""Time for which the sender still waits: a duration in milliseconds, no timestamp."""
AFFINITY_KEY = b"affinity-key"
"""Identifies the object that a request concerns."""
API_KEY = b"key"
CUSTOMER = b"tenant"
EXPECTED_SERVER = b"expect-instance"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
"""Requests a second that the server takes from all hosts together, a decimal number."""
SERVER_LEAVING = b"server-leaving"
"""The value 1 says that the server is about to end and wants no more requests."""
NOT_RUN = b"not-run"
"""Present if the server did not run the request."""
RETRY_AFTER = b"retry-after"
"""Seconds, possibly with a fraction: from a server in a refusal, the pause that it
wants from this host; to callers, when to return."""
REFUSAL_STATUS = 503
STORE_ERA = b"store-era"
"""Rises by one each time the store comes back from an older copy."""

MAX_LOAD_DIGITS = 7


class LoadFigures(NamedTuple):
    """Figures of a server's load report.

    :param running: requests that occupy a slot.
    :param waiting: requests in the server's queue.
    :param slots: requests that the server processes at once.
    :param slowdown: time that work takes, relative to the usual time, or None if the
        report does not say. A time of 0 percent says nothing.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None


def decode_server_report(response: Response) -> ServerReport:
    """Decode what a server reports of itself in the headers of a response.

    A header that is malformed counts as missing, and is listed as unreadable.
    """
    unreadable = []
    load_text, limit_text = response.header(SERVER_LOAD), response.header(SERVER_LIMIT)
    load = parse_load(load_text) if load_text is not None else None
    if load_text is not None and load is None:
        unreadable.append(SERVER_LOAD.decode())
    rate_limit = _parse_rate(limit_text) if limit_text is not None else None
    is_limit_unreadable = limit_text is not None and rate_limit is None
    if is_limit_unreadable:
        unreadable.append(SERVER_LIMIT.decode())
    leaving_values = [
        value.strip() for name, value in response.headers if name == SERVER_LEAVING
    ]
    if any(value not in (b"0", b"1") for value in leaving_values):
        unreadable.append(SERVER_LEAVING.decode())
    pause_s, is_pause_readable = _decode_pause(response)
    if not is_pause_readable:
        unreadable.append(RETRY_AFTER.decode())
    return ServerReport(
        running=load.running if load else None,
        waiting=load.waiting if load else None,
        rate_limit=rate_limit,
        is_limit_unreadable=is_limit_unreadable,
        is_leaving=b"1" in leaving_values,
        pause_s=pause_s,
        unreadable=tuple(unreadable),
        slots=load.slots if load else None,
        slowdown=load.slowdown if load else None,
    )


def _decode_pause(response: Response) -> tuple[float | None, bool]:
    """Decode the pause that a refusal asks for, the longest if it names several.

    :returns: seconds, or None if there is none; and whether all values are readable.
    """
    if response.status != REFUSAL_STATUS:
        return None, True
    values = [
        _parse_number(value) for name, value in response.headers if name == RETRY_AFTER
    ]
    readable = [value for value in values if value is not None]
    longest = max(readable, default=0.0)
    return longest if longest > 0 else None, len(readable) == len(values)


def _parse_rate(value: bytes) -> float | None:
    """Parse requests a second; return None if the value is malformed or negative."""
    rate = _parse_number(value)
    return rate if rate is not None and rate >= 0 else None


def _parse_number(value: bytes) -> float | None:
    """Parse a decimal number; return None if it is malformed or not finite."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if isfinite(number) else None


def parse_load(value: bytes) -> LoadFigures | None:
    """Parse a server's load report: three or four figures, separated by commas.

    :returns: the figures, or None if the report is malformed.
    """
    figures = [_parse_figure(part.strip()) for part in value.split(b",")]
    if len(figures) not in (3, 4) or None in figures:
        return None
    running, waiting, slots = figures[:3]
    percent = figures[3] if len(figures) == 4 else 0
    return LoadFigures(running, waiting, slots, percent / 100.0 or None)


def _parse_figure(digits: bytes) -> int | None:
    """Parse a figure of a load report; return None if it is malformed or too large.

    The length is checked first, as ``int`` raises an error for thousands of digits.
    """
    if not digits.isdigit() or len(digits) > MAX_LOAD_DIGITS:
        return None
    figure = int(digits)
    return figure if figure <= MAX_LOAD_FIGURE else None


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parse a header that holds milliseconds.

    :returns: seconds, or None if the header is missing or malformed.
    """
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000.0
