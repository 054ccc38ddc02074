"""Run each host of a fleet as a process, for tests and benchmarks."""

import os
import signal
import subprocess
import sys
import tempfile
from configparser import ConfigParser
from dataclasses import dataclass, field
from json import loads
from pathlib import Path
from time import sleep

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from damasktally.clock import seconds_since_boot
from damasktally.conf import Settings
from damasktally.demo.fleet import DemoFleet, make_host_settings
from damasktally.verification.history import HostShutdown, RevisionSample

ADMIN_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 60.0
READY_TIMEOUT_S = 60.0


@dataclass
class HostProcess:
    """Process of one host.

    :param log: file of its output.
    :param is_paused: whether it was stopped with SIGSTOP.
    """

    settings: Settings
    process: subprocess.Popen
    log: Path
    is_paused: bool = False
    _http: PoolManager = field(
        default_factory=lambda: PoolManager(
            retries=False, timeout=Timeout(ADMIN_TIMEOUT_S)
        )
    )

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.settings.host.name

    def get_page(self, path: str) -> bytes | None:
        """Return a page of the admin port, or None when the host does not answer."""
        url = f"http://{self.settings.admin.address}{path}"
        try:
            resp = self._http.request("GET", url)
        except HTTPError:
            return None
        return resp.data if resp.status == 200 else None

    def get_status(self) -> dict | None:
        """Return the host's status, or None when the host does not answer."""
        page = self.get_page("/status")
        return loads(page) if page else None

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.is_paused = True
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.process.send_signal(signal.SIGCONT)
        self.is_paused = False


class ProcessFleet(DemoFleet):
    """Fleet whose hosts are processes that run ``damasktally serve``."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.processes: dict[str, HostProcess] = {}
        self._directory = tempfile.TemporaryDirectory()
        self._launch_count = 0

    def _start_host(self, number: int) -> None:
        self.launch_host(number)

    def launch_host(self, number: int, name: str = "") -> HostProcess:
        """Start one host process.

        :param number: number of the host, which determines its data centre.
        :param name: name of the host; derived from the number without it.
        """
        placements = self.scenario.data_centres()
        ordered = [*placements[::2], *placements[1::2]]
        data_centre, region = ordered[number % len(ordered)]
        name = name or f"host-{number:02d}"
        settings = make_host_settings(
            name, region, data_centre, self.platform.url, self.scenario.store_region
        )
        seeds = [p.settings.peer.address for p in self.processes.values()][:3]
        peer = settings.peer.model_copy(update={"seeds": seeds})
        settings = settings.model_copy(update={"peer": peer})
        directory = Path(self._directory.name)
        self._launch_count += 1
        path = directory / f"{name}-{self._launch_count}.ini"
        log = directory / f"{name}-{self._launch_count}.log"
        _write_ini(path, settings)
        with log.open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "damasktally", "serve", "-c", str(path)],
                stdout=out,
                stderr=out,
                env=dict(os.environ, PYTHONPATH=os.getcwd()),
            )
        host_process = HostProcess(settings, process, log)
        self.processes[name] = host_process
        self.history.limits.region_of[name] = region
        return host_process

    def entry_addresses(self) -> list[str]:
        """Return the caller addresses of the running hosts."""
        return [p.settings.caller.address for p in self.processes.values()]

    def wait_ready(self) -> None:
        """Wait until every host is a member and its shares have settled.

        :raises TimeoutError: when they do not in time.
        """
        end = seconds_since_boot() + READY_TIMEOUT_S
        while seconds_since_boot() < end:
            statuses = [p.get_status() for p in self.processes.values()]
            if all(f and f["member"] and f["shares_settled"] for f in statuses) and (
                len({f["generation"] for f in statuses}) == 1
            ):
                return
            sleep(0.2)
        ended = {
            name: (item.process.poll(), item.log.read_text(errors="replace")[-500:])
            for name, item in self.processes.items()
            if item.process.poll() is not None
        }
        raise TimeoutError(
            f"the fleet did not settle within {READY_TIMEOUT_S} s; "
            f"ended: {ended}; {statuses}"
        )

    def sample_revisions(self) -> None:
        """Record which revision each host has in force."""
        for host_process in list(self.processes.values()):
            if host_process.is_paused:
                continue
            status = host_process.get_status()
            if status is not None:
                event = RevisionSample(
                    host_process.name, status["revision"], seconds_since_boot()
                )
                self.history.add(event)

    def kill_host(self, name: str) -> None:
        """Kill a host's process, as in a crash."""
        host_process = self.processes.pop(name)
        host_process.process.kill()
        host_process.process.wait()

    def terminate_host(self, name: str) -> int:
        """Stop a host as planned.

        :returns: its exit code.
        """
        host_process = self.processes[name]
        requested_at = seconds_since_boot()
        host_process.process.terminate()
        code = host_process.process.wait(STOP_TIMEOUT_S)
        del self.processes[name]
        self.history.add(HostShutdown(name, requested_at, seconds_since_boot()))
        return code

    def stop(self) -> None:
        """Kill the hosts, then stop servers and platform."""
        for host_process in self.processes.values():
            host_process.resume()
            host_process.process.kill()
        for host_process in self.processes.values():
            host_process.process.wait()
        super().stop()

    def read_logs(self) -> str:
        """Return the logs of all hosts, one after the other."""
        directory = Path(self._directory.name)
        return "".join(p.read_text() for p in sorted(directory.glob("*.log")))


def _write_ini(path: Path, settings: Settings) -> None:
    parser = ConfigParser(interpolation=None)
    for section, values in settings.model_dump().items():
        parser[section] = {
            option: ",".join(value) if isinstance(value, list) else str(value)
            for option, value in values.items()
        }
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)
