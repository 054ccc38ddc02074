"""Run an entry host: ``python -m damasktally.entry [SETTINGS]``.

Settings may change at any moment, and the signal that says so would end a process that
has not set its handler yet. It is ignored before anything that takes time is imported.
"""

import sys
from signal import SIG_IGN, SIGHUP, signal


def run() -> int:
    """Run the program; return the exit code."""
    signal(SIGHUP, SIG_IGN)
    from damasktally.entry.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
