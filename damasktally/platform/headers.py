"""Names and parsers of the headers that callers, hosts and backend servers exchange.

Names are in lower case, as the HTTP parsers return them.
"""

from math import isfinite

from damasktally.fleet.model import ServerReport
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
    running, waiting, _ = load or (None, None, None)
    return ServerReport(
        running=running,
        waiting=waiting,
        rate_limit=rate_limit,
        is_limit_unreadable=is_limit_unreadable,
        is_leaving=b"1" in leaving_values,
        pause_s=pause_s,
        unreadable=tuple(unreadable),
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


def parse_load(value: bytes) -> tuple[int, int, int] | None:
    """Parse a server's load report.

    :returns: the number of running requests, of waiting requests and of slots, or None
        if the report is malformed.
    """
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parse a header that holds milliseconds.

    :returns: seconds, or None if the header is missing or malformed.
    """
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000.0
