"""Measure traffic and CPU time of relays and other hosts, by size of the fleet.

Nothing is sent. The messages of one relay and of one other host are built and encoded
as often as in a real fleet, with counts that grow as under real load.
"""

from random import Random
from time import process_time

import msgspec

from damasktally.decisions.crash_suspects import CrashSuspects
from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.load_reports import LoadReports
from damasktally.decisions.quota import RELAYED_LAG_S, CustomerQuotas
from damasktally.decisions.server_limits import ServerLimits
from damasktally.entry.host_listings import OTHER_REGION_HOST_LIMIT
from damasktally.entry.message_builder import FleetMessageBuilder
from damasktally.entry.outbox import OwnState
from damasktally.entry.quota_reports import QuotaReports
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.model import Customer, Member
from damasktally.fleet.summaries import RelaySummary, SummaryTable
from damasktally.fleet.view import FleetView
from damasktally.fleet.view_changes import Decoders

TICK_S = 0.2
TICKS = 50
STANDBY_MESSAGE_FRACTION = 0.25
"""Standby relays receive every fourth message."""
SMALLEST_TICKS = 3
SMALLEST_FLEET_SIZE = (26, 2, 3)
FLEET_SIZES = ((87, 6, 86), (300, 6, 300), (1000, 12, 300), (4800, 43, 300))
"""Hosts, data centres and customers; each host receives 23 requests per second."""
REQUESTS_PER_TICK = 4.6


class SimulatedHost:
    """State and message builder of one host in a simulated fleet."""

    def __init__(self, name: str, data_centre: int, customers: list[Customer]) -> None:
        self.member = Member(
            name,
            1,
            f"region-{data_centre % 3}",
            f"dc-{data_centre}",
            "10.1.0.1:80",
            ("10.1.0.1", 7220),
            2.0 if name.endswith(("-0", "-1")) else 0.4,
        )
        self.members = MemberTable(self.member)
        self.summaries = SummaryTable()
        self.quotas = CustomerQuotas(lambda customer: 20.0)
        self.quotas.update_shares(customers, [], 0, 0.0)
        counts = HeartbeatHistory()
        view = FleetView(Decoders(None, None, ""), lambda change: None)
        self.topology = FleetTopology(self.members, self.summaries)
        self.quota_reports = QuotaReports(
            self.topology, self.members, self.summaries, counts
        )
        self.message_builder = FleetMessageBuilder(
            self.member,
            self.topology,
            self.summaries,
            view,
            self.quotas,
            counts,
            ServerLimits(self.member.host),
            LoadReports(),
            CrashSuspects(self.member.host),
            lambda: OwnState(True, False, 0.1),
        )

    def admit(self, customers: list[Customer], rng: Random, now: float) -> None:
        """Admit the requests of one tick."""
        count = int(REQUESTS_PER_TICK + rng.random())
        for customer in rng.choices(customers, k=count):
            self.quotas.take(customer, now)


