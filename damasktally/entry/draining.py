"""Drain a host that is about to stop."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable

from damasktally.entry.ports import HostPorts

DRAIN_ACCEPT_S = 2.5
"""Callers that have not looked up again may still connect for this long after
SIGTERM, but for at most half of the time until the process is killed."""
STOP_MARGIN_S = 0.4
"""Time kept free before the process is killed, to end requests and connections."""


async def drain_requests(
    ports: HostPorts, announce: Callable[[], None], stop_timeout_s: float
) -> None:
    """Take requests a little longer, then let those under way finish.

    :param announce: tells the other hosts that this one is not ready any more.
    :param stop_timeout_s: time from SIGTERM until the process is killed.
    """
    loop = get_running_loop()
    deadline = loop.time() + stop_timeout_s - STOP_MARGIN_S
    ports.drain()
    announce()
    await sleep(min(DRAIN_ACCEPT_S, stop_timeout_s / 2))
    await ports.finish_requests(deadline)
