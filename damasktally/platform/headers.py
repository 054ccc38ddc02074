"""Name the headers that callers, hosts and backend servers exchange.

Names are lower case, as the parsers deliver them.
"""

REQUEST_ID = b"request-id"
REMAINING_MS = b"deadline-ms"
"""Milliseconds that the sender still waits, not a point in time."""
AFFINITY_KEY = b"affinity-key"
"""Names the object that a request is about."""
API_KEY = b"key"
CUSTOMER = b"tenant"
EXPECTED_SERVER = b"expect-instance"
SERVER_LOAD = b"server-load"
NOT_RUN = b"not-run"
"""Present when a server did not run the request."""
RETRY_AFTER = b"retry-after"


def parse_load(value: bytes) -> tuple[int, int, int] | None:
    """Parse a server's load report.

    :returns: requests that run, that wait, and slots; nothing if it is malformed.
    """
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots


def parse_milliseconds(value: bytes | None) -> float | None:
    """Parse a header in milliseconds.

    :returns: seconds, or nothing if it is missing or malformed.
    """
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000.0
