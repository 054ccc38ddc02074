"""Run entry hosts as processes, with stand-ins for the store and the servers."""

import os
import signal
import sys
from asyncio import create_subprocess_exec, sleep, wait_for
from asyncio.subprocess import Process
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from entry_harness import (
    BOUNDS,
    ReceivedRequest,
    StandInServer,
    StandInStore,
    make_answer,
    make_configuration,
    make_route,
)

from damasktally.standins.ports import free_port
from fault_soak.proxy import FaultProxy
from fault_soak.releases import PRESENT, Release
from fault_soak.server_conduct import ServerConduct

ROUTES = [make_route("read", "/read/"), make_route("pay", "/pay/", "non_idempotent")]
CUSTOMERS = ("acme", "birch")
SPARE_PORTS = 2
"""Ports that the platform gives each host for messages between hosts."""


@dataclass
class Run:
    """A single run of a request at a server.

    :param at: when it ran, in seconds of the monotonic clock.
    """

    server: str
    customer: str
    has_key: bool
    method: str
    at: float


@dataclass
class SoakServer(StandInServer):
    """Stand-in server that records the runs of each request."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    proxy: FaultProxy | None = None
    conduct: ServerConduct = field(default_factory=ServerConduct)
    started: int = 1

    def default_answer(self, request: ReceivedRequest) -> bytes | None:
        """Run a request, or refuse it with 421 if it is meant for another server."""
        headers = request.headers
        request_id = headers["request-id"]
        if headers.get("expect-instance") != self.id:
            return make_answer(request_id, 421, extra="Not-Run: 1\r\n")
        self.conduct.record_arrival(request_id)
        if self.conduct.ends_under(request.line):
            return None
        if self.conduct.pause_s:
            self.conduct.record_told(request_id, "pause")
            extra = f"Not-Run: 1\r\nRetry-After: {self.conduct.pause_s}\r\n"
            return make_answer(request_id, 503, extra=extra)
        run = Run(
            self.id,
            headers.get("tenant", ""),
            "key" in headers,
            request.line.partition(" ")[0],
            monotonic(),
        )
        self.runs.setdefault(request_id, []).append(run)
        extra = self.conduct.report_headers(request_id)
        return make_answer(request_id, body=f"{request_id}@{self.id}", extra=extra)

    def registration(
        self, state: str = "ready", cold_left: str = "0ms", started: int = 1
    ) -> dict:
        """Return the server's entry for the store, with its proxy's address."""
        return {
            **super().registration(state, cold_left, max(started, self.started)),
            "Addr": f"127.0.0.1:{self.proxy.port}",
        }


class HostProcess:
    """An entry host in a process of its own.

    ``release`` is the version that it runs from its next start on.
    """

    def __init__(
        self, name: str, location: tuple[str, str], cores: float, release: Release
    ) -> None:
        self.name = name
        self.release = release
        self.region, self.data_centre = location
        self.cores = cores
        ports = ("callers", "readiness", "directory", "peers")
        self.ports = {port: free_port() for port in ports}
        self._spare_ports = [free_port() for _ in range(SPARE_PORTS)]
        self.store_proxy: FaultProxy | None = None
        self.process: Process | None = None
        self.is_paused = False
        self.is_stopping = False
        self.disturbed_at: list[float] = []

    async def start(
        self, folder: Path, seeds: list[str], region_by_data_centre: dict
    ) -> None:
        """Write the settings file and start the process, with its log in a file."""
        path = folder / f"{self.name}.ini"
        values = self._platform_values(seeds, region_by_data_centre)
        path.write_text(self.release.render_settings(values), encoding="utf-8")
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                "-m",
                "damasktally.entry",
                str(path),
                cwd=self.release.root,
                env=self.release.environment,
                stdout=log,
                stderr=log,
            )

    def _platform_values(
        self, seeds: list[str], region_by_data_centre: dict
    ) -> dict[str, Any]:
        """Return what the platform fills into the settings template."""
        address = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        return {
            "NodeName": self.name,
            "Ip": "127.0.0.1",
            "Region": self.region,
            "Zone": self.data_centre,
            "Listen.Front": address["callers"],
            "Listen.ReadyAddr": address["readiness"],
            "Listen.Directory": address["directory"],
            "Listen.Control": address["peers"],
            "PortRange.0": self._spare_ports[0],
            "PortRange.1": self._spare_ports[1],
            "Zones": region_by_data_centre,
            "Seeds": ",".join(seeds),
            "Bootstrap": False,
            "Provider.Addr": f"127.0.0.1:{self.store_proxy.port}",
            "Bounds": BOUNDS,
            "Limits.Cores": self.cores,
            "Limits.CpuShare": 1.0,
            "Limits.LinkMbps": 1000,
            "Limits.MemoryMb": 200,
        }

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def ignores_signal(self, number: int) -> bool:
        """Return whether the process ignores a signal, according to the kernel."""
        return self._is_in_mask("SigIgn:", number)

    def catches_signal(self, number: int) -> bool:
        """Return whether the process handles a signal, according to the kernel."""
        return self._is_in_mask("SigCgt:", number)

    def _is_in_mask(self, field_name: str, number: int) -> bool:
        status = Path(f"/proc/{self.process.pid}/status")
        lines = status.read_text(encoding="ascii").splitlines()
        mask = next(line.split()[1] for line in lines if line.startswith(field_name))
        return bool(int(mask, 16) >> (number - 1) & 1)

    @property
    def handles_hangup(self) -> bool:
        """Return whether SIGHUP does not end the process.

        It does while the interpreter starts, before any line of the program runs.
        """
        return self.is_running and (
            self.ignores_signal(signal.SIGHUP) or self.catches_signal(signal.SIGHUP)
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process, by its id, if it is running."""
        if self.is_running:
            self.disturbed_at.append(monotonic())
            with suppress(ProcessLookupError):
                # It may have ended a moment ago; the end of the run looks for that.
                os.kill(self.process.pid, number)
            self.is_paused = number == signal.SIGSTOP or (
                self.is_paused and number != signal.SIGCONT
            )

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Wait until the process ends, and kill it after a timeout.

        :returns: the exit code, or ``None`` if it was killed or never started.
        """
        if self.process is None:
            return None
        try:
            return await wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return None


class SoakFleet:
    """The entry hosts, servers and store that one seed is run against.

    :param folder: folder for settings and logs.
    :param host_count: number of entry hosts, spread over two data centres.
    :param server_count: number of backend servers, spread likewise.
    :param releases: versions that the hosts run in turn; a host that a fault
        restarts runs the next one.
    """

    def __init__(
        self,
        folder: Path,
        host_count: int,
        server_count: int,
        releases: Sequence[Release] = (PRESENT,),
    ) -> None:
        self.folder = folder
        self.releases = releases
        self.store = StandInStore()
        self.locations = [("north", "dc-1"), ("south", "dc-2")]
        self.region_by_data_centre = {
            data_centre: region for region, data_centre in self.locations
        }
        self.hosts = [
            HostProcess(
                f"h-{n:02d}",
                self.locations[n % 2],
                2.0 if n < 4 else 0.5,
                releases[n // 2 % len(releases)],
            )
            for n in range(host_count)
        ]
        self.servers = [
            SoakServer(f"s-{n}", zone=self.locations[n % 2][1])
            for n in range(server_count)
        ]
        self.version = 1
        self.withdrawn: list[str] = []
        self.limits: dict[str, tuple[float, float]] = dict.fromkeys(CUSTOMERS, (0, 0))
        """Rate and burst of each customer; 0 for no limit."""
        self.written_at: dict[int, float] = {}
        """When each version was written, in seconds of the monotonic clock."""

    async def start(self) -> None:
        """Start the stand-ins, then the hosts."""
        await self.store.start()
        await self.write_configuration()
        for server in self.servers:
            await server.start()
            server.proxy = FaultProxy(("127.0.0.1", server.port))
            await server.proxy.start()
            await self.store.write("servers", server.id, server.registration())
        for host in self.hosts:
            host.store_proxy = FaultProxy(("127.0.0.1", self.store.port))
            await host.store_proxy.start()
            await self.start_host(host)

    async def start_host(self, host: HostProcess) -> None:
        """Start a host, or restart it."""
        host.is_paused = False
        host.disturbed_at.append(monotonic())
        seeds = [f"127.0.0.1:{other.ports['peers']}" for other in self.hosts[:3]]
        await host.start(self.folder, seeds, self.region_by_data_centre)

    async def restart_host(self, host: HostProcess) -> None:
        """Start a host that has ended, with the next version."""
        following = self.releases.index(host.release) + 1
        host.release = self.releases[following % len(self.releases)]
        await self.start_host(host)

    async def write_configuration(self) -> None:
        """Write the current version of the configuration to the store.

        It contains a route with the version in its path, by which the version that a
        host serves can be checked.
        """
        newest = make_route("newest", f"/v{self.version}/", Public=True)
        customers = [
            {
                "Name": name,
                "ApiKeys": [k for k in keys_of(name) if k not in self.withdrawn],
                "RatePerS": rate,
                "Burst": burst,
            }
            for name, (rate, burst) in self.limits.items()
        ]
        cfg = make_configuration(self.version, [*ROUTES, newest], Tenants=customers)
        await self.store.write("config", "main", cfg)
        self.written_at.setdefault(self.version, monotonic())

    async def close(self) -> None:
        """Kill all host processes that are still running."""
        for host in self.hosts:
            if host.is_running:
                host.signal(signal.SIGCONT)
                host.process.kill()
            await host.wait_for_exit(5.0)
        await sleep(0)


def keys_of(customer: str) -> list[str]:
    """Return the API keys that a customer has initially."""
    return [f"{customer}-key-{n}" for n in range(4)]
