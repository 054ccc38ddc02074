"""Run an entry host: ``python -m damasktally.entry [SETTINGS]``.

SIGHUP announces changed settings and may arrive at any moment; its default action ends
a process that has not installed a handler yet. The signal is therefore ignored before
any module is imported that takes time to load.
"""

import sys
from signal import SIG_IGN, SIGHUP, signal


def run() -> int:
    """Run an entry host and return the exit code."""
    signal(SIGHUP, SIG_IGN)
    from damasktally.entry.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
