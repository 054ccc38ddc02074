"""Check a history, with one pure function for each guarantee.

The first line of a checker's doc comment is the guarantee; the demo prints it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktally.verification.history import History, RateLimit, RequestResult

FLOAT_TOLERANCE = 1e-6
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee in a history.

    :param guarantee: name of the checker that found it.
    :param detail: what happened, in one sentence.
    """

    guarantee: str
    detail: str


def check_links(history: History) -> list[str]:
    """A traffic shift never makes an inter-region link exceed its cap."""
    traffic: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    region_of = history.limits.region_of
    for run in history.runs:
        host = region_of.get(run.host)
        server = region_of.get(run.server)
        if host is None or server is None or host == server:
            continue
        # The history does not record when each byte arrived. Counting all of them at
        # the end of the run would be right only if they came at once, so they are
        # spread evenly over the run.
        traffic[host, server].extend(
            _spread_evenly(run.started_at, run.ended_at, run.bytes_in)
        )
        traffic[server, host].extend(
            _spread_evenly(run.started_at, run.ended_at, run.bytes_out)
        )
    findings = []
    for link, points in traffic.items():
        limit = history.limits.links.get(link)
        if limit is None:
            continue
        lag_bytes = limit.rate * history.limits.max_link_lag_s
        excess = _max_excess(points, limit.rate, limit.burst + lag_bytes)
        if excess > FLOAT_TOLERANCE:
            findings.append(
                f"{link[0]}>{link[1]} exceeded its cap by {excess:.0f} bytes"
            )
    return findings


def check_slots(history: History) -> list[str]:
    """Steering never overloads a region: no server works on more than its slots."""
    findings = []
    slot_changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in history.runs:
        slot_changes[run.server].append((run.started_at, 1))
        slot_changes[run.server].append((run.ended_at, -1))
    for server, points in slot_changes.items():
        slots = history.limits.slots.get(server)
        if slots is None:
            continue
        in_use = peak = 0
        for _, step in sorted(points, key=lambda point: (point[0], point[1])):
            in_use += step
            peak = max(peak, in_use)
        if peak > slots:
            findings.append(f"{server} worked on {peak} requests with {slots} slots")
    return findings


def check_keys(history: History) -> list[str]:
    """A request runs only for its key's customer, and servers never receive the key."""
    findings = []
    results_by_id = {a.request_id: a for a in history.results if a.request_id}
    withdrawn = {w.key_name: w for w in history.withdrawals}
    for run in history.runs:
        if run.has_secret:
            findings.append(
                f"{run.server} received the key of request {run.request_id}"
            )
        result = results_by_id.get(run.request_id)
        if result is None:
            continue
        if result.customer != run.customer:
            findings.append(
                f"request {run.request_id} of {result.customer or 'nobody'} "
                f"ran for {run.customer or 'nobody'}"
            )
        withdrawal = withdrawn.get(result.key_name)
        if withdrawal is None:
            continue
        delay_s = run.started_at - withdrawal.accepted_at
        if delay_s > history.limits.max_enforcement_delay_s:
            findings.append(
                f"withdrawn key {result.key_name} still ran after {delay_s:.2f} s"
            )
    return findings


def check_rates(history: History) -> list[str]:
    """No customer exceeds its rate and burst over all hosts together."""
    findings = []
    first_starts: dict[str, dict[str, float]] = defaultdict(dict)
    for run in history.runs:
        first = first_starts[run.customer].get(run.request_id, run.started_at)
        first_starts[run.customer][run.request_id] = min(first, run.started_at)
    for customer, requests in first_starts.items():
        limit = history.limits.customers.get(customer)
        if limit is None:
            continue
        allowed = _burst_with_queue(limit, history.limits.max_queue_wait_s)
        points = [(at, 1.0) for at in requests.values()]
        excess = _max_excess(points, limit.rate, allowed)
        if excess > FLOAT_TOLERANCE:
            findings.append(
                f"{customer} ran {excess:.2f} requests above rate and burst"
            )
    return findings


def check_results(history: History) -> list[str]:
    """A caller receives the complete response to its own request."""
    return [
        f"request {a.request_id} had a wrong or partial body with status {a.status}"
        for a in history.results
        if not a.is_complete and not a.connection_failed and not a.outcome
    ]


