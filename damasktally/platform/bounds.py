"""Decoder for the service-level figures that the platform agreed with its users."""

import msgspec

from damasktally.fleet.model import Bounds
from damasktally.platform.codec import MalformedObject, parse_duration

SETTINGS_VARIABLE = "DAMASKTALLY_BOOT"
"""Environment variable that holds the path of the settings file."""


class WireBounds(msgspec.Struct):
    """Agreed figures as the platform spells them, without those that are not used.

    Times are texts with a unit. ``Grace`` is the time from SIGTERM to SIGKILL, and
    ``ttl_max`` bounds how long callers may cache a look-up.
    """

    Grace: str
    ttl_max: str
    RetryRatio: float
    RetryWindow: str
    RetrySlack: float
    QuotaSlack: float
    QuotaOverage: float
    QuotaWindow: str


def decode_bounds(text: str) -> Bounds:
    """Decode the table of agreed figures.

    :param text: the table as JSON.
    :raises MalformedObject: if a figure that is used is missing or malformed.
    """
    try:
        wire = msgspec.json.decode(text, type=WireBounds, strict=False)
        return Bounds(
            stop_timeout_s=parse_duration(wire.Grace),
            max_lookup_ttl_s=parse_duration(wire.ttl_max),
            retry_ratio=wire.RetryRatio,
            retry_window_s=parse_duration(wire.RetryWindow),
            retry_slack=wire.RetrySlack,
            quota_slack=wire.QuotaSlack,
            quota_overage=wire.QuotaOverage,
            quota_window_s=parse_duration(wire.QuotaWindow),
        )
    except (msgspec.MsgspecError, ValueError) as exc:
        raise MalformedObject(
            f"The bounds cannot be read: {exc}.", "Correct [bounds] agreed."
        ) from exc
