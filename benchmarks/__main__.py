"""Run every benchmark: ``python -m benchmarks``."""

from benchmarks import (
    control,
    decisions,
    loans,
    relays,
    requests,
    server_loads,
    slow_readers,
)


def main() -> None:
    """Print the tables of all benchmarks."""
    print("# decisions")
    decisions.main()
    print("# loans, simulated clock")
    loans.main()
    print("# relays, no network")
    relays.main()
    print("# loads of servers, no network")
    server_loads.main()
    print("# requests, one host")
    requests.measure()
    print("# control, no callers")
    control.main()
    print("# slow readers, one host")
    slow_readers.main()


if __name__ == "__main__":
    main()
