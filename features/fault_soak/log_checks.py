"""Check the logs of host processes."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import msgspec

MISREAD = ("cannot decode", "ValidationError", "DecodeError", "blocked-request-invalid")
"""Parts of log lines about a message or an object that a host could not decode."""
MAX_SHOWN = 200


def find_log_problems(folder: Path) -> Iterator[str]:
    """Yield a message for each log with a traceback or a message that was misread."""
    for path in sorted(folder.glob("*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        if "Traceback" in text:
            position = text.index("Traceback")
            yield f"{path.name}: {text[position : position + MAX_SHOWN]}"
        misread = [
            line for line in text.splitlines() if any(part in line for part in MISREAD)
        ]
        if misread:
            yield f"{path.name}: {len(misread)} misread: {misread[0][:MAX_SHOWN]}"


def count_sources_of_last_configuration(folder: Path) -> Counter[str]:
    """Return from where hosts took the last configuration: the store, or a host."""
    sources: dict[int, Counter[str]] = {}
    for path in folder.glob("*.log"):
        for line in path.read_text(encoding="utf-8").splitlines():
            if "view-changed" in line and "configuration" in line:
                event = msgspec.json.decode(line)
                found = sources.setdefault(event.get("revision", 0), Counter())
                found[event.get("source", "")] += 1
    return sources[max(sources)]
