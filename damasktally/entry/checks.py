"""Check an entry host's settings for problems that involve several options.

The types of the settings already reject single options that are invalid.
"""

from collections.abc import Callable, Iterator

from damasktally.addresses import split_address
from damasktally.check_message import CheckMessage
from damasktally.entry.settings import EntrySettings
from damasktally.platform.bounds import decode_bounds
from damasktally.platform.codec import MalformedObject

MAX_PORT = 65_535
MIN_MEMORY_MB = 16
MAX_MEMORY_MB = 1_000_000
"""A larger number is most likely stated in bytes or kB."""

Check = Callable[[EntrySettings], Iterator[CheckMessage]]


def ports_differ(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that no two listeners share an address."""
    listen = settings.listen
    addresses = [listen.callers, listen.readiness, listen.directory, listen.peers]
    optional = (listen.forwarding, listen.leases, listen.metrics)
    addresses += [item for item in optional if item]
    if len(set(addresses)) < len(addresses):
        yield CheckMessage(
            "entry.E201",
            "Two listeners of [listen] have the same address.",
            "Give each a port of its own, also metrics_port.",
        )


def forwarding_is_on_peer_address(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that other hosts find the forwarding port at the address of the peers."""
    listen = settings.listen
    if not listen.forwarding:
        return
    if split_address(listen.forwarding)[0] != split_address(listen.peers)[0]:
        yield CheckMessage(
            "entry.E206",
            "[listen] forwarding and peers are on different addresses.",
            "Use the same address with another port, as other hosts assume it.",
        )


def lease_address_is_valid(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that other hosts find the lease port at the address of the peers."""
    listen = settings.listen
    if not listen.leases:
        return
    host, port = split_address(listen.leases)
    if host != split_address(listen.peers)[0]:
        yield CheckMessage(
            "entry.E207",
            "[listen] leases and peers are on different addresses.",
            "Use the same address with another port, as other hosts assume it.",
        )
    if not 1 <= port <= MAX_PORT:
        yield CheckMessage(
            "entry.E208",
            f"[listen] leases has the port {port}, which is not from 1 to {MAX_PORT}.",
            "Choose a free port, or leave the option empty to disable leases.",
        )


def data_centre_is_in_fleet(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that the fleet's table contains this host's data centre and region."""
    host = settings.host
    region = settings.region_of.get(host.data_centre)
    if region is None:
        yield CheckMessage(
            "entry.E202",
            f"[fleet] data_centres does not contain {host.data_centre}.",
            "Add it with its region, or correct [host] data_centre.",
        )
    elif region != host.region:
        yield CheckMessage(
            "entry.E203",
            f"[fleet] data_centres assigns {host.data_centre} to {region}, "
            f"but [host] region is {host.region}.",
            "Set the same region in both.",
        )


def bounds_can_be_decoded(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that the platform's table of bounds can be decoded."""
    try:
        decode_bounds(settings.bounds.agreed)
    except MalformedObject as exc:
        yield CheckMessage("entry.E204", exc.message, exc.remedy)


def seeds_name_another_host(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Warn when the host has no seed from which to get its view.

    Such a host depends on the store alone. The first start of a whole fleet is exempt.
    """
    others = set(settings.seeds) - {split_address(settings.listen.peers)}
    if not others and not settings.fleet.first_start:
        yield CheckMessage(
            "entry.W205",
            "[fleet] seeds contains no other host.",
            "Add two or three; without the store, this host depends on them.",
        )


def memory_is_in_range(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that the memory has room for bodies, and is stated in MB."""
    if not MIN_MEMORY_MB <= settings.limits.memory_mb <= MAX_MEMORY_MB:
        yield CheckMessage(
            "entry.E209",
            f"[limits] memory_mb is {settings.limits.memory_mb:g}, not between "
            f"{MIN_MEMORY_MB} and {MAX_MEMORY_MB}.",
            "Set the memory of the host in MB, such as 200.",
        )


CHECKS: tuple[Check, ...] = (
    ports_differ,
    forwarding_is_on_peer_address,
    lease_address_is_valid,
    data_centre_is_in_fleet,
    bounds_can_be_decoded,
    seeds_name_another_host,
    memory_is_in_range,
)


def run_entry_checks(settings: EntrySettings) -> list[CheckMessage]:
    """Run all checks of an entry host's settings and return their messages."""
    return [message for check in CHECKS for message in check(settings)]
