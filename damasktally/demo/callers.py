"""Stand in for callers: look up hosts, send requests, check and record answers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from json import loads
from random import Random
from threading import Event, Lock, Thread

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from damasktally.clock import seconds_since_boot
from damasktally.demo.backend import answer_body
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.forwarding.refusals import (
    CLAIM_UNAVAILABLE,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from damasktally.verification.history import Answered, History, RateLimit

CALL_TIMEOUT_S = 35.0
LOOKUP_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Credentials:
    """Name a key and hold its secret."""

    customer: str
    key_name: str
    secret: str


@dataclass
class RateReference:
    """Tell whether a request is inside a customer's rate, as one bucket would.

    :param limit: the customer's rate and burst.
    """

    limit: RateLimit
    _bucket: TokenBucket = field(init=False)
    _lock: Lock = field(default_factory=Lock)

    def __post_init__(self) -> None:
        self._bucket = TokenBucket(
            rate=self.limit.rate,
            depth=self.limit.burst,
            updated_at=seconds_since_boot(),
        )

    def inside(self) -> bool:
        """Take a token, if there is one."""
        with self._lock:
            return self._bucket.take(1.0, seconds_since_boot())


class CallerClient:
    """Send requests as one caller's program would.

    :param entries: hosts to ask first.
    :param client: the address that the look-up is made for.
    :param answer_bytes: size of the answers that the stand-in servers give.
    """

    def __init__(
        self,
        entries: list[str],
        client: str,
        credentials: Credentials | None,
        history: History,
        answer_bytes: int,
        follow_lookup: bool = True,
    ) -> None:
        self._entries = entries
        self._client = client
        self._credentials = credentials
        self._history = history
        self._answer_bytes = answer_bytes
        self._follow = follow_lookup
        self._hosts: list[tuple[str, str]] = []
        self._hosts_until = 0.0
        self._pools: dict[str, HTTPConnectionPool] = {}

    def hosts(self) -> list[tuple[str, str]]:
        """Return names and addresses of the hosts to use, best first."""
        if seconds_since_boot() < self._hosts_until:
            return self._hosts
        known = [address for _, address in self._hosts]
        for entry in [*known, *self._entries]:
            found = self._look_up(entry)
            if found:
                self._hosts = found
                return found
        return self._hosts or [("", entry) for entry in self._entries]

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answered:
        """Send a request to the best host; a safe one is repeated on the next."""
        answer = None
        for name, address in self.hosts()[:3]:
            answer = self.send_to(name, address, method, path, headers, body)
            repeatable = method == "GET" and (
                answer.connection_failed or answer.reason == "isolated"
            )
            if not repeatable:
                return answer
            self._hosts_until = 0.0
        return answer

    def send_to(
        self,
        name: str,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answered:
        """Send a request to one host and record the answer."""
        sent_at = seconds_since_boot()
        try:
            resp = self._request(address, method, path, headers or {}, body)
            answer = self._read(name, method, resp, sent_at)
        except (HTTPError, OSError):
            answer = self._answered(name, "", 0, "", "", sent_at, False, True)
        self._history.add(answer)
        return answer

    def _look_up(self, entry: str) -> list[tuple[str, str]]:
        path = f"/v1/lookup?client={self._client}"
        try:
            resp = self._request(entry, "GET", path, {}, None, LOOKUP_TIMEOUT_S)
            answer = loads(resp.data)
        except (HTTPError, OSError, ValueError):
            return []
        if not self._follow:
            return [("", entry)]
        self._hosts_until = seconds_since_boot() + answer["lifetime_s"]
        return [(host["host"], host["address"]) for host in answer["hosts"]]

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> BaseHTTPResponse:
        pool = self._pools.get(address)
        if pool is None:
            host, port = address.rsplit(":", 1)
            pool = HTTPConnectionPool(host, int(port), maxsize=4, retries=False)
            self._pools[address] = pool
        sent = dict(headers)
        if self._credentials is not None:
            sent["Authorization"] = f"Bearer {self._credentials.secret}"
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=sent,
            retries=False,
            timeout=Timeout(timeout_s),
        )

    def _read(
        self, name: str, method: str, resp: BaseHTTPResponse, sent_at: float
    ) -> Answered:
        request_id = resp.headers.get("X-Request-Id", "")
        outcome = resp.headers.get(OUTCOME_HEADER, "")
        expected = answer_body(request_id, self._answer_bytes)
        whole = method == "HEAD" or resp.data == expected
        return self._answered(
            name,
            request_id,
            resp.status,
            outcome,
            resp.headers.get(REASON_HEADER, ""),
            sent_at,
            whole,
            False,
        )

    def _answered(
        self,
        name: str,
        request_id: str,
        status: int,
        outcome: str,
        reason: str,
        sent_at: float,
        whole: bool,
        cut: bool,
    ) -> Answered:
        held = self._credentials
        return Answered(
            request_id=request_id,
            customer=held.customer if held else "",
            key=held.key_name if held else "",
            host=name,
            status=status,
            outcome=outcome,
            reason=reason,
            sent_at=sent_at,
            ended_at=seconds_since_boot(),
            whole=whole,
            connection_failed=cut,
        )


@dataclass
class Tally:
    """Count how one customer fared.

    :param unclaimed: refused because the platform could not reserve the idempotency
        key; nothing else is promised while it is down.
    """

    served: int = 0
    unclaimed: int = 0
    refused_in_rate: int = 0
    refused_over_rate: int = 0
    failed: int = 0
    seconds: list[float] = field(default_factory=list)

    def add(self, answer: Answered, inside: bool) -> None:
        """Count an answer.

        :param inside: whether the request was inside the customer's rate.
        """
        if answer.status == 200 and answer.whole:
            self.served += 1
            self.seconds.append(answer.ended_at - answer.sent_at)
        elif answer.outcome != "not-run":
            self.failed += 1
        elif answer.reason == CLAIM_UNAVAILABLE.code:
            self.unclaimed += 1
        elif inside:
            self.refused_in_rate += 1
        else:
            self.refused_over_rate += 1

    def percentile(self, part: float) -> float:
        """Return a percentile of the latency, in seconds."""
        if not self.seconds:
            return 0.0
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@dataclass
class LoadSource:
    """Send a customer's requests at random times with a given rate.

    Requests leave on time whatever became of the earlier ones (an open loop), as
    long as a thread is free.

    :param demand: returns requests a second.
    :param choose: returns method, path and headers of the next request.
    """

    clients: list[CallerClient]
    reference: RateReference
    demand: Callable[[], float]
    choose: Callable[[Random], tuple[str, str, dict[str, str]]]
    rng: Random
    tally: Tally = field(default_factory=Tally)
    _lock: Lock = field(default_factory=Lock)

    def start(self, stopping: Event) -> list[Thread]:
        """Start one thread for each client."""
        threads = []
        for client in self.clients:
            rng = Random(self.rng.random())
            thread = Thread(target=self._run, args=(client, rng, stopping), daemon=True)
            thread.start()
            threads.append(thread)
        return threads

    def start_over(self) -> None:
        """Forget what was counted."""
        with self._lock:
            self.tally = Tally()

    def _run(self, client: CallerClient, rng: Random, stopping: Event) -> None:
        due = seconds_since_boot()
        while not stopping.is_set():
            due += rng.expovariate(self.demand() / len(self.clients))
            if stopping.wait(max(0.0, due - seconds_since_boot())):
                return
            due = max(due, seconds_since_boot() - 0.5)
            method, path, headers = self.choose(rng)
            inside = self.reference.inside()
            answer = client.send(method, path, headers)
            with self._lock:
                self.tally.add(answer, inside)
