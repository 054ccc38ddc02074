"""Describe loads: who asks how often, and what happens to the servers."""

from collections.abc import Callable
from dataclasses import dataclass

STEADY_RATE = 340.0
"""Requests a second that warm servers bear with about half of their slots."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe one kind of request.

    :param part: part of all requests.
    :param priority: 0 is the most urgent.
    :param work_s: mean seconds of work on an object that the server does not know.
    :param aim_s: answers until then count whole, later ones :data:`LATE_PART`.
    :param worth: of one answer.
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
    """Describe a load and a disturbance.

    :param rate: requests a second at a moment.
    :param slow_part: part of the servers that work slowly between two moments.
    :param slow_times: how many times as long they take.
    :param gone_part: part of the servers that get nothing between two moments, and
        know no object afterwards.
    :param shed_part: part of the requests that servers turn away between two moments.
    :param began: start of the disturbance, in seconds.
    :param ended: its end.
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
        """Tell whether the disturbance lasts."""
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
