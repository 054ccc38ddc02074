"""Steps that run each benchmark once at its smallest size."""

from contextlib import redirect_stdout
from io import StringIO

from behave import then, when

from benchmarks import (
    control,
    decisions,
    loans,
    relays,
    requests,
    slow_readers,
    slow_uploads,
)

SMALLEST_RUNS = {
    "readers": lambda: slow_readers.main(1, 1),
    "uploads": lambda: slow_uploads.main(1, 1),
    "decisions": lambda: decisions.main(decisions.SMALLEST_SIZE),
    "loans": lambda: loans.main([loans.SMALLEST_CASE]),
    "relays": lambda: print(
        relays.measure(*relays.SMALLEST_FLEET_SIZE, relays.SMALLEST_TICKS)
    ),
    "requests": lambda: requests.measure(requests.SMALLEST_SIZE),
    "control": lambda: control.measure(
        1, control.SMALLEST_WINDOW, requests.one_host_fleet()
    ),
}


@when("the benchmark of {subject} runs at its smallest size")
def when_benchmark(context, subject):
    """Run it in this process; it may start hosts as child processes."""
    output = StringIO()
    with redirect_stdout(output):
        SMALLEST_RUNS[subject]()
    context.benchmark_output = output.getvalue()


@then('it prints "{text}"')
def then_prints(context, text):
    """Check that the table holds the row."""
    assert text in context.benchmark_output, context.benchmark_output
