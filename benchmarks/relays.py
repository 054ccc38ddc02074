"""Measure what relays and the other hosts send and compute, by size of the fleet.

Nothing is sent: the messages of one relay and one other host are filled and encoded
as often as they would be, with counts that grow as callers would make them.
"""

from random import Random
from time import process_time

import msgspec

from damasktally.decisions.heartbeat_history import HeartbeatHistory
from damasktally.decisions.quota import RELAYED_LAG_S, CustomerQuotas
from damasktally.entry.message_builder import (
    OTHER_REGION_HOST_LIMIT,
    FleetMessageBuilder,
    OwnState,
)
from damasktally.entry.topology import FleetTopology
from damasktally.fleet.members import Heartbeat, MemberTable
from damasktally.fleet.model import Customer, Member
from damasktally.fleet.summaries import RelaySummary, SummaryTable
from damasktally.fleet.view import Decoders, FleetView

TICK_S = 0.2
TICKS = 50
STANDBY_PART = 0.25
"""Second relays get every fourth message."""
SIZES = ((87, 6, 86), (300, 6, 300), (1000, 12, 300), (4800, 43, 300))
"""Hosts, data centres and customers; 23 requests a second come to each host."""
REQUESTS_A_TICK = 4.6


class Sample:
    """Hold one host's exchange, filled as if the fleet were there."""

    def __init__(self, name: str, cell: int, customers: list[Customer]) -> None:
        self.member = Member(
            name,
            1,
            f"region-{cell % 3}",
            f"dc-{cell}",
            "10.1.0.1:80",
            ("10.1.0.1", 7220),
            2.0 if name.endswith(("-0", "-1")) else 0.4,
        )
        self.members = MemberTable(self.member)
        self.summaries = SummaryTable()
        self.quotas = CustomerQuotas(lambda customer: 20.0)
        self.quotas.update_shares(customers, [], 0, 0.0)
        counts = HeartbeatHistory()
        self.topology = FleetTopology(self.members, self.summaries, counts)
        view = FleetView(Decoders(None, None, ""), lambda change: None)
        self.message_builder = FleetMessageBuilder(
            self.member,
            self.topology,
            self.summaries,
            view,
            self.quotas,
            counts,
            lambda: OwnState(True, False, 0.1),
        )

    def admit(self, customers: list[Customer], rng: Random, now: float) -> None:
        """Admit what callers ask for in one turn."""
        count = int(REQUESTS_A_TICK + rng.random())
        for customer in rng.choices(customers, k=count):
            self.quotas.take(customer, now)


def measure(hosts: int, centres: int, customers_count: int) -> str:
    """Play some turns of a relay, one host near it, and the relays far away."""
    rng = Random(1)
    customers = [
        Customer(f"customer{n:04d}", frozenset(), 1e5, 1e5, None, frozenset())
        for n in range(customers_count)
    ]
    cell_size = hosts // centres
    cell = [Sample(f"edge-0-{n}", 0, customers) for n in range(cell_size)]
    far = [Sample(f"edge-{n}-0", n, customers) for n in range(1, centres)]
    relay, host = cell[0], cell[-1]
    spent = {"relay": 0.0, "host": 0.0}
    sizes: dict[str, list[int]] = {"beat": [], "cell": [], "fleet": []}
    for turn in range(TICKS):
        now = turn * TICK_S
        for sample in (*cell, *far):
            sample.admit(customers, rng, now)
        beats = [
            msgspec.msgpack.encode(s.message_builder.build_heartbeat(now))
            for s in cell[1:]
        ]
        summaries = [summary_of(sample, now, cell_size, rng) for sample in far]
        began = process_time()
        for data in beats:
            beat = msgspec.msgpack.decode(data, type=Heartbeat)
            relay.members.apply_heartbeat(beat, now)
            relay.message_builder.add_host_counts(beat.host, beat.admitted)
        for data in summaries:
            summary = msgspec.msgpack.decode(data, type=RelaySummary)
            relay.summaries.apply_summary(summary, now)
        relay.message_builder.update_totals(now)
        told = msgspec.msgpack.encode(
            relay.message_builder.build_data_centre_summary(now)
        )
        fleet = msgspec.msgpack.encode(relay.message_builder.build_fleet_summary(now))
        reports, unheard, _ = relay.topology.quota_reports(now)
        relay.quotas.update_shares(customers, reports, unheard, now, RELAYED_LAG_S)
        spent["relay"] += process_time() - began
        began = process_time()
        host.summaries.apply_summary(
            msgspec.msgpack.decode(fleet, type=RelaySummary), now
        )
        reports, unheard, _ = host.topology.quota_reports(now)
        host.quotas.update_shares(customers, reports, unheard, now, RELAYED_LAG_S)
        spent["host"] += process_time() - began
        sizes["beat"].append(len(beats[-1]))
        sizes["cell"].append(len(told))
        sizes["fleet"].append(len(fleet))
    return row(hosts, centres, spent, {k: sum(v) / TICKS for k, v in sizes.items()})


def summary_of(sample: Sample, now: float, cell_size: int, rng: Random) -> bytes:
    """Return a far relay's summary, with as many hosts as its data centre has."""
    sample.message_builder.update_totals(now)
    summary = sample.message_builder.build_data_centre_summary(now)
    if summary.data_centre_hosts is not None:
        notes = summary.data_centre_hosts[0].hosts * min(cell_size, 64)
        cells = [msgspec.structs.replace(summary.data_centre_hosts[0], hosts=notes)]
        summary = msgspec.structs.replace(summary, data_centre_hosts=cells)
    return msgspec.msgpack.encode(summary)


def row(hosts: int, centres: int, spent: dict, sizes: dict) -> str:
    """Format one size's figures."""
    a_second = 1 / TICK_S
    near = hosts // centres - 1
    weight = 1 + STANDBY_PART
    host_kb = (sizes["beat"] + sizes["fleet"]) * weight * a_second / 1000
    far_kb = sizes["cell"] * (centres - 1) * weight * a_second / 1000
    relay_kb = far_kb * 2 + (sizes["beat"] + sizes["fleet"]) * near * a_second / 1000
    cpu = {name: 100 * value / (TICKS * TICK_S) for name, value in spent.items()}
    return (
        f"{hosts:5d} hosts in {centres:2d}: host {host_kb:7.1f} kB/s"
        f" {cpu['host']:5.2f} % of a core; relay {relay_kb:8.1f} kB/s"
        f" {cpu['relay']:6.2f} %; heartbeat {sizes['beat']:5.0f}"
        f" cell {sizes['cell']:6.0f} fleet {sizes['fleet']:6.0f} bytes"
    )


def main() -> None:
    """Print one line for each size."""
    print(f"far data centres name {OTHER_REGION_HOST_LIMIT} hosts each")
    for size in SIZES:
        print(measure(*size), flush=True)


if __name__ == "__main__":
    main()