def measure(
    host_count: int, data_centre_count: int, customer_count: int, ticks: int = TICKS
) -> str:
    """Simulate one data centre and the relays of the others; return a row of figures.

    Traffic and CPU time are measured for a relay and for one other host of its data
    centre.

    :param ticks: rounds of messages that are simulated.
    """
    rng = Random(1)
    customers = [
        Customer(f"customer{n:04d}", frozenset(), 1e5, 1e5, None, frozenset())
        for n in range(customer_count)
    ]
    hosts_per_data_centre = host_count // data_centre_count
    local_hosts = [
        SimulatedHost(f"edge-0-{n}", 0, customers) for n in range(hosts_per_data_centre)
    ]
    remote_relays = [
        SimulatedHost(f"edge-{n}-0", n, customers) for n in range(1, data_centre_count)
    ]
    relay, host = local_hosts[0], local_hosts[-1]
    cpu_s = {"relay": 0.0, "host": 0.0}
    sizes: dict[str, list[int]] = {"heartbeat": [], "data_centre": [], "fleet": []}
    for tick in range(ticks):
        now = tick * TICK_S
        for simulated_host in (*local_hosts, *remote_relays):
            simulated_host.admit(customers, rng, now)
        heartbeats = [
            msgspec.msgpack.encode(s.message_builder.build_heartbeat(now))
            for s in local_hosts[1:]
        ]
        summaries = [
            encode_summary(simulated_host, now, hosts_per_data_centre, rng)
            for simulated_host in remote_relays
        ]
        started_at = process_time()
        for data in heartbeats:
            heartbeat = msgspec.msgpack.decode(data, type=Heartbeat)
            relay.members.apply_heartbeat(heartbeat, now)
            relay.message_builder.add_host_counts(heartbeat, now)
        for data in summaries:
            summary = msgspec.msgpack.decode(data, type=RelaySummary)
            relay.summaries.apply_summary(summary, now)
        relay.message_builder.update_totals(now)
        data_centre_message = msgspec.msgpack.encode(
            relay.message_builder.build_data_centre_summary(now)
        )
        fleet_message = msgspec.msgpack.encode(
            relay.message_builder.build_fleet_summary(now)
        )
        reports, silent_hosts, _ = relay.quota_reports.collect(now)
        relay.quotas.update_shares(customers, reports, silent_hosts, now, RELAYED_LAG_S)
        cpu_s["relay"] += process_time() - started_at
        started_at = process_time()
        host.summaries.apply_summary(
            msgspec.msgpack.decode(fleet_message, type=RelaySummary), now
        )
        reports, silent_hosts, _ = host.quota_reports.collect(now)
        host.quotas.update_shares(customers, reports, silent_hosts, now, RELAYED_LAG_S)
        cpu_s["host"] += process_time() - started_at
        sizes["heartbeat"].append(len(heartbeats[-1]))
        sizes["data_centre"].append(len(data_centre_message))
        sizes["fleet"].append(len(fleet_message))
    return format_row(
        host_count,
        data_centre_count,
        {name: value / (ticks * TICK_S) for name, value in cpu_s.items()},
        {k: sum(v) / ticks for k, v in sizes.items()},
    )


def encode_summary(
    simulated_host: SimulatedHost, now: float, hosts_per_data_centre: int, rng: Random
) -> bytes:
    """Return a remote relay's summary with as many hosts as its data centre has."""
    simulated_host.message_builder.update_totals(now)
    summary = simulated_host.message_builder.build_data_centre_summary(now)
    if summary.data_centre_hosts is not None:
        host_summaries = summary.data_centre_hosts[0].hosts * min(
            hosts_per_data_centre, 64
        )
        expanded = [
            msgspec.structs.replace(summary.data_centre_hosts[0], hosts=host_summaries)
        ]
        summary = msgspec.structs.replace(summary, data_centre_hosts=expanded)
    return msgspec.msgpack.encode(summary)


def format_row(
    host_count: int, data_centre_count: int, cpu_ratios: dict, sizes: dict
) -> str:
    """Format the figures of one fleet size.

    :param cpu_ratios: CPU time of the relay and the host, in seconds a second.
    :param sizes: mean size of each kind of message, in bytes.
    """
    ticks_per_s = 1 / TICK_S
    local_host_count = host_count // data_centre_count - 1
    message_factor = 1 + STANDBY_MESSAGE_FRACTION
    host_kb = (
        (sizes["heartbeat"] + sizes["fleet"]) * message_factor * ticks_per_s / 1000
    )
    remote_kb = (
        sizes["data_centre"]
        * (data_centre_count - 1)
        * message_factor
        * ticks_per_s
        / 1000
    )
    relay_kb = (
        remote_kb * 2
        + (sizes["heartbeat"] + sizes["fleet"]) * local_host_count * ticks_per_s / 1000
    )
    cpu = {name: 100 * value for name, value in cpu_ratios.items()}
    return (
        f"{host_count:5d} hosts in {data_centre_count:2d}: host {host_kb:7.1f} kB/s"
        f" {cpu['host']:5.2f} % of a core; relay {relay_kb:8.1f} kB/s"
        f" {cpu['relay']:6.2f} %; heartbeat {sizes['heartbeat']:5.0f}"
        f" data centre {sizes['data_centre']:6.0f} fleet {sizes['fleet']:6.0f} bytes"
    )


def main() -> None:
    """Print one line for each fleet size."""
    print(f"summaries list {OTHER_REGION_HOST_LIMIT} hosts of each remote data centre")
    for size in FLEET_SIZES:
        print(measure(*size), flush=True)


if __name__ == "__main__":
    main()
