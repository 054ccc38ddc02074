"""An entry host in a process of its own that has little memory and few descriptors."""

import resource
import signal
import subprocess
import sys
from asyncio import sleep
from pathlib import Path

from benchmarks.entry_process import format_settings, is_ready
from damasktally.standins.ports import free_port

PORTS = ("callers", "readiness", "directory", "peers", "metrics")
BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
START_TIMEOUT_S = 15.0
READY_INTERVAL_S = 0.1
SAMPLE_INTERVAL_S = 0.05


class LimitedHost:
    """An entry host process with limits on memory and descriptors.

    The limit on descriptors is enforced by the kernel, that on memory only stated to
    the host. ``ports`` holds its ports by their names in the settings, and
    ``peak_descriptors`` the most that were open when :meth:`watch` looked.

    :param directory: for the settings file and the log.
    """

    def __init__(
        self, directory: str, store_port: int, memory_mb: int, max_descriptors: int
    ) -> None:
        self.ports = {name: free_port() for name in PORTS}
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.peak_descriptors = 0
        self._path = Path(directory) / "host.ini"
        text = format_settings(self.ports, store_port, f"memory_mb = {memory_mb}")
        self._path.write_text(text, encoding="utf-8")
        self._process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start the process and wait until the host is ready."""
        with self._path.with_suffix(".log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damasktally.entry", str(self._path)],
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        for _ in range(int(START_TIMEOUT_S / READY_INTERVAL_S)):
            if await is_ready(self.ports["readiness"]):
                return
            await sleep(READY_INTERVAL_S)
        raise AssertionError("the host was not ready in time")

    def _limit_descriptors(self) -> None:
        limits = (self.max_descriptors, self.max_descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def watch(self) -> None:
        """Record the number of open descriptors until cancelled."""
        folder = Path(f"/proc/{self._process.pid}/fd")
        while self.is_alive:
            count = sum(1 for _ in folder.iterdir())
            self.peak_descriptors = max(self.peak_descriptors, count)
            await sleep(SAMPLE_INTERVAL_S)

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """Return the peak of the resident memory in MB of 1,000,000 bytes."""
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        line = next(item for item in status.splitlines() if item.startswith("VmHWM:"))
        return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB

    def end(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
