"""Run stand-in callers that look up hosts, send requests and check responses."""

from collections.abc import Callable
from dataclasses import dataclass, field
from json import loads
from random import Random
from threading import Event, Lock, Thread

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from damasktally.clock import seconds_since_boot
from damasktally.demo.backend import make_response_body
from damasktally.escrow.token_bucket import TokenBucket
from damasktally.forwarding.refusals import (
    CLAIM_UNAVAILABLE,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from damasktally.verification.history import History, RateLimit, RequestResult

REQUEST_TIMEOUT_S = 35.0
LOOKUP_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Credentials:
    """A customer's key: its name and its secret."""

    customer: str
    key_name: str
    secret: str


@dataclass
class ReferenceBucket:
    """Central token bucket that decides whether a request is within a customer's rate.

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

    def take_token(self) -> bool:
        """Take a token if there is one.

        :returns: whether there was one, so that the request is within the rate.
        """
        with self._lock:
            return self._bucket.take(1.0, seconds_since_boot())


class CallerClient:
    """Send requests as one caller's program does.

    :param entries: addresses of the hosts that the first look-up is sent to.
    :param client: the caller's address, for which hosts are looked up.
    :param response_bytes: size of the stand-in servers' responses, in bytes.
    :param follow_lookup: whether to use the hosts that a look-up returns; otherwise
        only those of ``entries``.
    """

    def __init__(
        self,
        entries: list[str],
        client: str,
        credentials: Credentials | None,
        history: History,
        response_bytes: int,
        follow_lookup: bool = True,
    ) -> None:
        self._entries = entries
        self._client_address = client
        self._credentials = credentials
        self._history = history
        self._response_bytes = response_bytes
        self._follow_lookup = follow_lookup
        self._hosts: list[tuple[str, str]] = []
        self._hosts_expire_at = 0.0
        self._pools: dict[str, HTTPConnectionPool] = {}

    def preferred_hosts(self) -> list[tuple[str, str]]:
        """Return names and addresses of the hosts to use, best first."""
        if seconds_since_boot() < self._hosts_expire_at:
            return self._hosts
        known = [address for _, address in self._hosts]
        for entry in [*known, *self._entries]:
            found = self._fetch_hosts(entry)
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
    ) -> RequestResult:
        """Send a request to the best host, and a GET that failed to the next ones."""
        result = None
        for name, address in self.preferred_hosts()[:3]:
            result = self.send_to(name, address, method, path, headers, body)
            repeatable = method == "GET" and (
                result.connection_failed or result.reason == "isolated"
            )
            if not repeatable:
                return result
            self._hosts_expire_at = 0.0
        return result

    def send_to(
        self,
        name: str,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> RequestResult:
        """Send a request to one host and record the result."""
        sent_at = seconds_since_boot()
        try:
            resp = self._send_request(address, method, path, headers or {}, body)
            result = self._parse_response(name, method, resp, sent_at)
        except (HTTPError, OSError):
            result = self._make_result(name, "", 0, "", "", sent_at, False, True)
        self._history.add(result)
        return result

    def _fetch_hosts(self, entry: str) -> list[tuple[str, str]]:
        path = f"/v1/lookup?client={self._client_address}"
        try:
            resp = self._send_request(entry, "GET", path, {}, None, LOOKUP_TIMEOUT_S)
            lookup = loads(resp.data)
        except (HTTPError, OSError, ValueError):
            return []
        if not self._follow_lookup:
            return [("", entry)]
        self._hosts_expire_at = seconds_since_boot() + lookup["lifetime_s"]
        return [(host["host"], host["address"]) for host in lookup["hosts"]]

    def _send_request(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float = REQUEST_TIMEOUT_S,
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

    def _parse_response(
        self, name: str, method: str, resp: BaseHTTPResponse, sent_at: float
    ) -> RequestResult:
        request_id = resp.headers.get("X-Request-Id", "")
        outcome = resp.headers.get(OUTCOME_HEADER, "")
        expected = make_response_body(request_id, self._response_bytes)
        is_complete = method == "HEAD" or resp.data == expected
        return self._make_result(
            name,
            request_id,
            resp.status,
            outcome,
            resp.headers.get(REASON_HEADER, ""),
            sent_at,
            is_complete,
            False,
        )

    def _make_result(
        self,
        name: str,
        request_id: str,
        status: int,
        outcome: str,
        reason: str,
        sent_at: float,
        is_complete: bool,
        connection_failed: bool,
    ) -> RequestResult:
        credentials = self._credentials
        return RequestResult(
            request_id=request_id,
            customer=credentials.customer if credentials else "",
            key_name=credentials.key_name if credentials else "",
            host=name,
            status=status,
            outcome=outcome,
            reason=reason,
            sent_at=sent_at,
            ended_at=seconds_since_boot(),
            is_complete=is_complete,
            connection_failed=connection_failed,
        )


@dataclass
class CustomerStats:
    """Results of one customer's requests.

    :param claim_refusals: requests that were refused because the platform could not
        reserve the idempotency key. While the platform is down, nothing else is
        guaranteed for them.
    :param latencies_s: durations of the served requests, in seconds.
    """

    served: int = 0
    claim_refusals: int = 0
    refused_within_rate: int = 0
    refused_over_rate: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def add(self, result: RequestResult, is_within_rate: bool) -> None:
        """Count a result.

        :param is_within_rate: whether the request was within the customer's rate.
        """
        if result.status == 200 and result.is_complete:
            self.served += 1
            self.latencies_s.append(result.ended_at - result.sent_at)
        elif result.outcome != "not-run":
            self.failed += 1
        elif result.reason == CLAIM_UNAVAILABLE.code:
            self.claim_refusals += 1
        elif is_within_rate:
            self.refused_within_rate += 1
        else:
            self.refused_over_rate += 1

    def latency_percentile(self, fraction: float) -> float:
        """Return a percentile of the latency, in seconds.

        :param fraction: the percentile as a number from 0 to 1.
        """
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass
class LoadGenerator:
    """Send a customer's requests at random times at a given rate, in an open loop.

    A request is sent when it is due, whether or not the earlier ones have ended, as
    long as a client's thread is free.

    :param target_rate: returns the rate at which to send, in requests per second.
    :param choose_request: returns method, path and headers of the next request.
    """

    clients: list[CallerClient]
    reference_bucket: ReferenceBucket
    target_rate: Callable[[], float]
    choose_request: Callable[[Random], tuple[str, str, dict[str, str]]]
    rng: Random
    stats: CustomerStats = field(default_factory=CustomerStats)
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

    def reset_stats(self) -> None:
        """Discard the results so far."""
        with self._lock:
            self.stats = CustomerStats()

    def _run(self, client: CallerClient, rng: Random, stopping: Event) -> None:
        due_at = seconds_since_boot()
        while not stopping.is_set():
            due_at += rng.expovariate(self.target_rate() / len(self.clients))
            if stopping.wait(max(0.0, due_at - seconds_since_boot())):
                return
            due_at = max(due_at, seconds_since_boot() - 0.5)
            method, path, headers = self.choose_request(rng)
            is_within_rate = self.reference_bucket.take_token()
            result = client.send(method, path, headers)
            with self._lock:
                self.stats.add(result, is_within_rate)
