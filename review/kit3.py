"""Run entry hosts as the deploy file does, with stand-ins for all that they speak to.

The store is the project's own stand-in. Backend servers and callers are small ones of
this file, which do what the users' pages say of sound ones.
"""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from shutil import rmtree
from socket import socket

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "features" / "steps"))

from entry_harness import StandInStore, make_configuration, make_route  # noqa: E402

__all__ = [
    "Caller",
    "Fleet",
    "Host",
    "Record",
    "Server",
    "encode_answer",
    "main",
    "make_route",
    "read_head",
]

PLACEHOLDER = re.compile(r"{{\s*([\w.]+)(\|json)?\s*}}")
START_TIMEOUT_S = 20.0
EXIT_COULD_NOT_RUN = 2
BOUNDS = [
    "StableWindow=3000ms",
    "Drain=2000ms",
    "Grace=6s",
    "LossSlack=200ms",
    "ConfigApply=2000ms",
    "RetryRatio=0.2",
    "RetryWindow=10s",
    "RetrySlack=64",
    "QuotaWindow=5s",
    "QuotaOverage=0.1",
    "QuotaSlack=20",
    "ttl_max=5s",
]


def as_table(bounds: list[str]) -> dict[str, object]:
    """Return the bounds as a table, with numbers as numbers."""
    table: dict[str, object] = {}
    for item in bounds:
        name, _, value = item.partition("=")
        try:
            table[name] = float(value) if "." in value else int(value)
        except ValueError:
            table[name] = value
    return table


class Record:
    """Write what happens to ``record.txt``, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str, show: bool = False) -> None:
        """Write a line, and print it if it is to be shown."""
        line = f"{self.now:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if show:
            print(line, flush=True)


def free_ports(address: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    sockets = [socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((address, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


@dataclass
class Host:
    """An entry host in a process of its own, at a loopback address of its own."""

    name: str
    region: str
    zone: str
    ip: str
    ports: dict[str, int] = field(default_factory=dict)
    process: subprocess.Popen | None = None

    def __post_init__(self) -> None:
        names = ("callers", "readiness", "directory", "peers", "range0", "range1")
        self.ports = dict(zip(names, free_ports(self.ip, len(names)), strict=True))

    def address(self, port: str) -> str:
        """Return an address of this host as text."""
        return f"{self.ip}:{self.ports[port]}"

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait until the process has ended, and return its exit code."""
        deadline = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.process.poll()


