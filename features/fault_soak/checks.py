"""Check the guarantees of the fleet against what callers and servers recorded."""

from asyncio import sleep
from collections.abc import Iterator

from entry_harness import send_request

from fault_soak.callers import SentRequest
from fault_soak.faults import format_host_names
from fault_soak.fleet import HostProcess, Run, SoakFleet, keys_of

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SETTLE_TIMEOUT_S = 12.0
"""Time after the last fault until every host has to serve the newest version."""
POLL_S = 0.1
PROBE_ID = "probe"
"""Id of the requests by which the soak test itself checks hosts."""


def runs_of(fleet: SoakFleet) -> dict[str, list[Run]]:
    """Return the runs of each request at servers, without the soak test's own."""
    found: dict[str, list[Run]] = {}
    for server in fleet.servers:
        for request_id, runs in server.runs.items():
            if request_id == PROBE_ID:
                continue
            found.setdefault(request_id, []).extend(runs)
    return found


def find_violations(
    fleet: SoakFleet, requests: list[SentRequest], planned_only: bool
) -> Iterator[str]:
    """Yield a message for each violated guarantee.

    :param planned_only: whether only planned operations took place, in which case no
        request that a server ran may remain without an answer.
    """
    runs = runs_of(fleet)
    known = {request.id: request for request in requests}
    for request_id, found in runs.items():
        request = known.get(request_id)
        if request is None:
            yield f"{request_id} ran but no caller sent it"
            continue
        yield from _check_runs(request, found)
    for request in requests:
        yield from _check_answer(request, runs.get(request.id, []))
        # A request may be sent while the host closes the idle connection. It then gets
        # no answer, but is not forwarded either.
        unanswered = request.status == 0 and not request.abandoned
        if planned_only and unanswered and request.id in runs:
            yield f"{request.id} got no answer from {request.host} although it ran"


def _check_runs(request: SentRequest, found: list[Run]) -> Iterator[str]:
    if request.at_most_once and len(found) > 1:
        yield f"{request.id} ran {len(found)} times but may run only once"
    if any(run.has_key for run in found):
        yield f"{request.id}: its key was forwarded to a server"
    if any(run.customer != request.customer for run in found):
        yield f"{request.id} ran for another customer"


def _check_answer(request: SentRequest, found: list[Run]) -> Iterator[str]:
    if request.status in NOT_RUN_STATUSES and request.at_most_once and found:
        yield f"{request.id} was refused with {request.status} although it ran"
    if request.status == 200 and not found:
        yield f"{request.id} was answered with 200 but never ran"
    if request.status == 200 and request.body.partition("@")[0] != request.id:
        yield f"{request.id} got the answer of another request: {request.body}"
    if request.status in (413, 431) or (request.status == 404 and not request.version):
        yield f"{request.id} got {request.status}"


async def wait_until_settled(fleet: SoakFleet) -> list[str]:
    """Wait until all hosts serve the newest version; report those that do not."""
    waiting = list(fleet.hosts)
    for _ in range(int(SETTLE_TIMEOUT_S / POLL_S)):
        waiting = [
            host for host in waiting if not await _serves_newest_version(fleet, host)
        ]
        if not waiting:
            return []
        await sleep(POLL_S)
    return [f"not settled after {SETTLE_TIMEOUT_S} s: {format_host_names(waiting)}"]


async def _serves_newest_version(fleet: SoakFleet, host: HostProcess) -> bool:
    port = host.ports["callers"]
    key = keys_of("acme")[0]
    try:
        newest = await send_request(
            port, f"/v{fleet.version}/x", key=None, request_id=PROBE_ID
        )
        served = await send_request(port, "/read/1", key=key, request_id=PROBE_ID)
        refused = [
            await send_request(port, "/read/1", key=key, request_id=PROBE_ID)
            for key in fleet.withdrawn
        ]
    except (OSError, EOFError, AssertionError):
        return False
    return newest.status == served.status == 200 and all(
        answer.status == 401 for answer in refused
    )
