"""Rendering of settings templates with sample values, to check them as settings.

The platform renders the template of an entry host's settings before each start.
"""

import re
from json import dumps
from typing import Any

from damasktally.errors import DamasktallyError

PLACEHOLDER = re.compile(r"{{\s*([\w.]+)(\|json)?\s*}}")
SAMPLE_VALUES: dict[str, Any] = {
    "NodeName": "edge-1",
    "Ip": "10.0.0.1",
    "Zone": "zone-a",
    "Region": "region-a",
    "Listen": {
        "Front": "10.0.0.1:8000",
        "ReadyAddr": "10.0.0.1:8001",
        "Directory": "10.0.0.1:8002",
        "Control": "10.0.0.1:8003",
    },
    "PortRange": [8010, 8025],
    "Zones": {"zone-a": "region-a", "zone-b": "region-b"},
    "Seeds": ["10.0.0.2:8003", "10.0.0.3:8003"],
    "Bootstrap": False,
    "Provider": {"Addr": "10.0.0.9:9000"},
    "Bounds": {
        "Grace": "6s",
        "ttl_max": "5s",
        "RetryRatio": "0.2",
        "RetryWindow": "10s",
        "RetrySlack": "64",
        "QuotaSlack": "20",
        "QuotaOverage": "0.1",
        "QuotaWindow": "5s",
    },
    "Limits": {"Cores": 1.0, "CpuShare": 0.5, "LinkMbps": 1000, "MemoryMb": 200},
}
"""Sample of the values that the platform provides. ``Front`` is the address to which
callers connect, and ``Control`` the one to which other hosts connect. ``PortRange``
holds the first and the last port that are free for messages between hosts."""


class UnknownPlaceholder(DamasktallyError):
    """A template contains a placeholder for which the platform provides no value."""


def is_template(text: str) -> bool:
    """Return whether a text contains placeholders."""
    return PLACEHOLDER.search(text) is not None


def render_sample(text: str) -> str:
    """Render a template with sample values.

    :raises UnknownPlaceholder: if the platform provides no value for a placeholder.
    """
    return PLACEHOLDER.sub(lambda found: _render_value(*found.groups()), text)


def _render_value(path: str, as_json: str | None) -> str:
    value: Any = SAMPLE_VALUES
    for name in path.split("."):
        key = int(name) if name.isdigit() else name
        try:
            value = value[key]
        except (LookupError, TypeError) as exc:
            raise UnknownPlaceholder(
                f"The template asks for {path}, which the platform does not provide.",
                "Correct the placeholder.",
            ) from exc
    if as_json or isinstance(value, dict):
        return dumps(value)
    if isinstance(value, list):
        return ",".join(value)
    return str(value)
