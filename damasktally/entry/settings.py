"""Load the settings of an entry host from an INI file."""

from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from time import time
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from damasktally.addresses import split_address
from damasktally.decisions.relays import capacity_in_cores
from damasktally.errors import DamasktallyError
from damasktally.fleet.model import Member

NonEmptyText = Annotated[str, Meta(min_length=1)]
AddressText = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]
OptionalAddressText = Annotated[str, Meta(pattern=r"^([0-9.]+:[0-9]+)?$")]


class SettingsInvalid(DamasktallyError):
    """Raised when a settings file cannot be read or an option is invalid."""


class HostSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name this host and its location."""

    name: NonEmptyText
    region: NonEmptyText
    data_centre: NonEmptyText


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the addresses that this host listens on.

    :param peers: address for heartbeats (UDP) and for state transfer (TCP).
    :param forwarding: address, on the host of ``peers``, where this host takes callers'
        requests from other hosts that do not reach the servers; it takes none if empty.
    :param leases: UDP address, on the host of ``peers``, for messages about leases of
        backend servers; this host neither grants nor requests leases if empty.
    :param metrics_port: port of the metrics on the callers' address; 0 disables them.
    """

    callers: AddressText
    readiness: AddressText
    directory: AddressText
    peers: AddressText
    forwarding: OptionalAddressText = ""
    leases: OptionalAddressText = ""
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 9464

    @property
    def metrics(self) -> str:
        """Return the address of the metrics, or an empty string if disabled."""
        if not self.metrics_port:
            return ""
        host, _ = split_address(self.callers)
        return f"{host}:{self.metrics_port}"


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the resources that this host may use.

    :param cores: processor cores of the machine.
    :param core_share: fraction of the cores that this host may use.
    :param link_mbps: bandwidth of the host's network link, in Mbit/s. Bodies that take
        10 ms or longer on it are forwarded as they arrive.
    :param memory_mb: memory that this host may use, in MB, from 16 to 1,000,000. Bodies
        that are forwarded as they arrive take at most a quarter of it, and requests
        that are received whole an eighth; beyond that, those of more than 16 KiB are
        refused with 503, first the one that began first.
    :param max_descriptors: open files and sockets that this host may have; 0 stands for
        the limit of the process. Callers' connections may use about half of them;
        beyond that, the one that has waited or been idle for longest is closed.
    """

    cores: Annotated[float, Meta(gt=0)] = 1.0
    core_share: Annotated[float, Meta(gt=0)] = 1.0
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0
    memory_mb: float = 200.0
    max_descriptors: Annotated[int, Meta(ge=0)] = 0


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe the fleet that this host belongs to.

    :param data_centres: JSON object that maps each data centre to its region.
    :param seeds: peer addresses of other hosts, separated by commas.
    :param first_start: whether the whole fleet is being started for the first time.
    """

    data_centres: str
    seeds: str = ""
    first_start: bool = False


class StoreSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the address of the platform's store."""

    address: AddressText


class BoundsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the agreed bounds as a JSON object, as the platform writes them."""

    agreed: str


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold all settings of an entry host, one section of the file per field."""

    host: HostSection
    listen: ListenSection
    fleet: FleetSection
    store: StoreSection
    bounds: BoundsSection
    limits: LimitsSection = LimitsSection()

    @property
    def region_of(self) -> dict[str, str]:
        """Return the region of each data centre."""
        return msgspec.json.decode(self.fleet.data_centres, type=dict[str, str])

    @property
    def seeds(self) -> list[tuple[str, int]]:
        """Return the peer addresses that this host contacts at start."""
        parts = [part.strip() for part in self.fleet.seeds.split(",")]
        return [split_address(part) for part in parts if part]


def load_entry_settings(path: Path) -> EntrySettings:
    """Load a settings file.

    :raises SettingsInvalid: when it cannot be read or an option is invalid.
    """
    return parse_entry_settings(read_settings(path), str(path))


def read_settings(path: Path) -> str:
    """Return the text of a settings file.

    :raises SettingsInvalid: when it cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise _unreadable_error(str(path), exc) from exc


def _unreadable_error(name: str, exc: Exception) -> SettingsInvalid:
    return SettingsInvalid(
        f"{name} cannot be read: {' '.join(str(exc).split())}.",
        "Check the path and that it is an INI file.",
    )


def parse_entry_settings(text: str, name: str) -> EntrySettings:
    """Parse the text of a settings file.

    :param name: name of the file in error messages.
    :raises SettingsInvalid: when the text is not valid INI or an option is invalid.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except IniError as exc:
        raise _unreadable_error(name, exc) from exc
    raw: dict[str, Any] = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        settings = msgspec.convert(raw, EntrySettings, strict=False)
        _ = settings.region_of
        _ = settings.seeds
    except (msgspec.MsgspecError, ValueError) as exc:
        raise SettingsInvalid(
            f"{name}: {exc}.", "docs/ref/entry-settings.md lists every option."
        ) from exc
    return settings


def own_member(settings: EntrySettings) -> Member:
    """Return this host as other hosts know it, started now."""
    forwarding, leases = settings.listen.forwarding, settings.listen.leases
    return Member(
        host=settings.host.name,
        started_ms=int(time() * 1000),
        region=settings.host.region,
        data_centre=settings.host.data_centre,
        caller_address=settings.listen.callers,
        peer_address=split_address(settings.listen.peers),
        capacity=capacity_in_cores(
            settings.limits.cores * settings.limits.core_share,
            settings.limits.link_mbps,
        ),
        forwarding_port=split_address(forwarding)[1] if forwarding else 0,
        lease_port=split_address(leases)[1] if leases else 0,
    )
