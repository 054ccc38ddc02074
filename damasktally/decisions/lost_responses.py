"""Judge responses that were lost: was it the server's end, or something else?

A loss is judged a moment later, when it is known which connections broke together. What
is learned of the request and of its server meanwhile counts as well.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.link_breaks import TOGETHER_S, LinkBreaks

DECISION_DELAY_S = TOGETHER_S + 0.05
"""A loss is judged this long after it, when breaks of the same link are known."""
EXCUSED_MEMORY_S = 10.0
"""A loss that is put down to the link counts after all if the server's process is not
registered any more within this long: it has ended."""


class Excuse(Enum):
    """Why a loss is not held against the request. The value is the word in the log."""

    OWN_LINK = "own-link"
    """Connections to nearly all other servers broke, too."""
    SERVER_LEFT = "server-left"
    """The server was leaving already."""


@dataclass(frozen=True, slots=True)
class LostResponse:
    """A response that was lost.

    :param fingerprint: recognises the request.
    :param server: id of the server.
    :param started_ms: Unix time of the start of the server's process in milliseconds.
    :param window: number of the time in which it was lost.
    :param lost_at: seconds on the event loop's clock.
    """

    fingerprint: str
    server: str
    started_ms: int
    window: int
    lost_at: float

    @property
    def process(self) -> str:
        """Return what identifies the process of the server."""
        return process_of(self.server, self.started_ms)


@dataclass(frozen=True, slots=True)
class ServerStates:
    """Functions that tell what this host knows of a server's process.

    Each takes the server's id and the Unix time of the start of the process in
    milliseconds.

    :param is_registered: returns whether the server still runs as that process.
    :param has_left: returns whether the process said that it leaves, drains, or is
        removed.
    """

    is_registered: Callable[[str, int], bool]
    has_left: Callable[[str, int], bool]


class LostResponses:
    """Hold losses until they are judged, and report those that count to the suspects.

    Times called ``now`` are in seconds on the event loop's clock.

    :param suspects: decides which requests are blocked.
    :param breaks: breaks of this host's connections to servers.
    :param servers: tells what became of the servers.
    """

    def __init__(
        self, suspects: CrashSuspects, breaks: LinkBreaks, servers: ServerStates
    ) -> None:
        self._suspects = suspects
        self._breaks = breaks
        self._servers = servers
        self._waiting: list[LostResponse] = []
        self._excused: list[LostResponse] = []
        self._answered_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._waiting) + len(self._excused)

    def add(self, loss: LostResponse) -> Excuse | None:
        """Hold a loss until it is judged, unless the server was leaving.

        :returns: why the loss does not count, if that is known at once.
        """
        if self._servers.has_left(loss.server, loss.started_ms):
            return Excuse.SERVER_LEFT
        self._waiting.append(loss)
        return None

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record that a server answered a request, maybe one whose loss is held."""
        self._suspects.record_answer(fingerprint, now)
        if any(loss.fingerprint == fingerprint for loss in self._held()):
            self._answered_at[fingerprint] = now

    def judge(self, now: float) -> list[LostResponse]:
        """Report the losses that are due to the suspects.

        :returns: those that are put down to this host's own link.
        """
        due = [loss for loss in self._waiting if now - loss.lost_at >= DECISION_DELAY_S]
        excused = []
        for loss in due:
            self._waiting.remove(loss)
            if self._breaks.is_own_link(loss.server, loss.lost_at):
                excused.append(loss)
            else:
                self._report(loss, now)
        self._excused += excused
        return excused

    def reconsider_excused(self, now: float) -> None:
        """Report the excused losses whose servers turned out to have ended."""
        for loss in list(self._excused):
            if not self._servers.is_registered(loss.server, loss.started_ms):
                self._excused.remove(loss)
                self._report(loss, now)
            elif now - loss.lost_at > EXCUSED_MEMORY_S:
                self._excused.remove(loss)
        held = {loss.fingerprint for loss in self._held()}
        for fingerprint in self._answered_at.keys() - held:
            del self._answered_at[fingerprint]

    def _held(self) -> list[LostResponse]:
        return [*self._waiting, *self._excused]

    def _report(self, loss: LostResponse, now: float) -> None:
        """Report a loss, with the last answer to the request that came meanwhile."""
        self._suspects.record_loss(
            loss.fingerprint,
            loss.process,
            loss.window,
            now,
            now - loss.lost_at,
            self._answered_at.get(loss.fingerprint, -inf),
        )


def process_of(server: str, started_ms: int) -> str:
    """Return what identifies a process of a server to all hosts."""
    return f"{server}/{started_ms}"
