"""Names and parsers of the headers that callers, hosts and backend servers exchange.

Names are in lower case, as the HTTP parsers return them.
"""

REQUEST_ID = b"request-id"
REMAINING_MS = b"deadline-ms"
"""Time for which the sender still waits: a duration in milliseconds, no timestamp."""
AFFINITY_KEY = b"affinity-key"
"""Identifies the object that a request concerns."""
API_KEY = b"key"
CUSTOMER = b"tenant"
EXPECTED_SERVER = b"expect-instance"
SERVER_LOAD = b"server-load"
NOT_RUN = b"not-run"
"""Present if the server did not run the request."""
RETRY_AFTER = b"retry-after"


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
