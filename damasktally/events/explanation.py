"""Explanation of the outcome of one request, from a host's log."""

from collections.abc import Iterable, Iterator
from json import JSONDecodeError, loads

from damasktally.events.catalogue import (
    FETCHED_FROM_STORE,
    HOST_LEAVING,
    LEASE_MANAGER_SILENT,
    LEASE_WAIT_ENDED,
    LOSS_IGNORED,
    PEER_LOST,
    RELAY_FAILED,
    REQUEST_BLOCKED,
    REQUEST_ENDED,
    REQUEST_UNBLOCKED,
    ROUTE_RECOVERED,
    ROUTE_TOO_SLOW,
    SERVER_ASKED_FOR_PAUSE,
    SERVER_LIMIT_CHANGED,
    SERVER_PAUSED,
    SERVICE_CAPACITY,
    SERVICE_REACHABLE,
    SERVICE_UNREACHABLE,
    STORE_LOST,
    STORE_OUTAGE_BEGAN,
    STORE_OUTAGE_ENDED,
    STORE_REGAINED,
    STORE_RESTORED,
    VIEW_CHANGED,
    WATCHES_RENEWED,
)
from damasktally.events.reasons import Reason

CONTEXT_WINDOW_S = 5.0
"""Events up to this long before the end of a request are part of its explanation."""
CONTEXT_EVENTS = frozenset(
    event.number
    for event in (
        FETCHED_FROM_STORE,
        HOST_LEAVING,
        LEASE_MANAGER_SILENT,
        LOSS_IGNORED,
        PEER_LOST,
        RELAY_FAILED,
        REQUEST_BLOCKED,
        REQUEST_UNBLOCKED,
        ROUTE_RECOVERED,
        ROUTE_TOO_SLOW,
        SERVER_ASKED_FOR_PAUSE,
        SERVER_LIMIT_CHANGED,
        SERVER_PAUSED,
        SERVICE_CAPACITY,
        SERVICE_REACHABLE,
        SERVICE_UNREACHABLE,
        STORE_LOST,
        STORE_OUTAGE_BEGAN,
        STORE_OUTAGE_ENDED,
        STORE_REGAINED,
        STORE_RESTORED,
        VIEW_CHANGED,
        WATCHES_RENEWED,
    )
)


def parse_lines(lines: Iterable[str]) -> Iterator[dict]:
    """Yield the log records among some lines; other lines are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = loads(line[start:])
        except JSONDecodeError:
            continue
        if isinstance(record, dict) and "event" in record:
            yield record


def explain_request(request_id: str, lines: Iterable[str]) -> list[str]:
    """Explain the outcome of a request by its final event and the events before it.

    :param request_id: the request's id.
    :param lines: log lines of the host, in order.
    :returns: one sentence per line; nothing if the request is not in the log.
    """
    context: list[dict] = []
    for record in parse_lines(lines):
        number = record["event"]
        is_request_end = number == REQUEST_ENDED.number
        if is_request_end and record.get("request") == request_id:
            return _explain_record(record, context)
        is_own_wait = number == LEASE_WAIT_ENDED.number
        if is_own_wait and record.get("request") == request_id:
            context.append(record)
        if number in CONTEXT_EVENTS:
            context.append(record)
    return []


def _explain_record(record: dict, context: list[dict]) -> list[str]:
    reason = record.get("reason", "")
    meaning = _reason_meaning(reason)
    lines = [
        f"Request {record['request']} ended with {record['status']} after "
        f"{record['ms']} ms: {reason}, {meaning}.",
        f"Route {record['route'] or '-'}, customer {record['customer'] or '-'}, "
        f"service {record['service'] or '-'}, configuration "
        f"{record['configuration']}, servers as of revision "
        f"{record['servers_revision']} of era {record.get('store_era', 0)}, "
        "view confirmed "
        f"{record.get('view_age_s', 'unknown')} s before.",
    ]
    if record.get("forwarded_by"):
        lines.append(f"Host {record['forwarded_by']} had forwarded it to this one.")
    if record.get("inputs"):
        figures = ", ".join(f"{key} {value}" for key, value in record["inputs"].items())
        lines.append(f"Decided by: {figures}.")
    for server, ending, took_ms in record.get("attempts", []):
        target = f"Other {server}" if server.startswith("host ") else f"Server {server}"
        lines.append(f"{target}: {ending} after {took_ms} ms.")
    for server, removed_s in record.get("removed_s", {}).items():
        lines.append(
            f"Server {server} was in use although its registration had been removed "
            f"{removed_s} s before."
        )
    earliest = record["timestamp"] - CONTEXT_WINDOW_S
    for item in context:
        if item["timestamp"] >= earliest:
            before_s = record["timestamp"] - item["timestamp"]
            lines.append(f"{before_s:.2f} s before: {_describe_event(item)}.")
    return lines


def _reason_meaning(word: str) -> str:
    try:
        return Reason(word).meaning
    except ValueError:
        return "a reason that this version does not have"


def _describe_event(record: dict) -> str:
    name = record.get("message_type", "").partition(":")[2]
    left_out = {"event", "timestamp", "message_type"}
    fields = [f"{key} {value}" for key, value in record.items() if key not in left_out]
    return f"{name} ({', '.join(fields)})"
