"""Status page and gauges of a host."""

from dataclasses import asdict
from math import inf
from time import time
from typing import TYPE_CHECKING

from damasktally.membership.freshness import Isolation

if TYPE_CHECKING:
    from damasktally.host.host import Host


def describe_host(host: "Host") -> dict:
    """Return the fields of the admin port's ``/status`` page."""
    view = host.view()
    with host.fleet.lock:
        generation = host.fleet.roster.generation
        identity = host.fleet.identity
        is_member = host.fleet.is_member
        peers = sorted(e.host for e in host.fleet.live_endpoints())
        settled = host.fleet.rate_window.is_settled(host.clock())
        confirmed_at = host.fleet.confirmed_at()
    confirmed = host.clock() - confirmed_at if confirmed_at > -inf else None
    return {
        "host": host.settings.host.name,
        "identity": identity,
        "region": host.settings.host.region,
        "revision": view.revision,
        "in_force_since_unix_s": host.published.in_force_since_unix_s,
        "isolation": host.freshness.isolation().value,
        "confirmed_age_s": round(host.freshness.confirmed_age_s(), 3),
        "member": is_member,
        "membership_confirmed_age_s": confirmed,
        "generation": generation,
        "shares_settled": settled,
        "leaving": host.fleet.leaving,
        "peers": peers,
        "in_flight": host.admission.in_flight(),
        "queued": host.dispatcher.queued_requests(),
        "headroom": round(host.dispatcher.headroom(), 3),
        "limits": [asdict(report) for report in host.limit_table.limit_reports()],
        "drained_servers": sorted(view.drained_servers),
        "problems": view.problems(),
        "unix_s": time(),
    }


def add_host_gauges(host: "Host") -> None:
    """Register the gauges whose values are read from the running host."""
    add = host.metrics.add_gauge
    add(
        "headroom_ratio",
        "Free fraction of the slots that this host owns.",
        host.dispatcher.headroom,
    )
    add(
        "queued_requests",
        "Requests that wait for a slot.",
        host.dispatcher.queued_requests,
    )
    add("in_flight_requests", "Requests in flight.", host.admission.in_flight)
    add("view_revision", "Revision of the view in force.", lambda: host.view().revision)
    add(
        "view_age_seconds",
        "Seconds since the view was confirmed, -1 if never.",
        host.freshness.confirmed_age_s,
    )
    add(
        "roster_generation",
        "Newest roster generation that this host has received.",
        lambda: host.fleet.roster.generation,
    )
    add(
        "isolated",
        "1 when the host may miss withdrawals of keys.",
        lambda: float(host.freshness.isolation() is Isolation.ISOLATED),
    )
