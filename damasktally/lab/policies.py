"""Define ways of choosing a server, the one of the product among them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from damasktally.decisions.server_selection import MAX_CANDIDATE_SERVERS, choose_server
from damasktally.fleet.model import Server

Outstanding = Callable[[Server], float]
"""Returns the number of outstanding requests at a server."""


@dataclass(frozen=True, slots=True)
class Policy:
    """Describe a way of choosing a server.

    :param pick: called with all servers, the servers that the object prefers, a
        function that returns the outstanding requests at a server, and the request's
        priority; returns a server, or ``None`` to refuse the request.
    :param retry_after_s: seconds after which refused callers retry; ``None`` uses the
        moving average of response times.
    """

    name: str
    pick: Callable[
        [Sequence[Server], Sequence[Server], Outstanding, int], Server | None
    ]
    retry_after_s: float | None = None


def _least_loaded(
    servers: Sequence[Server],
    ranked: Sequence[Server],
    outstanding: Outstanding,
    priority: int,
) -> Server | None:
    return choose_server([min(servers, key=outstanding)], outstanding, priority)


def _pick_among(max_candidates: int) -> Callable:
    def pick(
        servers: Sequence[Server],
        ranked: Sequence[Server],
        outstanding: Outstanding,
        priority: int,
    ) -> Server | None:
        return choose_server(ranked, outstanding, priority, max_candidates)

    return pick


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("product", _pick_among(MAX_CANDIDATE_SERVERS)),
        Policy("spill-3", _pick_among(3), 0.25),
        Policy("plain-hash", _pick_among(1), 0.25),
        Policy("least-loaded", _least_loaded, 0.25),
    )
}