@dataclass
class Server:
    """A sound backend server: it runs each request that is meant for it."""

    id: str
    service: str
    zone: str
    record: Record
    run_s: float = 0.02
    slots: int = 64
    port: int = 0
    extra_headers: Callable[[], str] = lambda: ""
    runs: list[tuple[float, str, str]] = field(default_factory=list)
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def registration(self, state: str = "ready") -> dict:
        """Return the entry of this server for the store."""
        return {
            "Addr": f"127.0.0.1:{self.port}",
            "born": self.born,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.zone,
                "Slots": self.slots,
            },
            "Status": {"State": state, "Seq": 1, "ColdLeft": "0ms"},
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                writer.write(await self.respond(line, headers, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, line: str, headers: dict[str, str], body: bytes) -> bytes:
        """Run a request, unless it is meant for another server."""
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance") != self.id:
            return encode_answer(421, request_id, "Not-Run: 1\r\n", b"")
        self.runs.append((self.record.now, request_id, headers.get("tenant", "")))
        self.record.write(f"run {request_id} at {self.id} for {headers.get('tenant')}")
        await asyncio.sleep(self.run_s)
        extra = f"Server-Stamp: {self.id}.{len(self.runs)}\r\n{self.extra_headers()}"
        return encode_answer(200, request_id, extra, request_id.encode())


def encode_answer(status: int, request_id: str, extra: str, body: bytes) -> bytes:
    """Encode an answer of a server."""
    head = (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (EOFError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {key.strip().lower(): value.strip() for key, value in pairs}


@dataclass
class Caller:
    """Send requests, one on a connection, and record the answers."""

    record: Record
    sent: dict[str, float] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)

    async def request(
        self,
        host: Host,
        request_id: str,
        path: str,
        key: str = "",
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> int:
        """Send a request, and return the status of the answer, or 0 without one."""
        self.sent[request_id] = self.record.now
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            + (f"Key: {key}\r\n" if key else "")
            + f"Content-Length: {len(body)}\r\n\r\n"
        )
        status = 0
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    host.ip, host.ports["callers"]
                )
                writer.write(head.encode() + body)
                answer = await read_head(reader)
                if answer is not None:
                    length = int(answer[1].get("content-length", "0"))
                    await reader.readexactly(length)
                    status = int(answer[0].split(" ")[1])
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.statuses[request_id] = status
        self.record.write(f"sent {request_id} to {host.name}: answered {status}")
        return status


class Fleet:
    """Entry hosts, backend servers and the store of one case."""

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record = record
        self.zones = zones
        self.store = StandInStore()
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self.seeds: list[Host] = []
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._net = Random().randint(20, 250)
        self._next_ip = 10

    def add_host(self, name: str, zone: str) -> Host:
        """Return a new host, which is not started yet."""
        self._next_ip += 1
        ip = f"127.{self._net}.1.{self._next_ip}"
        host = Host(name, self.zones[zone], zone, ip)
        self.hosts.append(host)
        return host

    async def add_server(self, server_id: str, service: str, zone: str, **options):
        """Start a server and register it."""
        server = Server(server_id, service, zone, self.record, **options)
        await server.start()
        self.servers.append(server)
        await self.store.write("servers", server.id, server.registration())
        return server

    async def write_configuration(self, version: int, routes: list, tenants: list):
        """Write a version of the configuration."""
        cfg = make_configuration(version, routes, Tenants=tenants)
        await self.store.write("config", "main", cfg)

    def start_host(self, host: Host, first: bool = False) -> None:
        """Start the process of a host by the run command of the deploy file."""
        settings = self.folder / f"{host.name}.ini"
        settings.write_text(self._render(host, first), encoding="utf-8")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["DAMASKTALLY_BOOT"] = str(settings)
        log = (self.folder / f"{host.name}.log").open("ab")
        host.process = subprocess.Popen(
            ["python3", "-m", "damasktally.entry"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"started {host.name}, process {host.process.pid}")

    def _render(self, host: Host, first: bool) -> str:
        values = {
            "NodeName": host.name,
            "Ip": host.ip,
            "Region": host.region,
            "Zone": host.zone,
            "Listen.Front": host.address("callers"),
            "Listen.ReadyAddr": host.address("readiness"),
            "Listen.Directory": host.address("directory"),
            "Listen.Control": host.address("peers"),
            "PortRange.0": host.ports["range0"],
            "PortRange.1": host.ports["range1"],
            "Zones": self.zones,
            "Seeds": ",".join(seed.address("peers") for seed in self.seeds),
            "Bootstrap": first,
            "Provider.Addr": f"127.0.0.1:{self.store.port}",
            "Bounds": as_table(BOUNDS),
            "Limits.Cores": 1,
            "Limits.CpuShare": 0.86,
            "Limits.LinkMbps": 1000.0,
            "Limits.MemoryMb": 300,
        }

        def fill(found: re.Match) -> str:
            value = values[found[1]]
            return json.dumps(value) if found[2] else str(value)

        template = (ROOT / "deploy" / "host.ini.template").read_text(encoding="utf-8")
        return PLACEHOLDER.sub(fill, template)

    async def wait_ready(self, hosts: list[Host]) -> None:
        """Wait until hosts say that they are ready.

        :raises TimeoutError: if one does not in time.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in hosts:
                while not await self.is_ready(host):
                    await asyncio.sleep(0.1)
        names = ", ".join(host.name for host in hosts)
        self.record.write(f"ready: {names}")

    async def is_ready(self, host: Host) -> bool:
        """Return whether a host answers the platform's readiness check with 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    host.ip, host.ports["readiness"]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head[0]
        except (OSError, TimeoutError):
            return False

    def close(self) -> None:
        """Kill all processes that this case started, and remove its folder."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"settings and logs: {self.folder}", True)
        else:
            rmtree(self.folder, ignore_errors=True)


def main(play: Callable[[Record], Awaitable[int]], record_path: Path) -> int:
    """Play a case; return its exit code, or 2 if it could not run."""
    record = Record(Path(os.environ.get("RECORD", record_path)))
    try:
        return asyncio.run(play(record))
    except Exception as exc:
        record.write(f"the case could not run: {exc!r}", True)
        return EXIT_COULD_NOT_RUN
