"""Check that hosts heed what servers report of themselves.

A host that was started, stopped or paused since it was told is excused.
"""

from bisect import bisect_left
from collections.abc import Iterator

from fault_soak.callers import SentRequest
from fault_soak.fleet import HostProcess, SoakFleet, SoakServer
from fault_soak.server_conduct import Told

DRAIN_S = 2.0
"""A server that leaves gets no request that is sent later than this."""
STABLE_WINDOW_S = 3.0
"""Time that a fleet has to learn of a limit or of a request that ends servers."""
TOLD_DELAY_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
MAX_REQUESTS_IN_PAUSE = 2
MAX_LATE_BAD_REQUESTS = 3


def find_report_violations(
    fleet: SoakFleet, requests: list[SentRequest]
) -> Iterator[str]:
    """Yield a message for each violation."""
    host_by_name = {host.name: host for host in fleet.hosts}
    known = {request.id: request for request in requests}
    for server in fleet.servers:
        yield from _check_server(server, known, host_by_name)
    yield from _check_bad_request(fleet, host_by_name)


def _check_server(
    server: SoakServer,
    known: dict[str, SentRequest],
    host_by_name: dict[str, HostProcess],
) -> Iterator[str]:
    first_told: dict[tuple[str, int], Told] = {}
    for told in server.conduct.told:
        request = known.get(told.request_id)
        if request is None or server.proxy.was_impaired(told.at):
            # On an impaired link the response may not have reached the host.
            continue
        if told.subject == "pause":
            yield from _check_pause(server, told, known, host_by_name)
        else:
            first_told.setdefault((request.host, told.period), told)
    for (host, period), told in first_told.items():
        if told.subject == "leaving":
            yield from _check_leaving(server, host_by_name[host], period, told, known)
    for index, period in enumerate(server.conduct.periods):
        if period.subject == "limit":
            told_by_host = {
                host: told
                for (host, told_in), told in first_told.items()
                if told_in == index
            }
            yield from _check_limit(server, index, told_by_host, known, host_by_name)


def _is_disturbed(host: HostProcess, since: float, until: float) -> bool:
    return any(since <= at <= until for at in host.disturbed_at)


def _check_leaving(
    server: SoakServer,
    host: HostProcess,
    period_index: int,
    told: Told,
    known: dict[str, SentRequest],
) -> Iterator[str]:
    ended_at = server.conduct.periods[period_index].ended_at
    for at, request_id in server.conduct.arrivals:
        request = known.get(request_id)
        if request is None or request.host != host.name or at >= ended_at:
            continue
        is_late = request.sent_at > told.at + DRAIN_S
        if is_late and not _is_disturbed(host, told.at, at):
            yield f"{request_id} from {host.name} reached {server.id}, which leaves"


def _check_pause(
    server: SoakServer,
    told: Told,
    known: dict[str, SentRequest],
    host_by_name: dict[str, HostProcess],
) -> Iterator[str]:
    host = host_by_name[known[told.request_id].host]
    begin, end = told.at + TOLD_DELAY_S, told.at + told.value
    reached = [
        at
        for at, request_id in server.conduct.arrivals
        if begin <= at < end
        and request_id in known
        and known[request_id].host == host.name
    ]
    if len(reached) > MAX_REQUESTS_IN_PAUSE and not _is_disturbed(host, told.at, end):
        yield f"{server.id} got {len(reached)} requests in a pause of {told.value} s"


def _check_limit(
    server: SoakServer,
    period_index: int,
    told_by_host: dict[str, Told],
    known: dict[str, SentRequest],
    host_by_name: dict[str, HostProcess],
) -> Iterator[str]:
    if not told_by_host:
        return
    period = server.conduct.periods[period_index]
    from_s = min(told.at for told in told_by_host.values()) + STABLE_WINDOW_S
    counted = []
    for at, request_id in server.conduct.arrivals:
        request = known.get(request_id)
        told = told_by_host.get(request.host) if request is not None else None
        if told is None or not max(from_s, told.at + TOLD_DELAY_S) <= at:
            continue
        host = host_by_name[request.host]
        if at < period.ended_at and not _is_disturbed(host, at - STABLE_WINDOW_S, at):
            counted.append(at)
    rate = next(iter(told_by_host.values())).value
    allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW_S + LIMIT_EXTRA
    most = max(
        (
            bisect_left(counted, at + LIMIT_WINDOW_S) - index
            for index, at in enumerate(counted)
        ),
        default=0,
    )
    if most > allowed:
        yield f"{server.id} with a limit of {rate} got {most} requests in 4 s"


def _check_bad_request(
    fleet: SoakFleet, host_by_name: dict[str, HostProcess]
) -> Iterator[str]:
    ended_at = sorted(at for s in fleet.servers for at in s.conduct.ended_under_bad)
    if len(ended_at) < 3:
        return
    known_from = ended_at[2] + STABLE_WINDOW_S
    late = []
    for server in fleet.servers:
        for at, request_id in server.conduct.bad_arrivals:
            host = host_by_name["-".join(request_id.split("-")[1:3])]
            is_excused = _is_disturbed(host, at - STABLE_WINDOW_S, at)
            if at > known_from and not is_excused:
                late.append(request_id)
    if len(late) > MAX_LATE_BAD_REQUESTS:
        yield f"a request that ends servers reached {len(late)} more: {late[:4]}"