def check_not_run(history: History) -> list[str]:
    """A request that is refused as 'not run' did not run."""
    ran = {run.request_id for run in history.runs}
    return [
        f"request {a.request_id} was refused as not run ({a.reason}), but it ran"
        for a in history.results
        if a.outcome == "not-run" and a.request_id in ran
    ]


def check_at_most_once(history: History) -> list[str]:
    """A non-idempotent request runs at most once."""
    unsafe = [run for run in history.runs if run.method not in SAFE_METHODS]
    by_request = Counter(run.request_id for run in unsafe)
    findings = [
        f"request {request} ran {times} times"
        for request, times in by_request.items()
        if times > 1
    ]
    by_key = Counter(
        (run.customer, run.idempotency_key) for run in unsafe if run.idempotency_key
    )
    findings.extend(
        f"idempotency key {key} of {customer} ran {times} times"
        for (customer, key), times in by_key.items()
        if times > 1
    )
    return findings


def check_drains(history: History) -> list[str]:
    """A draining backend server receives no new work after a few seconds."""
    findings = []
    for drain in history.drains:
        for run in history.runs:
            delay_s = run.started_at - drain.accepted_at
            if (
                run.server == drain.server
                and delay_s > history.limits.max_enforcement_delay_s
            ):
                findings.append(
                    f"{drain.server} received work {delay_s:.2f} s after its drain"
                )
    return findings


def check_shutdowns(history: History) -> list[str]:
    """A planned stop of a host aborts no request."""
    findings = []
    for stop in history.shutdowns:
        for result in history.results:
            if result.host == stop.host and _failed_after(result, stop.requested_at):
                findings.append(
                    f"{stop.host} aborted request {result.request_id or 'without id'}"
                )
    return findings


def check_configuration(history: History) -> list[str]:
    """An accepted configuration comes into force everywhere and never reverts."""
    findings = []
    samples = defaultdict(list)
    for sample in history.revision_samples:
        samples[sample.host].append(sample)
    for host, seen in samples.items():
        seen.sort(key=lambda sample: sample.sampled_at)
        highest = 0
        for sample in seen:
            if sample.revision < highest:
                findings.append(f"{host} went back to revision {sample.revision}")
            highest = max(highest, sample.revision)
            for change in history.changes:
                age = sample.sampled_at - change.accepted_at
                behind = sample.revision < change.revision
                if behind and age > history.limits.max_config_delay_s:
                    findings.append(
                        f"{host} lacked revision {change.revision} after {age:.2f} s"
                    )
    return findings


CHECKERS: dict[str, Callable[[History], list[str]]] = {
    "links": check_links,
    "slots": check_slots,
    "keys": check_keys,
    "rates": check_rates,
    "answers": check_results,
    "not-run": check_not_run,
    "once": check_at_most_once,
    "drains": check_drains,
    "stops": check_shutdowns,
    "configuration": check_configuration,
}


def check_all(history: History) -> list[Violation]:
    """Run every checker on a history."""
    return [
        Violation(name, detail)
        for name, check in CHECKERS.items()
        for detail in check(history)
    ]


def _burst_with_queue(limit: RateLimit, max_queue_wait_s: float) -> float:
    """Return the burst that may start at the servers, in requests.

    An admitted request may wait in a queue before it starts, so that requests of this
    time can start together.

    :param max_queue_wait_s: the longest wait, in seconds.
    """
    return limit.burst + limit.rate * max_queue_wait_s


def _max_excess(
    points: Iterable[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return by how much amounts exceed ``rate x T + burst`` in a window of T seconds.

    :param points: moments in seconds, and the amount at each.
    :param rate: allowed amount per second.
    :returns: the largest excess; 0 when no window exceeds the limit.
    """
    level = 0.0
    worst = 0.0
    last = None
    for at, amount in sorted(points):
        if last is not None:
            level = max(0.0, level - (at - last) * rate)
        level += amount
        worst = max(worst, level - burst)
        last = at
    return worst


def _spread_evenly(start: float, end: float, amount: int) -> list[tuple[float, float]]:
    steps = max(1, min(100, int((end - start) / 0.01)))
    width = (end - start) / steps
    return [(start + width * (i + 1), amount / steps) for i in range(steps)]


def _failed_after(result: RequestResult, requested_at: float) -> bool:
    return result.connection_failed and result.ended_at >= requested_at
