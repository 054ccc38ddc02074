"""Run the soak test from the command line: ``python -m fault_soak --seeds 50``.

``features`` and ``features/steps`` have to be on the path; ``make soak`` sets it.
"""

import argparse
import sys
import tempfile
from asyncio import run
from pathlib import Path
from random import SystemRandom

from fault_soak.run import run_seed


def main() -> int:
    """Run the given seeds, or else random ones, and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5, help="number of random seeds")
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--reports",
        action="store_true",
        help="add servers' own reports, requests that end servers, and store restores",
    )
    parser.add_argument(
        "--cuts", action="store_true", help="cut hosts from all servers, too"
    )
    parser.add_argument(
        "--upgrade",
        action="store_true",
        help="start part of the hosts from 0.8.0; restarts change the version",
    )
    parser.add_argument("--keep", type=Path, help="folder in which logs are kept")
    options = parser.parse_args()
    fresh = [SystemRandom().randrange(10**9) for _ in range(options.seeds)]
    failed = 0
    for seed in options.seed or fresh:
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            if options.keep:
                folder = options.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            result = run(
                run_seed(
                    seed,
                    folder,
                    options.hosts,
                    options.seconds,
                    options.callers,
                    options.reports,
                    options.cuts,
                    options.upgrade,
                )
            )
        print(result, flush=True)
        failed += bool(result.problems)
    print(f"{len(options.seed or fresh)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
