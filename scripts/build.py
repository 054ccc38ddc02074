"""Build ``dist/damasktally``: one executable file with its dependencies."""

import subprocess
import sys
from pathlib import Path
from shutil import rmtree

ROOT = Path(__file__).resolve().parent.parent
UNPACKED = "/tmp/damasktally"
SITE = ROOT / "build" / "site"
TARGET = ROOT / "dist" / "damasktally"
PIP = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(SITE)]


def run(*command: str) -> None:
    """Run a command of the build."""
    subprocess.run(command, check=True, cwd=ROOT)


def main() -> None:
    """Collect the locked dependencies and the project, and pack them."""
    rmtree(SITE, ignore_errors=True)
    TARGET.parent.mkdir(exist_ok=True)
    run(*PIP, "--require-hashes", "--requirement", "requirements.txt")
    run(*PIP, "--no-deps", "--no-build-isolation", ".")
    shiv = str(Path(sys.executable).parent / "shiv")
    run(
        shiv,
        "--site-packages",
        str(SITE),
        "--console-script",
        "damasktally",
        "--python",
        "/usr/bin/env python3.11",
        "--root",
        UNPACKED,
        "--output-file",
        str(TARGET),
    )


if __name__ == "__main__":
    main()
