"""Check a history: one pure function for each promise."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktally.verification.history import Answered, History, RateLimit

SLACK = 1e-6
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


@dataclass(frozen=True, slots=True)
class Violation:
    """Tell which promise a history breaks, and how.

    :param promise: name of the checker.
    """

    promise: str
    detail: str


def check_links(history: History) -> list[str]:
    """A traffic shift never pushes an inter-region link past its cap."""
    crossed: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    region_of = history.limits.region_of
    for run in history.runs:
        host = region_of.get(run.host)
        server = region_of.get(run.server)
        if host is None or server is None or host == server:
            continue
        # Bytes arrived at some time up to the end; the latest is the worst case for
        # a window only if all came at once, so they are spread over the run.
        crossed[host, server].extend(
            _spread(run.started_at, run.ended_at, run.bytes_in)
        )
        crossed[server, host].extend(
            _spread(run.started_at, run.ended_at, run.bytes_out)
        )
    faults = []
    for link, points in crossed.items():
        limit = history.limits.links.get(link)
        if limit is None:
            continue
        lag = limit.rate * history.limits.link_lag_s
        over = _overflow(points, limit.rate, limit.burst + lag)
        if over > SLACK:
            faults.append(f"{link[0]}>{link[1]} exceeded its cap by {over:.0f} bytes")
    return faults


def check_slots(history: History) -> list[str]:
    """No steering decision overloads a region: servers never exceed their slots."""
    faults = []
    edges: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in history.runs:
        edges[run.server].append((run.started_at, 1))
        edges[run.server].append((run.ended_at, -1))
    for server, points in edges.items():
        slots = history.limits.slots.get(server)
        if slots is None:
            continue
        held = most = 0
        for _, step in sorted(points, key=lambda point: (point[0], point[1])):
            held += step
            most = max(most, held)
        if most > slots:
            faults.append(f"{server} worked on {most} requests with {slots} slots")
    return faults


def check_keys(history: History) -> list[str]:
    """A request runs only for the customer whose key came with it, unseen."""
    faults = []
    owner = {a.request_id: a for a in history.answered if a.request_id}
    withdrawn = {w.key: w for w in history.withdrawn}
    for run in history.runs:
        if run.key_seen:
            faults.append(f"{run.server} saw the key of request {run.request_id}")
        answer = owner.get(run.request_id)
        if answer is None:
            continue
        if answer.customer != run.customer:
            faults.append(
                f"request {run.request_id} of {answer.customer or 'nobody'} "
                f"ran for {run.customer or 'nobody'}"
            )
        gone = withdrawn.get(answer.key)
        if gone is None:
            continue
        late = run.started_at - gone.accepted_at
        if late > history.limits.within_s:
            faults.append(f"withdrawn key {answer.key} still ran after {late:.2f} s")
    return faults


def check_rates(history: History) -> list[str]:
    """No customer gets more than its rate and burst over all hosts together."""
    faults = []
    starts: dict[str, dict[str, float]] = defaultdict(dict)
    for run in history.runs:
        first = starts[run.customer].get(run.request_id, run.started_at)
        starts[run.customer][run.request_id] = min(first, run.started_at)
    for customer, requests in starts.items():
        limit = history.limits.customers.get(customer)
        if limit is None:
            continue
        allowed = _with_queue(limit, history.limits.queue_s)
        points = [(at, 1.0) for at in requests.values()]
        over = _overflow(points, limit.rate, allowed)
        if over > SLACK:
            faults.append(f"{customer} got {over:.2f} requests above rate and burst")
    return faults


def check_answers(history: History) -> list[str]:
    """A caller receives the whole answer to its own request."""
    return [
        f"request {a.request_id} got status {a.status} with a wrong or partial body"
        for a in history.answered
        if not a.whole and not a.connection_failed and not a.outcome
    ]


def check_not_run(history: History) -> list[str]:
    """A refusal that says 'not run' is true."""
    ran = {run.request_id for run in history.runs}
    return [
        f"request {a.request_id} was refused as not run ({a.reason}), but it ran"
        for a in history.answered
        if a.outcome == "not-run" and a.request_id in ran
    ]


def check_once(history: History) -> list[str]:
    """A non-idempotent request runs at most once."""
    unsafe = [run for run in history.runs if run.method not in SAFE_METHODS]
    by_request = Counter(run.request_id for run in unsafe)
    faults = [
        f"request {request} ran {times} times"
        for request, times in by_request.items()
        if times > 1
    ]
    by_key = Counter(
        (run.customer, run.idempotency_key) for run in unsafe if run.idempotency_key
    )
    faults.extend(
        f"idempotency key {key} of {customer} ran {times} times"
        for (customer, key), times in by_key.items()
        if times > 1
    )
    return faults


def check_drains(history: History) -> list[str]:
    """A leaving backend server receives no new work after a few seconds."""
    faults = []
    for drain in history.drained:
        for run in history.runs:
            late = run.started_at - drain.accepted_at
            if run.server == drain.server and late > history.limits.within_s:
                faults.append(f"{drain.server} got work {late:.2f} s after its drain")
    return faults


def check_stops(history: History) -> list[str]:
    """A planned stop cuts no request."""
    faults = []
    for stop in history.stopped:
        for answer in history.answered:
            if answer.host == stop.host and _overlaps(answer, stop.asked_at):
                faults.append(
                    f"{stop.host} cut request {answer.request_id or 'without id'}"
                )
    return faults


def check_configuration(history: History) -> list[str]:
    """An accepted configuration is in force everywhere and never reverts."""
    faults = []
    samples = defaultdict(list)
    for sample in history.in_force:
        samples[sample.host].append(sample)
    for host, seen in samples.items():
        seen.sort(key=lambda sample: sample.sampled_at)
        highest = 0
        for sample in seen:
            if sample.revision < highest:
                faults.append(f"{host} went back to revision {sample.revision}")
            highest = max(highest, sample.revision)
            for change in history.accepted:
                age = sample.sampled_at - change.accepted_at
                behind = sample.revision < change.revision
                if behind and age > history.limits.config_within_s:
                    faults.append(
                        f"{host} lacked revision {change.revision} after {age:.2f} s"
                    )
    return faults


CHECKERS: dict[str, Callable[[History], list[str]]] = {
    "links": check_links,
    "slots": check_slots,
    "keys": check_keys,
    "rates": check_rates,
    "answers": check_answers,
    "not-run": check_not_run,
    "once": check_once,
    "drains": check_drains,
    "stops": check_stops,
    "configuration": check_configuration,
}


def check_all(history: History) -> list[Violation]:
    """Run every checker."""
    return [
        Violation(name, fault)
        for name, check in CHECKERS.items()
        for fault in check(history)
    ]


def _with_queue(limit: RateLimit, queue_s: float) -> float:
    """Return the burst at the servers, whose starts lag admissions by the queue."""
    return limit.burst + limit.rate * queue_s


def _overflow(
    points: Iterable[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return by how much points exceed ``rate x T + burst`` in any window."""
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


def _spread(start: float, end: float, amount: int) -> list[tuple[float, float]]:
    steps = max(1, min(100, int((end - start) / 0.01)))
    width = (end - start) / steps
    return [(start + width * (i + 1), amount / steps) for i in range(steps)]


def _overlaps(answer: Answered, asked_at: float) -> bool:
    return answer.connection_failed and answer.ended_at >= asked_at
