"""Define loads: the request rate over time, and a disturbance of the servers."""

from collections.abc import Callable
from dataclasses import dataclass

STEADY_RATE = 340.0
"""Requests a second at which warm servers use about half of their slots."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe one kind of request.

    :param ratio: ratio of all requests that are of this kind.
    :param priority: 0 is the most urgent.
    :param work_s: mean seconds of work for an object that the server is cold for.
    :param target_latency_s: a response within this time has its whole worth, a later
        one only the ratio :data:`LATE_WORTH_RATIO` of it.
    :param deadline_s: time in seconds after which a response is worth nothing.
    :param worth: worth of one response.
    """

    name: str
    ratio: float
    priority: int
    work_s: float
    target_latency_s: float
    deadline_s: float
    worth: float


REQUEST_KINDS = (
    RequestKind("read", 0.7, 1, 0.36, 0.25, 2.0, 1.0),
    RequestKind("write", 0.3, 0, 0.48, 0.30, 2.5, 2.0),
)
LATE_WORTH_RATIO = 0.2


@dataclass(frozen=True, slots=True)
class Load:
    """Describe a load and a disturbance of the servers.

    :param rate: returns the requests a second at a time in seconds.
    :param slow_ratio: ratio of the servers that are slow during the disturbance.
    :param slowdown: factor by which these take longer.
    :param evacuated_ratio: ratio of the servers that get no requests during the
        disturbance, and are cold for every object afterwards.
    :param shed_ratio: ratio of the requests that each server refuses during the
        disturbance.
    :param disturbed_from_s: start of the disturbance.
    :param disturbed_until_s: end of the disturbance.
    """

    name: str
    rate: Callable[[float], float]
    slow_ratio: float = 0.0
    slowdown: float = 1.0
    evacuated_ratio: float = 0.0
    shed_ratio: float = 0.0
    disturbed_from_s: float = 0.0
    disturbed_until_s: float = 0.0

    def is_disturbed(self, now: float) -> bool:
        """Return whether the disturbance is active."""
        return self.disturbed_from_s <= now < self.disturbed_until_s


def _steady(now: float) -> float:
    return STEADY_RATE


def _double(now: float) -> float:
    return 2.0 * STEADY_RATE


def _surge(now: float) -> float:
    return STEADY_RATE * (2.5 if 8.0 <= now < 14.0 else 1.0)


LOADS = {
    load.name: load
    for load in (
        Load("steady", _steady),
        Load("double", _double),
        Load("surge", _surge),
        Load("slow", _double, 0.17, 3.9, disturbed_from_s=6.0, disturbed_until_s=12.0),
        Load(
            "evacuated",
            _double,
            evacuated_ratio=0.2,
            disturbed_from_s=2.0,
            disturbed_until_s=10.0,
        ),
        Load(
            "shedding",
            _double,
            shed_ratio=0.5,
            disturbed_from_s=8.0,
            disturbed_until_s=14.0,
        ),
    )
}
