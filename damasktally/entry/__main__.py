"""Run an entry host: ``python -m damasktally.entry [SETTINGS]``."""

import sys
from asyncio import run
from gc import freeze
from os import environ
from pathlib import Path

from damasktally.entry.host import EntryHost
from damasktally.entry.settings import SettingsInvalid, load_entry_settings
from damasktally.platform.bounds import SETTINGS_VARIABLE
from damasktally.platform.codec import MalformedObject

EXIT_INVALID = 2


async def _serve(path: Path) -> None:
    settings = load_entry_settings(path)
    await EntryHost.from_config(settings).run()


def main() -> int:
    """Run a host; return the exit code."""
    path = sys.argv[1] if len(sys.argv) > 1 else environ.get(SETTINGS_VARIABLE, "")
    freeze()
    try:
        run(_serve(Path(path)))
    except (SettingsInvalid, MalformedObject) as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main())
