"""Simulate a server with slots, a queue, and a cache of the objects it is warm for."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from damasktally.fleet.model import Server

WARM_WORK_RATIO = 0.33
"""Work on an object that the server is warm for, as a ratio of the work on another."""
MAX_WARM_OBJECTS = 48
WARM_S = 20.0
"""How many objects a server is warm for, and how long after its last work on one."""


@dataclass(slots=True)
class Job:
    """Hold a request that was sent to a server.

    :param work_s: mean seconds of work if the server is cold for the object.
    :param deadline_at: time after which a waiting job is not started any more.
    :param on_end: called with the time, and whether the job ran.
    """

    key: bytes
    work_s: float
    deadline_at: float
    on_end: Callable[[float, bool], None]


@dataclass
class SimulatedServer:
    """Run jobs in order of arrival.

    :param schedule: calls a function at a time of the simulated clock.
    :param slowdown: factor by which jobs take longer.
    :param shed_ratio: ratio of the jobs that are refused.
    :param max_warm_objects: how many objects it is warm for.
    """

    server: Server
    schedule: Callable[[float, Callable[[], None]], None]
    rng: Random
    slowdown: float = 1.0
    shed_ratio: float = 0.0
    max_warm_objects: int = MAX_WARM_OBJECTS
    running: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    _last_ended_at: OrderedDict[bytes, float] = field(default_factory=OrderedDict)

    def submit(self, job: Job, now: float) -> None:
        """Start a job, queue it, or refuse it."""
        if self.shed_ratio and self.rng.random() < self.shed_ratio:
            job.on_end(now, False)
        elif self.running < self.server.slots:
            self._start(job, now)
        else:
            self.waiting.append(job)

    def clear_cache(self) -> None:
        """Become cold for every object, as a server is after an evacuation."""
        self._last_ended_at.clear()

    def _start(self, job: Job, now: float) -> None:
        self.running += 1
        last_ended_at = self._last_ended_at.get(job.key)
        is_warm = last_ended_at is not None and now - last_ended_at <= WARM_S
        mean_s = job.work_s * (WARM_WORK_RATIO if is_warm else 1.0) * self.slowdown
        ends_at = now + mean_s * self.rng.uniform(0.7, 1.3)
        self.schedule(ends_at, lambda: self._end(job, ends_at))

    def _end(self, job: Job, now: float) -> None:
        self.running -= 1
        self._last_ended_at[job.key] = now
        self._last_ended_at.move_to_end(job.key)
        if len(self._last_ended_at) > self.max_warm_objects:
            self._last_ended_at.popitem(last=False)
        job.on_end(now, True)
        while self.waiting and self.running < self.server.slots:
            waiting = self.waiting.popleft()
            if waiting.deadline_at > now:
                self._start(waiting, now)
            else:
                waiting.on_end(now, False)
