"""Forward a request to another host, which reaches servers that this one does not."""

from asyncio import get_running_loop
from collections import Counter
from functools import partial
from random import Random

from damasktally.decisions.host_selection import MAX_HOSTS_TRIED, choose_host
from damasktally.entry.body_streams import BodyStreams
from damasktally.entry.connection_pool import ConnectionPool
from damasktally.entry.host_headers import HOST_HEADERS, REFUSAL, ForwardedRequest
from damasktally.entry.metrics import EntryMetrics
from damasktally.entry.outcome import Attempt, AttemptOutcome
from damasktally.entry.request_sender import RequestSender, SendOptions
from damasktally.entry.topology import FleetTopology
from damasktally.events.reasons import Reason
from damasktally.fleet.model import Member, RetryPolicy, Route
from damasktally.http1.messages import (
    Headers,
    Request,
    encode_request,
    end_to_end_headers,
)
from damasktally.platform.headers import REMAINING_MS

FORWARDED_AGAIN_REASONS = frozenset(
    reason.value.encode()
    for reason in (
        Reason.NO_CONFIGURATION,
        Reason.NO_SERVER,
        Reason.OLDER_CONFIGURATION,
        Reason.TOO_MANY_FORWARDED,
    )
)
"""Refusals of another host after which a request is forwarded to the next one."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Refusals that say that the request did not run."""


class HostForwarder:
    """Choose another host for a request, and send it there.

    A request is forwarded once: the receiver sends it to servers or refuses it.

    :param own: this host.
    :param topology: lists the other hosts, and what they do not reach.
    :param pool: idle connections to other hosts.
    :param streams: responses that are forwarded as they arrive.
    :param rng: chooses among hosts.
    """

    def __init__(
        self,
        own: Member,
        topology: FleetTopology,
        pool: ConnectionPool,
        streams: BodyStreams,
        metrics: EntryMetrics,
        rng: Random,
    ) -> None:
        self._own = own
        self._topology = topology
        self._sender = RequestSender(pool, streams)
        self._metrics = metrics
        self._rng = rng
        self._in_flight: Counter[str] = Counter()
        self._loop = get_running_loop()

    @property
    def own_name(self) -> str:
        """Return the name of this host."""
        return self._own.host

    def choose(
        self, service: str, home_regions: frozenset[str], tried: list[str]
    ) -> Member | None:
        """Return the host to which a request is forwarded, or None if there is none.

        :param home_regions: the only regions that may serve; empty allows all.
        :param tried: names of the hosts to which it was forwarded already.
        """
        if len(tried) >= MAX_HOSTS_TRIED:
            return None
        hosts = [
            host
            for host in self._topology.ready_hosts(self._loop.time())
            if host.member.host not in tried
        ]
        name = choose_host(
            hosts,
            service,
            home_regions,
            self._own.region,
            lambda host: self._in_flight[host],
            self._rng,
        )
        return next((h.member for h in hosts if h.member.host == name), None)

    async def send(
        self,
        req: Request,
        member: Member,
        route: Route,
        forwarded: ForwardedRequest,
        deadline: float,
    ) -> Attempt:
        """Forward a request, and return the outcome.

        :param member: the receiver.
        :param forwarded: what the receiver is told of the request.
        :param deadline: time on the event loop's clock in seconds.
        """
        started_at = self._loop.time()
        options = SendOptions(
            member.host,
            (member.peer_address[0], member.forwarding_port),
            partial(_encode, req, forwarded),
            deadline,
            route.retry_policy is RetryPolicy.NEVER,
        )
        self._in_flight[member.host] += 1
        try:
            outcome, response = await self._sender.send(req, options)
        finally:
            self._in_flight[member.host] -= 1
        refusal = response.header(REFUSAL) if response is not None else None
        if refusal is not None and response.status in NOT_RUN_STATUSES:
            outcome = AttemptOutcome.REFUSED_BY_HOST
        self._metrics.forwarded.labels(outcome.value).inc()
        return Attempt(
            f"host {member.host}",
            outcome,
            self._loop.time() - started_at,
            response,
            is_final=response is not None and refusal not in FORWARDED_AGAIN_REASONS,
        )


def _encode(req: Request, forwarded: ForwardedRequest, remaining_ms: int) -> bytes:
    excluded = HOST_HEADERS | {REMAINING_MS}
    headers: Headers = end_to_end_headers(req.headers, excluded)
    headers.append((REMAINING_MS, b"%d" % remaining_ms))
    headers += forwarded.encode()
    return encode_request(req.method, req.target, headers, req.body, req.upload)
