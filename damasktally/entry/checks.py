"""Check what single options of an entry host cannot tell."""

from collections.abc import Callable, Iterator

from damasktally.addresses import split_address
from damasktally.check_message import CheckMessage
from damasktally.entry.settings import EntrySettings
from damasktally.platform.bounds import decode_bounds
from damasktally.platform.codec import MalformedObject

Check = Callable[[EntrySettings], Iterator[CheckMessage]]


def ports_differ(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that no two ports share an address."""
    listen = settings.listen
    addresses = [listen.callers, listen.readiness, listen.directory, listen.peers]
    if listen.metrics:
        addresses.append(listen.metrics)
    if len(set(addresses)) < len(addresses):
        yield CheckMessage(
            "entry.E201",
            "Two ports of [listen] share an address.",
            "Give each a port of its own; metrics_port counts, too.",
        )


def data_centre_is_in_fleet(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that the fleet's table of data centres names this host's."""
    host = settings.host
    region = settings.region_of.get(host.data_centre)
    if region is None:
        yield CheckMessage(
            "entry.E202",
            f"[fleet] data_centres does not name {host.data_centre}.",
            "Add it with its region, or correct [host] data_centre.",
        )
    elif region != host.region:
        yield CheckMessage(
            "entry.E203",
            f"[fleet] data_centres puts {host.data_centre} into {region}, "
            f"[host] region says {host.region}.",
            "Make them agree.",
        )


def bounds_can_be_decoded(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Check that the agreed figures can be read."""
    try:
        decode_bounds(settings.bounds.agreed)
    except MalformedObject as exc:
        yield CheckMessage("entry.E204", exc.message, exc.remedy)


def seeds_name_another_host(settings: EntrySettings) -> Iterator[CheckMessage]:
    """Warn when a host can learn from the store alone."""
    others = set(settings.seeds) - {split_address(settings.listen.peers)}
    if not others and not settings.fleet.first_start:
        yield CheckMessage(
            "entry.W205",
            "[fleet] seeds names no other host.",
            "While the store is away this host would know nothing; name two or three.",
        )


CHECKS: tuple[Check, ...] = (
    ports_differ,
    data_centre_is_in_fleet,
    bounds_can_be_decoded,
    seeds_name_another_host,
)


def run_entry_checks(settings: EntrySettings) -> list[CheckMessage]:
    """Run every check of an entry host's settings."""
    return [message for check in CHECKS for message in check(settings)]
