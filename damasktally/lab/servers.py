"""Model a server: slots, a queue, and objects that it knows."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from damasktally.fleet.model import Server

WARM_PART = 0.33
"""Part of the time that work on a known object takes."""
KNOWN_OBJECTS = 48
KNOWN_S = 20.0
"""How many objects a server knows, and how long after it worked on one."""


@dataclass(slots=True)
class Job:
    """Hold a request that is at a server.

    :param done: called with the time and whether it ran.
    """

    key: bytes
    work_s: float
    ends: float
    done: Callable[[float, bool], None]


@dataclass
class ModelServer:
    """Work on jobs in order of arrival.

    :param later: calls a function at a time.
    """

    server: Server
    later: Callable[[float, Callable[[], None]], None]
    rng: Random
    speed: float = 1.0
    shed_part: float = 0.0
    running: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    _known: OrderedDict[bytes, float] = field(default_factory=OrderedDict)

    def arrive(self, job: Job, now: float) -> None:
        """Start a job, let it wait, or turn it away."""
        if self.shed_part and self.rng.random() < self.shed_part:
            job.done(now, False)
        elif self.running < self.server.slots:
            self._start(job, now)
        else:
            self.waiting.append(job)

    def forget(self) -> None:
        """Forget every object, as a server does that was away."""
        self._known.clear()

    def _start(self, job: Job, now: float) -> None:
        self.running += 1
        known_at = self._known.get(job.key)
        warm = known_at is not None and now - known_at <= KNOWN_S
        mean_s = job.work_s * (WARM_PART if warm else 1.0) * self.speed
        ends = now + mean_s * self.rng.uniform(0.7, 1.3)
        self.later(ends, lambda: self._end(job, ends))

    def _end(self, job: Job, now: float) -> None:
        self.running -= 1
        self._known[job.key] = now
        self._known.move_to_end(job.key)
        if len(self._known) > KNOWN_OBJECTS:
            self._known.popitem(last=False)
        job.done(now, True)
        while self.waiting and self.running < self.server.slots:
            waiting = self.waiting.popleft()
            if waiting.ends > now:
                self._start(waiting, now)
            else:
                waiting.done(now, False)
