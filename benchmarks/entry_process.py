"""Run an entry host in a process of its own, and read its memory."""

import json
import sys
from asyncio import create_subprocess_exec, open_connection, sleep
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from damasktally.standins.ports import free_port
from features.steps.endless_client import KIB_PER_MB
from features.steps.entry_harness import BOUNDS

MAX_MEMORY_MB = 64
"""Memory that bodies may take, on top of that of an idle host."""
SETTINGS = """
[host]
name = host-1
region = north
data_centre = dc-1
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
metrics_port = {metrics}
[fleet]
data_centres = {{"dc-1": "north"}}
first_start = true
[store]
address = 127.0.0.1:{store}
[bounds]
agreed = {bounds}
[limits]
{limits}
"""


def format_settings(ports: dict[str, int], store_port: int, limits: str) -> str:
    """Return the settings of a host on the loopback address.

    :param ports: ports by name; metrics are disabled without one.
    :param limits: lines of the section with the limits.
    """
    return SETTINGS.format(
        **{"metrics": 0, **ports},
        store=store_port,
        bounds=json.dumps(BOUNDS),
        limits=limits,
    )


async def start_host(directory: str, store_port: int, link_mbps: int):
    """Start a host and wait until it is ready.

    :returns: its process, and its port for callers.
    """
    names = ("callers", "readiness", "directory", "peers")
    ports = {name: free_port() for name in names}
    text = format_settings(ports, store_port, f"link_mbps = {link_mbps}")
    path = Path(directory) / f"host-{link_mbps}.ini"
    path.write_text(text, encoding="utf-8")
    log = (Path(directory) / f"host-{link_mbps}.log").open("wb")
    process = await create_subprocess_exec(
        sys.executable, "-m", "damasktally.entry", str(path), stdout=log, stderr=log
    )
    while not await is_ready(ports["readiness"]):
        await sleep(0.1)
    return process, ports["callers"]


async def is_ready(port: int) -> bool:
    """Return whether the host says that it is ready."""
    try:
        reader, writer = await open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def read_memory_mb(process: Process, key: str) -> float:
    """Return a figure of a process's memory in MB.

    :param key: its name in the process's status file.
    """
    text = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in text.splitlines() if line.startswith(key + ":"))
    return int(line.split()[1]) / KIB_PER_MB


@dataclass(frozen=True)
class Measured:
    """Memory of a host before and during a load, in MB.

    :param result: what the load returned.
    """

    before_mb: float
    peak_mb: float
    result: int

    @property
    def text(self) -> str:
        """Return the figures as a part of a line."""
        return (
            f"before {self.before_mb:5.1f} MB  peak {self.peak_mb:6.1f} MB  "
            f"more {self.peak_mb - self.before_mb:6.1f} (bound {MAX_MEMORY_MB})"
        )


async def measure_memory(
    directory: str,
    store_port: int,
    link_mbps: int,
    load: Callable[[int], Awaitable[int]],
) -> Measured:
    """Start a host, put a load on it, and return what memory that took.

    :param load: called with the host's port for callers.
    """
    process, port = await start_host(directory, store_port, link_mbps)
    try:
        await sleep(1.0)
        before_mb = read_memory_mb(process, "VmRSS")
        result = await load(port)
        return Measured(before_mb, read_memory_mb(process, "VmHWM"), result)
    finally:
        process.terminate()
        await process.wait()
