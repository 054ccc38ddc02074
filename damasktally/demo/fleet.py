"""Run a platform, backend servers and hosts in one process, on loopback."""

from dataclasses import dataclass, field

from damasktally.clock import seconds_since_boot
from damasktally.conf import Settings
from damasktally.demo.backend import ServerBehaviour, StandInServer
from damasktally.demo.callers import Credentials
from damasktally.demo.scenarios import Scenario
from damasktally.escrow.limit_table import BYTES_PER_MBIT, LINK_BURST_S
from damasktally.host import Host
from damasktally.resources.commands import Commands
from damasktally.standins.memory import MemoryStore
from damasktally.standins.ports import free_port
from damasktally.standins.server import StandInPlatform
from damasktally.verification.history import (
    ConfigurationChange,
    History,
    HostShutdown,
    KeyWithdrawal,
    LinkLimit,
    RateLimit,
    RevisionSample,
    ServerDrain,
)

PEER_CREDENTIAL = "a credential for the demo only"
RESERVED_LINK_FRACTION = 0.1
"""Fraction of a link's capacity that a ``Link`` object reserves for other traffic by
default."""


def make_host_settings(
    name: str, region: str, data_centre: str, platform_url: str, store_region: str
) -> Settings:
    """Return the settings of a host on free loopback ports."""
    return Settings.model_validate(
        {
            "host": {"name": name, "region": region, "data_centre": data_centre},
            "caller": {"address": f"127.0.0.1:{free_port()}"},
            "peer": {
                "address": f"127.0.0.1:{free_port()}",
                "credential": PEER_CREDENTIAL,
            },
            "admin": {"address": f"127.0.0.1:{free_port()}"},
            "platform": {"url": platform_url, "region": store_region},
        }
    )


@dataclass
class DemoFleet:
    """Platform, backend servers and hosts of a scenario, with a history of their run.

    :param response_bytes: size of the stand-in servers' responses, in bytes.
    """

    scenario: Scenario
    response_bytes: int = 2_000
    history: History = field(default_factory=History)
    store: MemoryStore = field(default_factory=MemoryStore)
    servers: dict[str, StandInServer] = field(default_factory=dict)
    hosts: list[Host] = field(default_factory=list)
    credentials: dict[str, Credentials] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.platform = StandInPlatform(self.store)
        self.commands = Commands(self.store, "demo")

    def start(self, host_count: int) -> None:
        """Start the platform and the servers, apply the objects, start the hosts.

        :param host_count: number of entry hosts.
        """
        self.platform.start()
        self._start_servers()
        self.apply_configuration()
        for number in range(host_count):
            self._start_host(number)

    def apply_configuration(self) -> None:
        """Apply the scenario's objects and issue a key for each customer."""
        for kind, name, spec in self.scenario.objects():
            self.commands.apply(kind, name, spec)
        for plan in self.scenario.customers:
            issued = self.commands.issue_key(f"{plan.name}-key", plan.name)
            customer_credentials = Credentials(plan.name, issued.name, issued.secret)
            self.credentials[plan.name] = customer_credentials
            for server in self.servers.values():
                server.behaviour.secrets.add(issued.secret)
            limit = RateLimit(plan.rate, plan.burst)
            self.history.limits.customers[plan.name] = limit
        self._record_link_limits()

    def withdraw_key(self, customer: str) -> None:
        """Withdraw a customer's key."""
        customer_credentials = self.credentials[customer]
        self.commands.withdraw_key(customer_credentials.key_name)
        self.history.add(
            KeyWithdrawal(customer_credentials.key_name, customer, seconds_since_boot())
        )
        self._record_newest_change()

    def drain_server(self, server: str) -> None:
        """Drain a backend server."""
        self.commands.apply("Drain", f"drain-{server}", {"server": server})
        self.history.add(ServerDrain(server, seconds_since_boot()))
        self._record_newest_change()

    def stop_host(self, host: Host) -> int:
        """Stop a host as planned.

        :returns: number of requests that were aborted.
        """
        requested_at = seconds_since_boot()
        report = host.stop()
        self.hosts.remove(host)
        self.history.add(
            HostShutdown(host.settings.host.name, requested_at, seconds_since_boot())
        )
        return report.unfinished_requests

    def sample_revisions(self) -> None:
        """Record which revision each host has in force."""
        for host in self.hosts:
            name = host.settings.host.name
            self.history.add(
                RevisionSample(name, host.view().revision, seconds_since_boot())
            )

    def entry_addresses(self) -> list[str]:
        """Return the addresses of the hosts for callers."""
        return [host.settings.caller.address for host in self.hosts]

    def stop(self) -> None:
        """Stop hosts, servers and platform at once, without finishing requests."""
        for host in self.hosts:
            host.kill()
        for server in self.servers.values():
            server.stop()
        self.platform.stop()

    def _start_servers(self) -> None:
        limits = self.history.limits
        for plan in self.scenario.servers:
            behaviour = ServerBehaviour(plan.work_s, self.response_bytes)
            server = StandInServer(plan.name, plan.slots, behaviour, self.history)
            server.start()
            self.servers[plan.name] = server
            limits.slots[plan.name] = plan.slots
            limits.region_of[plan.name] = plan.region
            spec = {
                "pool": plan.pool,
                "address": server.address,
                "region": plan.region,
                "data_centre": plan.data_centre,
                "slots": plan.slots,
            }
            self.commands.apply("BackendServer", plan.name, spec)

    def _start_host(self, number: int) -> None:
        placements = self.scenario.data_centres()
        # The first data centre of every region comes first, so that a few hosts
        # already cover all regions.
        order = [*placements[::2], *placements[1::2]]
        data_centre, region = order[number % len(order)]
        settings = make_host_settings(
            f"host-{number:02d}",
            region,
            data_centre,
            self.platform.url,
            self.scenario.store_region,
        )
        host = Host.from_config(settings)
        host.start()
        self.hosts.append(host)
        self.history.limits.region_of[settings.host.name] = region

    def _record_link_limits(self) -> None:
        rate = self.scenario.link_mbit * BYTES_PER_MBIT * (1 - RESERVED_LINK_FRACTION)
        limit = LinkLimit(rate, rate * LINK_BURST_S)
        for source in self.scenario.regions:
            for target in self.scenario.regions:
                if source != target:
                    self.history.limits.links[source, target] = limit

    def _record_newest_change(self) -> None:
        # The newest revision of the store belongs to the audit record of the command,
        # which is written after the change.
        newest = max(
            obj.revision for obj in self.store.list_objects(["Key", "Drain"]).items
        )
        self.history.add(ConfigurationChange(newest, seconds_since_boot()))
