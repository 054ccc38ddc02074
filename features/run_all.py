"""Run formatter, linter and scenarios, and print the totals.

A failed scenario that KNOWN-RED.txt names is printed and does not fail the run.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_FAILURE_PREFIX = "test: "


def read_known_failures() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_FAILURE_PREFIX).strip()
        for line in lines
        if KNOWN_FAILURE_PREFIX in line[:6]
    }


def run_ruff() -> bool:
    """Run formatter and linter.

    :returns: whether both are clean.
    """
    ruff = Path(sys.executable).parent / "ruff"
    clean = True
    for args in (["format", "--check", "."], ["check", "."]):
        clean &= subprocess.run([ruff, *args], cwd=ROOT, check=False).returncode == 0
    return clean


def run_behave(args: list[str], soak: bool) -> list[dict]:
    """Run behave.

    :param args: paths and options of behave.
    :param soak: run the scenarios with the tag ``soak`` instead of all others.
    :returns: the reported scenarios, as in behave's JSON report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json"]
        command += ["--outfile", str(report), "--format", "progress3"]
        command += ["--tags", "soak" if soak else "not soak", "--no-capture", *args]
        paths = os.pathsep.join([str(ROOT), str(ROOT / "features")])
        environment = dict(os.environ, PYTHONPATH=paths)
        subprocess.run(command, cwd=ROOT, env=environment, check=False)
        features = json.loads(report.read_text(encoding="utf-8"))
    return [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def main() -> int:
    """Run everything.

    :returns: the exit code; 0 when something passed and nothing failed unexpectedly.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--soak", action="store_true")
    parser.add_argument("paths", nargs="*")
    options = parser.parse_args()
    clean = run_ruff()
    scenarios = run_behave(options.paths or ["features"], options.soak)
    known_failures = read_known_failures()
    passed = failed = 0
    for scenario in scenarios:
        status = scenario.get("status")
        if status == "skipped":
            continue
        if status == "passed":
            passed += 1
        elif scenario["name"].strip() in known_failures:
            print(f"KNOWN RED: {scenario['name']}")
        else:
            failed += 1
            print(f"FAILED: {scenario['name']} ({scenario['location']})")
    print(f"{passed} passed, {failed} failed")
    return 0 if clean and passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
