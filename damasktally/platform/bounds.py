"""Decode the figures that the platform agreed with its users."""

from damasktally.fleet.model import Bounds
from damasktally.platform.codec import MalformedObject, parse_duration

SETTINGS_VARIABLE = "DAMASKTALLY_BOOT"
"""Environment variable that holds the path of the settings file."""


def decode_bounds(text: str) -> Bounds:
    """Decode a list such as ``Drain=2000ms,RetryRatio=0.2``.

    Names that are not known are left out; missing ones keep their defaults.

    :raises MalformedObject: when a figure that is used cannot be read.
    """
    figures = dict(
        part.strip().partition("=")[::2] for part in text.split(",") if part.strip()
    )
    try:
        return _bounds(figures)
    except ValueError as exc:
        raise MalformedObject(
            f"The bounds cannot be read: {exc}.", "Correct [bounds] agreed."
        ) from exc


def _bounds(figures: dict[str, str]) -> Bounds:
    # The wire's names say little: "Grace" is the time from SIGTERM to SIGKILL, and
    # "StableWindow" how long a host must have been undisturbed to be judged.
    default = Bounds()

    def seconds(name: str, otherwise: float) -> float:
        return parse_duration(figures[name]) if name in figures else otherwise

    def number(name: str, otherwise: float) -> float:
        return float(figures.get(name, otherwise))

    return Bounds(
        stop_s=seconds("Grace", default.stop_s),
        lookup_ttl_s=seconds("ttl_max", default.lookup_ttl_s),
        retry_ratio=number("RetryRatio", default.retry_ratio),
        retry_window_s=seconds("RetryWindow", default.retry_window_s),
        retry_slack=number("RetrySlack", default.retry_slack),
    )
