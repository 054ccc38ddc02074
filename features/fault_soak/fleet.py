"""Run entry hosts as processes, beside stand-ins for the store and the servers."""

import json
import os
import signal
import sys
from asyncio import create_subprocess_exec, sleep, wait_for
from asyncio.subprocess import Process
from dataclasses import dataclass, field
from pathlib import Path

from entry_harness import (
    BOUNDS,
    Arrival,
    StandInServer,
    StandInStore,
    answer,
    make_configuration,
    make_route,
)

from damasktally.standins.ports import free_port
from fault_soak.proxy import Proxy

ROOT = Path(__file__).resolve().parent.parent.parent
ROUTES = [make_route("read", "/read/"), make_route("pay", "/pay/", "non_idempotent")]
TENANTS = ("acme", "birch")
ENTRY = """
[host]
name = {name}
region = {region}
data_centre = {data_centre}
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
metrics_port = 0
[fleet]
data_centres = {data_centres}
seeds = {seeds}
[store]
address = 127.0.0.1:{store}
[bounds]
agreed = {bounds}
[limits]
cores = {cores}
"""


@dataclass
class Run:
    """Describe one run of a request at a server."""

    server: str
    customer: str
    has_key: bool
    method: str


@dataclass
class SoakServer(StandInServer):
    """Run requests, and remember which."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    proxy: Proxy | None = None

    def answer(self, arrival: Arrival) -> bytes:
        """Run a request, unless it is meant for another server."""
        headers = arrival.headers
        request_id = headers["request-id"]
        if headers.get("expect-instance") != self.id:
            return answer(request_id, 421, extra="Not-Run: 1\r\n")
        run = Run(
            self.id,
            headers.get("tenant", ""),
            "key" in headers,
            arrival.line.partition(" ")[0],
        )
        self.runs.setdefault(request_id, []).append(run)
        return answer(request_id, body=f"{request_id}@{self.id}")

    def registration(
        self, state: str = "ready", cold: str = "0ms", born: int = 1
    ) -> dict:
        """Return what the server writes about itself: its proxy's address."""
        return {
            **super().registration(state, cold, born),
            "Addr": f"127.0.0.1:{self.proxy.port}",
        }


class HostProcess:
    """Start, stop and signal one entry host."""

    def __init__(self, name: str, place: tuple[str, str], cores: float) -> None:
        self.name = name
        self.region, self.data_centre = place
        self.cores = cores
        ports = ("callers", "readiness", "directory", "peers")
        self.ports = {port: free_port() for port in ports}
        self.store: Proxy | None = None
        self.process: Process | None = None
        self.frozen = False
        self.stopping = False

    async def start(self, folder: Path, seeds: list[str], centres: dict) -> None:
        """Write the settings and start the process; its log goes to a file."""
        path = folder / f"{self.name}.ini"
        text = ENTRY.format(
            name=self.name,
            region=self.region,
            data_centre=self.data_centre,
            data_centres=json.dumps(centres),
            seeds=",".join(seeds),
            store=self.store.port,
            bounds=json.dumps(BOUNDS),
            cores=self.cores,
            **self.ports,
        )
        path.write_text(text, encoding="utf-8")
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await create_subprocess_exec(
                sys.executable,
                "-m",
                "damasktally.entry",
                str(path),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Tell whether the process lives."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, by its id, if it lives."""
        if self.running:
            os.kill(self.process.pid, number)
            self.frozen = number == signal.SIGSTOP or (
                self.frozen and number != signal.SIGCONT
            )

    async def end(self, limit_s: float) -> int | None:
        """Wait until the process ends, and kill it when it takes too long."""
        if self.process is None:
            return None
        try:
            return await wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return None


class SoakFleet:
    """Hold everything that one seed runs against.

    :param folder: where settings and logs lie.
    :param hosts: how many entry hosts, in two data centres.
    :param servers: how many backend servers.
    """

    def __init__(self, folder: Path, hosts: int, servers: int) -> None:
        self.folder = folder
        self.store = StandInStore()
        self.places = [("north", "dc-1"), ("south", "dc-2")]
        self.centres = {centre: region for region, centre in self.places}
        self.hosts = [
            HostProcess(f"h-{n:02d}", self.places[n % 2], 2.0 if n < 4 else 0.5)
            for n in range(hosts)
        ]
        self.servers = [
            SoakServer(f"s-{n}", zone=self.places[n % 2][1]) for n in range(servers)
        ]
        self.version = 1
        self.withdrawn: list[str] = []

    async def start(self) -> None:
        """Start the stand-ins, then the hosts."""
        await self.store.start()
        await self.write_configuration()
        for server in self.servers:
            await server.start()
            server.proxy = Proxy(("127.0.0.1", server.port))
            await server.proxy.start()
            await self.store.write("servers", server.id, server.registration())
        for host in self.hosts:
            host.store = Proxy(("127.0.0.1", self.store.port))
            await host.store.start()
            await self.start_host(host)

    async def start_host(self, host: HostProcess) -> None:
        """Start a host, or start it again."""
        host.frozen = False
        seeds = [f"127.0.0.1:{other.ports['peers']}" for other in self.hosts[:3]]
        await host.start(self.folder, seeds, self.centres)

    async def write_configuration(self) -> None:
        """Write the version that is meant to be in force."""
        newest = make_route("newest", f"/v{self.version}/", Public=True)
        tenants = [
            {
                "Name": name,
                "ApiKeys": [k for k in keys_of(name) if k not in self.withdrawn],
                "RatePerS": 0,
                "Burst": 0,
            }
            for name in TENANTS
        ]
        cfg = make_configuration(self.version, [*ROUTES, newest], Tenants=tenants)
        await self.store.write("config", "main", cfg)

    async def close(self) -> None:
        """End every process that was started."""
        for host in self.hosts:
            if host.running:
                host.signal(signal.SIGCONT)
                host.process.kill()
            await host.end(5.0)
        await sleep(0)


def keys_of(tenant: str) -> list[str]:
    """Return the keys that a customer has at first."""
    return [f"{tenant}-key-{n}" for n in range(4)]
